#include "kvcache/homes.h"

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

void score_by(scored_engines::iterator begin, scored_engines::iterator end, std::uint64_t key) {
    for (auto each = begin; each != end; ++each) {
        each->score = routing::score(each->engine->id_hash, key);
    }
    std::sort(begin, end,
              [](const auto& left, const auto& right) { return left.score > right.score; });
}

std::size_t engines_of_level(std::size_t lane, const prompt_chain& chain,
                             const routing::popularity& seen, base::instant now,
                             const home_rules& rules) {
    if (!is_long(chain) || seen.total.weight < rules.enough_seen) {
        return lane;
    }
    const double share = routing::share_of(seen, chain.levels.front().key, now);
    const double wanted = std::ceil(share * static_cast<double>(lane) * rules.spread);
    return std::clamp(static_cast<std::size_t>(wanted), std::min(rules.least, lane), lane);
}

} // namespace

std::vector<const fleet::member*>
engines_by_prompt(const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
                  const routing::popularity& outer_levels, base::instant now,
                  const home_rules& rules) {
    scored_engines lane;
    for (const auto* one : pool_members) {
        if (fleet::is_available(*one) && in_lane(*one, chain)) {
            lane.push_back({0, one});
        }
    }
    if (!chain.levels.empty()) {
        score_by(lane.begin(), lane.end(), chain.levels.front().key);
        const auto own = engines_of_level(lane.size(), chain, outer_levels, now, rules);
        score_by(lane.begin(), lane.begin() + static_cast<std::ptrdiff_t>(own),
                 chain.levels.back().key);
    }
    std::vector<const fleet::member*> found;
    found.reserve(lane.size());
    for (const auto& each : lane) {
        found.push_back(each.engine);
    }
    return found;
}

} // namespace camphorrail::kvcache
