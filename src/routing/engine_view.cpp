#include "routing/engine_view.h"

#include <algorithm>

namespace camphorrail::routing {

namespace {

constexpr double prefill_rate_step = 0.05;
// Older notes refer to caches that have probably evicted the prefix.
constexpr base::micros max_note_age = base::seconds(60);
// Shorter prefills are dominated by the engine's other work and do not show its speed.
constexpr std::int64_t min_measured_prefill_tokens = 256;

} // namespace

engine_view make_engine_view(const base::upstream_id& self) {
    engine_view view;
    set_members(view.pool, {self}, {{}});
    view.rules.random_choices = 0;
    // All requests to the engine pass through the agent, so a prefix that it has not seen is not
    // cached.
    for (auto& at_depth : view.pool.home_priors) {
        at_depth.by_rank.fill({0.02});
    }
    return view;
}

void record_incarnation(engine_view& view, std::int64_t engine_incarnation, base::instant now) {
    if (engine_incarnation <= view.engine_incarnation) {
        return;
    }
    view.engine_incarnation = engine_incarnation;
    record_load(view.pool, view.pool.upstreams.front().id, base::micros{0},
                view.prefill_us_per_token, engine_incarnation, now);
}

work_estimate estimate_work(const engine_view& view, const prefix::prefix_chain& chain,
                            base::instant now) {
    base::random_source unused;
    const auto chosen =
        choose_upstream(view.pool, view.table, {&chain, {}}, now, unused, view.rules);
    return chosen ? work_estimate{chosen->expected_prefill, chosen->basis} : work_estimate{};
}

void record_accepted(engine_view& view, const prefix::prefix_chain& chain, base::instant now) {
    record_sent(view.pool, view.table, {}, chain, now);
    view.pool.upstreams.front().unreported_work = base::micros{0};
}

void record_served(engine_view& view, const prefix::prefix_chain& chain,
                   const prediction_basis& basis, base::tokens cached, base::micros prefill,
                   base::instant now) {
    const auto& self = view.pool.upstreams.front().id;
    record_served(view.pool, view.table, self, chain, basis, cached, now, view.rules);
    const std::int64_t length = chain.empty() ? 0 : chain.back().length.value;
    const std::int64_t computed = length - cached.value;
    if (computed >= min_measured_prefill_tokens) {
        const double measured =
            static_cast<double>(prefill.count()) / static_cast<double>(computed);
        view.prefill_us_per_token += prefill_rate_step * (measured - view.prefill_us_per_token);
        view.pool.upstreams.front().prefill_us_per_token = view.prefill_us_per_token;
    }
}

bool probably_cached(const engine_view& view, std::uint64_t level_key, base::instant now) {
    const auto* record = find(view.table, level_key);
    if (record == nullptr) {
        return false;
    }
    constexpr double probable = 0.5;
    const auto& self = view.pool.upstreams.front();
    for (const holder& each : record->holders) {
        if (each.upstream == self.hash &&
            each.engine_incarnation == self.health.engine_incarnation) {
            return hint_hit_rate(view.pool, now - each.last_used) >= probable;
        }
    }
    return false;
}

probe_result evaluate_probe(const engine_view& view, const affinity_table& notes,
                            const prefix::prefix_chain& chain, base::micros wait, base::instant now,
                            const probe_rules& rules) {
    const prefix::prefix_level* shared = shared_level(chain);
    if (shared == nullptr) {
        return {};
    }
    probe_result result;
    if (const auto* record = find(notes, shared->key)) {
        for (const holder& each : record->holders) {
            if (each.upstream != 0 && now - each.last_used < max_note_age) {
                result.holders.push_back(each.upstream);
            }
        }
    }
    if (probably_cached(view, shared->key, now)) {
        const double prefill_elsewhere = rules.recompute_weight *
                                         static_cast<double>(shared->length.value) *
                                         view.prefill_us_per_token;
        result.forward = static_cast<double>(wait.count()) > prefill_elsewhere;
    } else {
        result.forward = !result.holders.empty() || wait > rules.max_wait;
    }
    return result;
}

} // namespace camphorrail::routing
