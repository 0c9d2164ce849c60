#include "proxy/retry_shares.h"

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Part of the retries for each request that an entry uses. The rest is a reserve for retries that
// reach upstreams late.
constexpr double ratio_fraction = 0.7;

} // namespace

admission::retry_share_rules retry_share_rules_of(const settings::proxy_settings& settings) {
    // Covers retries that are on their way, and the buckets that a window is counted in.
    constexpr base::seconds margin{2};
    admission::retry_share_rules rules;
    rules.settling_time = settings.bounds.retry_window + margin;
    return rules;
}

void update_retry_shares(entry_context& context, const retry_share_inputs& inputs) {
    const auto rules = retry_share_rules_of(context.settings);
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
        state.retries.try_emplace(id, admission::retry_window{.span = bounds.retry_window});
    }
    for (auto& [id, window] : state.retries) {
        window.retries_per_request = bounds.retry_ratio * ratio_fraction;
        if (window.extra_retries == share) {
            continue;
        }
        window.extra_retries = share;
        context.log.line(importance::keep, "retry_share")
            .text("pool", id.value)
            .number("entries", sharing)
            .number("entries_now", inputs.known_entries)
            .flag("settled", inputs.uptime >= rules.settling_time)
            .thousandths("extra_retries_in_1000", share);
    }
}

} // namespace camphorrail::proxy
