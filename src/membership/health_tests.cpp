#include "membership/health.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("an upstream's health", "[membership]") {
    const membership::health_rules rules;
    membership::health state;
    const base::instant start{base::seconds(100)};

    // An engine fails each call at once. An entry that goes by load alone sees it as the idlest of
    // all and sends it ever more; every caller of its prefixes gets an error.
    SECTION("takes a failing engine out, for longer each time, and lets it back") {
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

    SECTION("notices a new life of the engine once, and ignores late reports of an older one") {
        CHECK_FALSE(membership::record_incarnation(state, 3, start));
        CHECK(membership::record_incarnation(state, 4, start));
        CHECK_FALSE(membership::record_incarnation(state, 3, start));
        CHECK(membership::slow_start_factor(state, start, rules) == 0.0);
        CHECK(membership::slow_start_factor(state, start + rules.slow_start, rules) == 1.0);
    }

    SECTION("is not restored by the lagging list of VMs once its agent says that it leaves") {
        state.draining = true;
        state.listed_draining = false;
        CHECK_FALSE(membership::is_usable(state, start));
    }
}
