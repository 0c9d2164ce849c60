#include "kvcache/home_engines.h"

#include "kvcache/lanes.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::kvcache {

namespace {

struct scored_engine {
    std::uint64_t score = 0;
    const fleet::member* engine = nullptr;
};

using scored_engines = std::vector<scored_engine>;

bool has_factors(const scored_engines& lane) {
    return std::any_of(lane.begin(), lane.end(),
                       [](const auto& each) { return each.engine->speed.in_force; });
}

// Sorts by score for the key, weighted by capacity if speed factors are in force.
void sort_by_score(scored_engines::iterator begin, scored_engines::iterator end, std::uint64_t key,
                   bool weighted) {
    for (auto each = begin; each != end; ++each) {
        const auto& engine = *each->engine;
        each->score =
            weighted ? routing::weighted_score(engine.id_hash, key, speed::capacity(engine.speed))
                     : routing::score(engine.id_hash, key);
    }
    std::sort(begin, end,
              [](const auto& left, const auto& right) { return left.score > right.score; });
}

std::size_t home_engine_count(std::size_t lane, const prompt_chain& chain,
                              const routing::popularity& traffic, base::instant now,
                              const home_engine_rules& rules) {
    if (!is_long_prompt(chain) || traffic.total.weight < rules.min_observed_prompts) {
        return lane;
    }
    const double share = routing::traffic_share(traffic, chain.levels.front().key, now);
    const double desired = std::ceil(share * static_cast<double>(lane) * rules.overprovisioning);
    return std::clamp(static_cast<std::size_t>(desired), std::min(rules.min_engines, lane), lane);
}

} // namespace

std::vector<const fleet::member*>
rank_engines(const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
             const routing::popularity& outer_levels, base::instant now,
             const home_engine_rules& rules) {
    scored_engines lane;
    for (const auto* one : pool_members) {
        if (fleet::is_available(*one) && in_lane(*one, chain)) {
            lane.push_back({0, one});
        }
    }
    if (!chain.levels.empty()) {
        const bool weighted = has_factors(lane);
        sort_by_score(lane.begin(), lane.end(), chain.levels.front().key, weighted);
        const auto home_count = home_engine_count(lane.size(), chain, outer_levels, now, rules);
        sort_by_score(lane.begin(), lane.begin() + static_cast<std::ptrdiff_t>(home_count),
                      chain.levels.back().key, weighted);
    }
    std::vector<const fleet::member*> found;
    found.reserve(lane.size());
    for (const auto& each : lane) {
        found.push_back(each.engine);
    }
    return found;
}

} // namespace camphorrail::kvcache
