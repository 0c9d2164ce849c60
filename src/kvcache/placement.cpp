#include "kvcache/placement.h"

#include "base/hash.h"
#include "kvcache/lanes.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

bool is_long(const prompt_chain& chain) {
    return chain.shared_tokens() + chain.own_tokens >= lane_rules{}.long_prompt;
}

// The candidate of the prompt's lane whose score for the prompt is highest.
const fleet::member* home_of(const std::vector<fleet::member*>& candidates,
                             const prompt_chain& chain) {
    const bool long_prompt = is_long(chain);
    const fleet::member* home = nullptr;
    std::uint64_t best = 0;
    for (const auto* one : candidates) {
        if (one->short_lane == long_prompt) {
            continue;
        }
        const auto score =
            routing::score(base::stable_hash(one->listed.id.value), chain.keys.back());
        if (home == nullptr || score > best) {
            home = one;
            best = score;
        }
    }
    return home;
}

double waiting_ms(const fleet::member& one, base::instant now, const fleet::fleet_rules& rules,
                  const placement_costs& costs) {
    return reading_ms(one, now, rules, costs) +
           static_cast<double>(fleet::estimated_load(one, now, rules)) * costs.running_ms;
}

// Where shared parts are to be fetched from: the store of kept KV cache, or without one a live
// holder other than the target. Fetching from engines first, even from those that had used the
// prompt within the last 1.5 s, doubled what was read again, since their own work and moves go
// before.
std::string source_of(const fleet::member& target,
                      const std::vector<const fleet::member*>& pool_members,
                      const prompt_chain& chain, const cache_beliefs& beliefs,
                      const std::string& kv_store, base::instant now) {
    if (chain.keys.empty()) {
        return {};
    }
    if (!kv_store.empty()) {
        return kv_store;
    }
    for (const auto& holder : holders_of(beliefs, chain)) {
        for (const auto* one : pool_members) {
            if (one->listed.id == holder && one != &target && fleet::is_listed(*one) &&
                membership::usable(one->health, now)) {
                return one->listed.address;
            }
        }
    }
    return {};
}

} // namespace

double reading_ms(const fleet::member& one, base::instant now, const fleet::fleet_rules& rules,
                  const placement_costs& costs) {
    return static_cast<double>(fleet::all_unread_tokens(one, now, rules)) * costs.read_ms;
}

placement place(const std::vector<fleet::member*>& candidates,
                const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
                const cache_beliefs& beliefs, const std::string& kv_store, base::instant now,
                const fleet::fleet_rules& rules, const placement_costs& costs) {
    const fleet::member* home = chain.keys.empty() ? nullptr : home_of(candidates, chain);
    const bool long_prompt = is_long(chain);
    placement best;
    double best_ms = 0.0;
    for (auto* one : candidates) {
        const std::int64_t held = held_tokens(beliefs, chain, one->listed.id);
        const std::int64_t missing = chain.shared_tokens() - held;
        const bool known_holder = missing == 0;
        double cost = waiting_ms(*one, now, rules, costs);
        // Other entries send their requests of the prompt to its home too, so it probably holds it.
        cost += one == home ? 0.0 : static_cast<double>(missing) * costs.fetch_ms;
        if (one->short_lane == long_prompt) {
            cost += long_prompt ? costs.long_among_short_ms : costs.short_among_long_ms;
        }
        if (one != home && !known_holder) {
            cost += costs.away_from_home_ms;
        }
        if (best.target == nullptr || cost < best_ms) {
            best = {one, {}, missing + chain.own_tokens, one == home};
            best_ms = cost;
        }
    }
    if (!chain.keys.empty()) {
        best.fetch_from = source_of(*best.target, pool_members, chain, beliefs, kv_store, now);
    }
    return best;
}

} // namespace camphorrail::kvcache
