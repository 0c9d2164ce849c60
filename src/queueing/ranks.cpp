#include "queueing/ranks.h"

#include <algorithm>

namespace camphorrail::queueing {

priority_pair make_priorities(std::optional<int> team, int route) {
    return {team.value_or(route), route};
}

rank_table make_rank_table(std::vector<priority_pair> pairs) {
    std::sort(pairs.begin(), pairs.end());
    pairs.erase(std::unique(pairs.begin(), pairs.end()), pairs.end());
    return {std::move(pairs)};
}

rank rank_of(const rank_table& table, const priority_pair& priorities) {
    const auto position = std::lower_bound(table.pairs.begin(), table.pairs.end(), priorities);
    const auto index = static_cast<std::size_t>(position - table.pairs.begin());
    return std::min(rank{index}, last_rank);
}

} // namespace camphorrail::queueing
