#include "kvcache/lanes.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace camphorrail::kvcache {

namespace {

// A pool's engines in the order in which they join the lane for short prompts: by turns of the
// availability zones, so that none is left with too few for either kind, and within a zone by a
// hash of the name, so that few engines change lanes when one comes or goes.
std::vector<fleet::member*> lane_order(const std::vector<fleet::member*>& members) {
    std::map<base::availability_zone, std::vector<fleet::member*>> zones;
    for (auto* one : members) {
        zones[one->listed.zone].push_back(one);
    }
    std::vector<std::tuple<std::size_t, std::uint64_t, fleet::member*>> turns;
    for (auto& [zone, of_zone] : zones) {
        std::sort(of_zone.begin(), of_zone.end(), [](const auto* left, const auto* right) {
            return left->id_hash < right->id_hash;
        });
        for (std::size_t turn = 0; turn < of_zone.size(); ++turn) {
            turns.emplace_back(turn, of_zone[turn]->id_hash, of_zone[turn]);
        }
    }
    std::sort(turns.begin(), turns.end());
    std::vector<fleet::member*> order;
    order.reserve(turns.size());
    for (const auto& each : turns) {
        order.push_back(std::get<fleet::member*>(each));
    }
    return order;
}

} // namespace

void assign_lanes(fleet::fleet& state, const lane_rules& rules) {
    std::map<base::pool_id, std::vector<fleet::member*>> pools;
    for (auto& [id, one] : state.members) {
        one.short_lane = false;
        if (fleet::is_listed(one)) {
            pools[one.listed.pool].push_back(&one);
        }
    }
    for (auto& [id, members] : pools) {
        if (members.size() < rules.smallest_pool) {
            continue;
        }
        const auto order = lane_order(members);
        const auto size = static_cast<double>(order.size());
        const auto kept = static_cast<std::size_t>(std::lround(rules.short_share * size));
        for (std::size_t at = 0; at < std::max<std::size_t>(kept, 1); ++at) {
            order[at]->short_lane = true;
        }
    }
}

bool is_long(const prompt_chain& chain) {
    return chain.all_tokens() >= lane_rules{}.long_prompt;
}

bool in_lane(const fleet::member& one, const prompt_chain& chain) {
    return one.short_lane != is_long(chain);
}

} // namespace camphorrail::kvcache
