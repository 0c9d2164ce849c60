#include "routing/affinity.h"

#include <algorithm>

namespace camphorrail::routing {

const affinity_table::level_record* find(const affinity_table& table, std::uint64_t level_key) {
    const auto found = table.by_key.find(level_key);
    return found == table.by_key.end() ? nullptr : &*found->second;
}

void add_holder(affinity_table& table, std::uint64_t level_key, const holder& seen) {
    const auto found = table.by_key.find(level_key);
    if (found != table.by_key.end()) {
        table.newest_first.splice(table.newest_first.begin(), table.newest_first, found->second);
    } else {
        table.newest_first.push_front({level_key, {}});
        table.by_key[level_key] = table.newest_first.begin();
    }
    auto& holders = table.newest_first.front().holders;
    auto* slot = std::find_if(holders.begin(), holders.end(), [&seen](const holder& each) {
        return each.upstream == seen.upstream;
    });
    if (slot == holders.end()) {
        slot = std::min_element(holders.begin(), holders.end(),
                                [](const holder& left, const holder& right) {
                                    return left.last_used < right.last_used;
                                });
    }
    *slot = seen;
    if (table.by_key.size() > table.capacity) {
        table.by_key.erase(table.newest_first.back().key);
        table.newest_first.pop_back();
    }
}

void remove_holder(affinity_table& table, std::uint64_t level_key, std::uint64_t upstream) {
    const auto found = table.by_key.find(level_key);
    if (found == table.by_key.end()) {
        return;
    }
    for (holder& each : found->second->holders) {
        if (each.upstream == upstream) {
            each = {};
        }
    }
}

} // namespace camphorrail::routing
