#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

// Requests that queue at upstreams by rank: who waits behind whom, and when to return.
namespace camphorrail::queueing {

// Number of ranks that upstreams distinguish.
inline constexpr std::size_t rank_count = 10;

// Position of a request in an upstream's queue, from 0 (admitted first) to 9.
struct rank {
    std::size_t value = 0;

    auto operator<=>(const rank&) const = default;
};

inline constexpr rank last_rank{rank_count - 1};

// The priorities that decide a request's rank, the more significant first. Lower values are more
// urgent.
struct priority_pair {
    int team = 0;
    int route = 0;

    auto operator<=>(const priority_pair&) const = default;
};

// The pair of a request. A team without a priority, or a request without a team, counts as if the
// team had the route's priority: so it sorts against teams that have one as it did when the rank
// was the team's priority or else the route's.
priority_pair make_priorities(std::optional<int> team, int route);

// The distinct pairs of a configuration, the most urgent first.
struct rank_table {
    std::vector<priority_pair> pairs;
};

rank_table make_rank_table(std::vector<priority_pair> pairs);

// The rank of a pair: its position in the table. If there are more pairs than ranks, the least
// urgent ones share the last rank.
rank rank_of(const rank_table& table, const priority_pair& priorities);

} // namespace camphorrail::queueing
