#include "routing/rendezvous.h"

#include <utility>

namespace camphorrail::routing {

std::vector<std::size_t> rank_members(const std::vector<std::uint64_t>& members, std::uint64_t key,
                                      std::size_t count) {
    // `count` is usually two or three, so inserting into a short list is faster than sorting all
    // members.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    best.reserve(count + 1);
    for (std::size_t index = 0; index < members.size(); ++index) {
        const std::uint64_t value = score(members[index], key);
        if (best.size() == count && value <= best.back().first) {
            continue;
        }
        auto place = best.begin();
        while (place != best.end() && place->first >= value) {
            ++place;
        }
        best.insert(place, {value, index});
        if (best.size() > count) {
            best.pop_back();
        }
    }
    std::vector<std::size_t> indexes;
    indexes.reserve(best.size());
    for (const auto& [value, index] : best) {
        indexes.push_back(index);
    }
    return indexes;
}

} // namespace camphorrail::routing
