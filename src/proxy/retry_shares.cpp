#include "proxy/retry_shares.h"

#include "admission/retry_share.h"

#include <cmath>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Part of the retries for each request that an entry uses. The rest is a reserve for retries that
// reach upstreams late.
constexpr double ratio_fraction = 0.7;

// For the log, whose numbers are whole.
std::int64_t in_thousandths(double value) {
    return std::llround(value * 1000.0);
}

} // namespace

void update_retry_shares(entry_context& context, const retry_share_inputs& inputs) {
    const admission::retry_share_rules rules;
    auto& state = context.state;
    entries::record_entry_count(state.entry_counts, inputs.known_entries, context.now(),
                                rules.settling_time);
    if (state.config == nullptr) {
        return;
    }
    const auto& bounds = context.settings.bounds;
    const std::int64_t sharing = entries::largest_entry_count(state.entry_counts);
    const double share = admission::retry_share(
        {bounds.retry_slack, sharing, inputs.uptime, inputs.has_startup_slot}, rules);
    for (const auto& [id, pool] : state.config->pools) {
        const auto [found, is_new] = state.retries.try_emplace(id);
        auto& window = found->second;
        window.retries_per_request = bounds.retry_ratio * ratio_fraction;
        if (!is_new && window.extra_retries == share) {
            continue;
        }
        window.extra_retries = share;
        context.log.line(importance::keep, "retry_share")
            .text("pool", id.value)
            .number("entries", sharing)
            .number("entries_now", inputs.known_entries)
            .flag("settled", inputs.uptime >= rules.settling_time)
            .number("extra_retries_in_1000", in_thousandths(share));
    }
}

} // namespace camphorrail::proxy
