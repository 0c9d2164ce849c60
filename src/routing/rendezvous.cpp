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
        const std::uint64_t member_score = score(members[index], key);
        if (best.size() == count && member_score <= best.back().first) {
            continue;
        }
        auto position = best.begin();
        while (position != best.end() && position->first >= member_score) {
            ++position;
        }
        best.insert(position, {member_score, index});
        if (best.size() > count) {
            best.pop_back();
        }
    }
    std::vector<std::size_t> indexes;
    indexes.reserve(best.size());
    for (const auto& [member_score, index] : best) {
        indexes.push_back(index);
    }
    return indexes;
}

} // namespace camphorrail::routing
