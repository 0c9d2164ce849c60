#include "kvcache/lanes.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace camphorrail::kvcache {

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
        // By a hash of the name, so that few engines change lanes when one comes or goes.
        std::sort(members.begin(), members.end(), [](const auto* left, const auto* right) {
            return base::stable_hash(left->listed.id.value) <
                   base::stable_hash(right->listed.id.value);
        });
        const auto size = static_cast<double>(members.size());
        const auto kept = static_cast<std::size_t>(std::lround(rules.short_share * size));
        for (std::size_t at = 0; at < std::max<std::size_t>(kept, 1); ++at) {
            members[at]->short_lane = true;
        }
    }
}

} // namespace camphorrail::kvcache
