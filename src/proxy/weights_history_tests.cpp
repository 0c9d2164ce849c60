#include "proxy/weights_history.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int seconds) {
    return base::instant{base::seconds(seconds)};
}

} // namespace

// All entries lose power and start again together. Ten seconds before, new weights were named.
// Nobody is left who knows when, and callers' requests must not begin on the old weights as if they
// had been outdated only since the start.
TEST_CASE("weights found at the start are taken to be named long ago", "[proxy]") {
    proxy::weights_history history;
    CHECK(proxy::record_target(history, 6, {{}, {}, at(20)}));
    CHECK(proxy::outdated_since(history, 5) < at(1));
    CHECK_FALSE(proxy::record_target(history, 6, {at(40), {}, at(41)}));
    CHECK(proxy::outdated_since(history, 5) < at(1));

    SECTION("until an entry that went on living tells when it was") {
        CHECK(proxy::record_reported_target(history, 6, at(19), at(42)));
        CHECK(proxy::outdated_since(history, 5) == at(19));
        CHECK_FALSE(proxy::record_reported_target(history, 6, at(18), at(42)));
        CHECK_FALSE(proxy::record_reported_target(history, 6, std::nullopt, at(42)));
        CHECK(proxy::outdated_since(history, 5) == at(19));
    }
    SECTION("while what is named later is dated as usual") {
        CHECK(proxy::record_target(history, 7, {at(50), {}, at(51)}));
        CHECK(proxy::outdated_since(history, 6) == at(50));
    }
}

// Guards against requests on outdated weights after a VM has lost power: its clock begins anew with
// it, so the clock's start is no long time ago.
TEST_CASE("weights of unknown age are outdated for long also on a VM that has just started",
          "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 6, {{}, {}, at(1)});
    CHECK(at(1) - proxy::outdated_since(history, 5) > std::chrono::hours(1));
}

TEST_CASE("weights are outdated since the first newer version was named", "[proxy]") {
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

TEST_CASE("another entry's word dates a version more closely", "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 2, {at(2), {}, at(9)});

    SECTION("where this entry's own date is imprecise") {
        CHECK(proxy::is_imprecise(history, 1));
        CHECK_FALSE(proxy::is_imprecise(history, 2));
        CHECK(proxy::record_reported_target(history, 2, at(8), at(10)));
        CHECK(proxy::outdated_since(history, 1) == at(8));
        CHECK_FALSE(proxy::is_imprecise(history, 1));
    }
    SECTION("and not where it is close already") {
        proxy::record_target(history, 3, {at(11), {}, at(12)});
        CHECK_FALSE(proxy::is_imprecise(history, 2));
        CHECK_FALSE(proxy::record_reported_target(history, 3, at(13), at(14)));
        CHECK(proxy::outdated_since(history, 2) == at(11));
    }
    // Guards against weights that are taken to be outdated since the second of two newer versions,
    // by an entry that was away for the first.
    SECTION("together with a version between that this entry has missed") {
        proxy::record_target(history, 4, {at(12), {}, at(20)});
        CHECK(proxy::record_reported_target(history, 3, at(13), at(21)));
        CHECK(proxy::record_reported_target(history, 4, at(19), at(21)));
        CHECK(proxy::outdated_since(history, 2) == at(13));
        CHECK(proxy::outdated_since(history, 3) == at(19));
    }
}

// Guards against prompts that are refused, or taken back, since another entry tells of a version
// that this one has missed and does not know when it was named.
TEST_CASE("an undated word of a missed version leaves a good date", "[proxy]") {
    proxy::weights_history history;
    proxy::record_target(history, 3, {at(8), {}, at(13)});
    CHECK(proxy::record_reported_target(history, 2, std::nullopt, at(14)));
    CHECK(proxy::outdated_since(history, 1) == at(8));

    SECTION("also where a later one was dated more closely before") {
        proxy::record_target(history, 5, {at(15), {}, at(30)});
        CHECK(proxy::record_reported_target(history, 5, at(29), at(31)));
        CHECK(proxy::record_reported_target(history, 4, std::nullopt, at(31)));
        CHECK(proxy::outdated_since(history, 3) == at(15));
        CHECK(proxy::outdated_since(history, 4) == at(29));
    }
}

TEST_CASE("replaced versions are forgotten once nothing may begin on them", "[proxy]") {
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
