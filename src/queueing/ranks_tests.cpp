#include "queueing/ranks.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using queueing::make_priorities;

// Guards against a team's urgent route that waits behind the bulk route of the same team.
TEST_CASE("the team's priority decides the rank first, then the route's", "[queueing]") {
    const auto table = queueing::make_rank_table({make_priorities(1, 2), make_priorities(0, 2),
                                                  make_priorities(1, 0), make_priorities(0, 0),
                                                  make_priorities(1, 0)});
    const auto rank = [&](std::optional<int> team, int route) {
        return queueing::rank_of(table, make_priorities(team, route)).value;
    };
    CHECK(rank(0, 0) == 0);
    CHECK(rank(0, 2) == 1);
    CHECK(rank(1, 0) == 2);
    CHECK(rank(1, 2) == 3);
    // Without a priority of the team's, the route's stands in for it, as it did without ranks.
    CHECK(rank(std::nullopt, 0) == 0);
    CHECK(make_priorities(std::nullopt, 2) > make_priorities(1, 2));
}

TEST_CASE("the least urgent pairs share the last rank", "[queueing]") {
    std::vector<queueing::priority_pair> pairs;
    for (int team = 0; team < 6; ++team) {
        pairs.push_back(make_priorities(team, 0));
        pairs.push_back(make_priorities(team, 2));
    }
    const auto table = queueing::make_rank_table(pairs);
    CHECK(queueing::rank_of(table, make_priorities(4, 0)).value == 8);
    CHECK(queueing::rank_of(table, make_priorities(4, 2)) == queueing::last_rank);
    CHECK(queueing::rank_of(table, make_priorities(5, 2)) == queueing::last_rank);
    CHECK(queueing::rank_of({}, make_priorities(5, 2)).value == 0);
}
