#include "entries/holders.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <set>

namespace camphorrail::entries {

std::vector<base::entry_id> rank_holders(const std::vector<linked_entry>& among,
                                         const std::string& name, std::size_t count) {
    const std::uint64_t key = base::stable_hash(name);
    auto ranking = among;
    std::sort(ranking.begin(), ranking.end(), [key](const auto& left, const auto& right) {
        return routing::score(base::stable_hash(left.id.value), key) >
               routing::score(base::stable_hash(right.id.value), key);
    });
    std::vector<base::entry_id> holders;
    std::vector<base::entry_id> further;
    std::set<base::availability_zone> zones;
    for (const auto& entry : ranking) {
        const bool is_new_zone = zones.insert(entry.zone).second;
        (is_new_zone ? holders : further).push_back(entry.id);
    }
    holders.insert(holders.end(), further.begin(), further.end());
    holders.resize(std::min(count, holders.size()));
    return holders;
}

} // namespace camphorrail::entries
