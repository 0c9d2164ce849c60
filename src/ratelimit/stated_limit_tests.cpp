#include "ratelimit/stated_limit.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using ratelimit::requests_per_second;
using ratelimit::statement;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

// Guards against limits that are forgotten, or raised, by a response that was made before they were
// stated and arrives after.
TEST_CASE("a stricter limit holds at once, a looser one once it is certainly newer",
          "[ratelimit]") {
    ratelimit::stated_limit state;
    CHECK_FALSE(ratelimit::apply_statement(state, {std::nullopt, at(0), at(10)}));
    CHECK_FALSE(state.changed_at);
    REQUIRE(ratelimit::apply_statement(state, {requests_per_second{4}, at(1000), at(1100)}));
    CHECK(state.limit == requests_per_second{4});

    SECTION("stated by a slow response to an earlier request") {
        CHECK(ratelimit::apply_statement(state, {requests_per_second{1}, at(500), at(1200)}));
        CHECK(state.limit == requests_per_second{1});
    }
    SECTION("ended by a response to a request sent later") {
        CHECK(ratelimit::apply_statement(state, {std::nullopt, at(1101), at(1150)}));
        CHECK_FALSE(state.limit);
        CHECK(state.changed_at == at(1150));
    }
    SECTION("not ended by one that was sent before") {
        CHECK_FALSE(ratelimit::apply_statement(state, {std::nullopt, at(1050), at(1300)}));
        CHECK(state.limit == requests_per_second{4});
    }
    SECTION("raised only by a later request") {
        CHECK_FALSE(
            ratelimit::apply_statement(state, {requests_per_second{6}, at(1050), at(1300)}));
        CHECK(ratelimit::apply_statement(state, {requests_per_second{6}, at(1400), at(1500)}));
        CHECK(state.limit == requests_per_second{6});
    }
    SECTION("repeated, so that only requests after the last statement can end it") {
        CHECK_FALSE(
            ratelimit::apply_statement(state, {requests_per_second{4}, at(1200), at(1600)}));
        CHECK_FALSE(ratelimit::apply_statement(state, {std::nullopt, at(1500), at(1700)}));
        CHECK(ratelimit::apply_statement(state, {std::nullopt, at(1601), at(1700)}));
    }
    SECTION("stated again after its end") {
        CHECK(ratelimit::apply_statement(state, {std::nullopt, at(1200), at(1250)}));
        CHECK(ratelimit::apply_statement(state, {requests_per_second{4}, at(1190), at(1260)}));
        CHECK(state.limit == requests_per_second{4});
    }
}
