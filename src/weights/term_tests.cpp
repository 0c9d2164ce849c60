#include "weights/term.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

// Guards against alternating orders. A leader freezes for longer than its lease; another one takes
// over and orders an upstream to load weights. If the first one resumed and continued, the upstream
// would receive orders of both, and could end up with weights that the second leader has just
// replaced.
TEST_CASE("two leaders never issue orders within the required gap", "[weights]") {
    const weights::term_rules rules;
    auto first = weights::begin_term(7, 1, {}, at(0), at(10), rules);
    CHECK(weights::may_issue_orders(first, at(10)));
    weights::renew_term(first, at(1000), rules);
    CHECK(weights::may_issue_orders(first, at(3599)));

    SECTION("the first leader stops by its own clock before its lease can have expired") {
        CHECK_FALSE(weights::may_issue_orders(first, at(3600)));
        weights::renew_term(first, at(500), rules);
        CHECK_FALSE(weights::may_issue_orders(first, at(3600)));
    }
    SECTION("the second leader waits after winning the election") {
        const auto second =
            weights::begin_term(9, 2, {.is_other_process = true}, at(4000), at(4010), rules);
        CHECK_FALSE(weights::may_issue_orders(second, at(7000)));
        const auto gap = second.valid_from - at(3600);
        CHECK(gap >= rules.handover_gap);
    }
    SECTION("a previous leader does not wait for itself") {
        CHECK(weights::may_issue_orders(weights::begin_term(9, 2, {}, at(4000), at(4010), rules),
                                        at(4010)));
    }
}

// A rolling restart stops each leader one or two seconds after its election. If each leader waited
// for the one before it, none would order new weights until the last restart is over, and requests
// would be served with weights that have been outdated for twelve seconds.
TEST_CASE("a new leader does not wait for leaders that issued no orders", "[weights]") {
    const weights::term_rules rules;
    const auto third = weights::begin_term(34, 3, {.is_other_process = true, .ended_at = at(1000)},
                                           at(3200), at(3210), rules);
    CHECK_FALSE(weights::may_issue_orders(third, at(3999)));
    CHECK(weights::may_issue_orders(third, at(4000)));
}
