#include "weights/term.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

// A holder freezes for longer than its lease; another takes over and orders an upstream to load
// weights. If the first woke and went on, the upstream would see two holders take turns, and could
// end up on weights that the second one has just replaced.
TEST_CASE("two holders never order within the bound", "[weights]") {
    const weights::term_rules rules;
    auto first = weights::begin_term(7, 1, {}, at(0), at(10), rules);
    CHECK(weights::may_issue_orders(first, at(10)));
    weights::renew_term(first, at(1000), rules);
    CHECK(weights::may_issue_orders(first, at(3599)));

    SECTION("since the first stops by its own clock before its lease can have ended") {
        CHECK_FALSE(weights::may_issue_orders(first, at(3600)));
        weights::renew_term(first, at(500), rules);
        CHECK_FALSE(weights::may_issue_orders(first, at(3600)));
    }
    SECTION("and the second waits after it has won") {
        const auto second =
            weights::begin_term(9, 2, {.is_other_process = true}, at(4000), at(4010), rules);
        CHECK_FALSE(weights::may_issue_orders(second, at(7000)));
        const auto gap = second.valid_from - at(3600);
        CHECK(gap >= rules.handover_gap);
    }
    SECTION("while one that held it before need not wait for itself") {
        CHECK(weights::may_issue_orders(weights::begin_term(9, 2, {}, at(4000), at(4010), rules),
                                        at(4010)));
    }
}

// A rolling restart stops each leader a second or two after it has taken over. Were each to wait
// for the one before it, nobody would order new weights until the last is back, and requests would
// begin on weights that were outdated for twelve seconds.
TEST_CASE("holders that gave no order are not waited for", "[weights]") {
    const weights::term_rules rules;
    const auto third = weights::begin_term(34, 3, {.is_other_process = true, .ended_at = at(1000)},
                                           at(3200), at(3210), rules);
    CHECK_FALSE(weights::may_issue_orders(third, at(3999)));
    CHECK(weights::may_issue_orders(third, at(4000)));
}
