#include "proxy/weights_history.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int seconds) {
    return base::instant{base::seconds(seconds)};
}

} // namespace

// All entries restart together after a power loss, ten seconds after new weights were set. None of
// them knows when that was, and requests must not start on the old weights as if they had been
// outdated only since the restart.
TEST_CASE("weights found at startup are taken to have been set long ago", "[proxy]") {
    proxy::weights_history history;
    CHECK(proxy::record_target(history, 6, {{}, {}, at(20)}));
    CHECK(proxy::outdated_since(history, 5) < at(1));
    CHECK_FALSE(proxy::record_target(history, 6, {at(40), {}, at(41)}));
    CHECK(proxy::outdated_since(history, 5) < at(1));

    SECTION("a peer that kept running reports the date") {
        CHECK(proxy::record_reported_target(history, 6, at(19), at(42)));
        CHECK(proxy::outdated_since(history, 5) == at(19));
        CHECK_FALSE(proxy::record_reported_target(history, 6, at(18), at(42)));
        CHECK_FALSE(proxy::record_reported_target(history, 6, std::nullopt, at(42)));
        CHECK(proxy::outdated_since(history, 5) == at(19));
    }
    SECTION("later versions are dated as usual") {
        CHECK(proxy::record_target(history, 7, {at(50), {}, at(51)}));
        CHECK(proxy::outdated_since(history, 6) == at(50));
    }
}

// Guards against starting requests on outdated weights after a VM has lost power: its clock
// restarts at zero, so the clock's zero is not long ago.
TEST_CASE("weights of unknown age count as long outdated even on a VM that has just booted",
          "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 6, {{}, {}, at(1)});
    CHECK(at(1) - proxy::outdated_since(history, 5) > std::chrono::hours(1));
}

TEST_CASE("weights are outdated since the first newer version was set", "[proxy]") {
    proxy::weights_history history;
    CHECK(proxy::newest_version(history) == 0);
    CHECK(proxy::record_target(history, 2, {at(2), {}, at(2)}));
    CHECK(proxy::record_target(history, 3, {at(5), {}, at(5)}));
    CHECK_FALSE(proxy::record_target(history, 3, {at(6), {}, at(6)}));
    CHECK(proxy::newest_version(history) == 3);
    CHECK(proxy::outdated_since(history, 1) == at(2));
    CHECK(proxy::outdated_since(history, 2) == at(5));
    CHECK(proxy::outdated_since(history, 3) == base::instant::max());
}

TEST_CASE("a peer's report makes the date of a version more precise", "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 2, {at(2), {}, at(9)});

    SECTION("if the local date is imprecise") {
        CHECK(proxy::is_imprecise(history, 1));
        CHECK_FALSE(proxy::is_imprecise(history, 2));
        CHECK(proxy::record_reported_target(history, 2, at(8), at(10)));
        CHECK(proxy::outdated_since(history, 1) == at(8));
        CHECK_FALSE(proxy::is_imprecise(history, 1));
    }
    SECTION("not if the local date is already precise") {
        proxy::record_target(history, 3, {at(11), {}, at(12)});
        CHECK_FALSE(proxy::is_imprecise(history, 2));
        CHECK_FALSE(proxy::record_reported_target(history, 3, at(13), at(14)));
        CHECK(proxy::outdated_since(history, 2) == at(11));
    }
    // Guards against taking weights to be outdated only since the second of two newer versions at
    // an entry that missed the first.
    SECTION("together with a missed version in between") {
        proxy::record_target(history, 4, {at(12), {}, at(20)});
        CHECK(proxy::record_reported_target(history, 3, at(13), at(21)));
        CHECK(proxy::record_reported_target(history, 4, at(19), at(21)));
        CHECK(proxy::outdated_since(history, 2) == at(13));
        CHECK(proxy::outdated_since(history, 3) == at(19));
    }
}

// Guards against refusing or cancelling prompts because a peer reports a version that this entry
// has missed, without knowing when it was set.
TEST_CASE("an undated report of a missed version keeps a precise date", "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 3, {at(8), {}, at(13)});
    CHECK(proxy::record_reported_target(history, 2, std::nullopt, at(14)));
    CHECK(proxy::outdated_since(history, 1) == at(8));

    SECTION("even if a later version got a more precise date before") {
        proxy::record_target(history, 5, {at(15), {}, at(30)});
        CHECK(proxy::record_reported_target(history, 5, at(29), at(31)));
        CHECK(proxy::record_reported_target(history, 4, std::nullopt, at(31)));
        CHECK(proxy::outdated_since(history, 3) == at(15));
        CHECK(proxy::outdated_since(history, 4) == at(29));
    }
}

TEST_CASE("superseded versions are removed once no request may start on them", "[proxy]") {
    proxy::weights_history history;
    for (int version = 2; version < 6; ++version) {
        proxy::record_target(history, version, {at(version * 10), {}, at(version * 10)});
    }
    proxy::prune_superseded(history, at(51), base::seconds(5));
    CHECK(history.targets.size() == 2);
    CHECK(proxy::outdated_since(history, 1) == at(40));
    CHECK(proxy::outdated_since(history, 3) == at(40));
    CHECK(proxy::outdated_since(history, 4) == at(50));
    CHECK(proxy::any_learned_within(history, at(51), base::seconds(5)));
    proxy::prune_superseded(history, at(90), base::seconds(5));
    CHECK(history.targets.size() == 1);
    CHECK(proxy::newest_version(history) == 5);
    CHECK_FALSE(proxy::any_learned_within(history, at(90), base::seconds(5)));
}
