#include "membership/health.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("an upstream's health", "[membership]") {
    const membership::health_rules rules;
    membership::health state;
    const base::instant start{base::seconds(100)};

    // An engine fails each call at once. An entry that balances by load alone sees it as the least
    // loaded and sends it ever more requests, so every client of its prefixes gets an error.
    SECTION("ejects a failing engine for longer each time and readmits it") {
        for (int attempt = 0; attempt < rules.failures_to_eject; ++attempt) {
            CHECK(membership::is_usable(state, start));
            membership::record_failure(state, start, rules);
        }
        CHECK_FALSE(membership::is_usable(state, start));
        CHECK(membership::is_usable(state, start + rules.base_ejection));
        for (int attempt = 0; attempt < rules.failures_to_eject; ++attempt) {
            membership::record_failure(state, start, rules);
        }
        CHECK_FALSE(membership::is_usable(state, start + rules.base_ejection));
        membership::record_success(state);
        CHECK(state.consecutive_ejections == 0);
    }

    SECTION("detects a new engine incarnation once and ignores late reports of an older one") {
        CHECK_FALSE(membership::record_incarnation(state, 3, start));
        CHECK(membership::record_incarnation(state, 4, start));
        CHECK_FALSE(membership::record_incarnation(state, 3, start));
        CHECK(membership::slow_start_factor(state, start, rules) == 0.0);
        CHECK(membership::slow_start_factor(state, start + rules.slow_start, rules) == 1.0);
    }

    SECTION(
        "stays draining by its agent's report although the outdated list of VMs does not say so") {
        state.draining = true;
        state.listed_draining = false;
        CHECK_FALSE(membership::is_usable(state, start));
    }
}
