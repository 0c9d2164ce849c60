#include "proxy/pause_detection.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int ms) {
    return base::instant{base::milliseconds(ms)};
}

} // namespace

// Guards against an entry that goes on serving by the configuration from before its pause.
TEST_CASE("after a pause requests wait until the store has been verified", "[proxy]") {
    proxy::pause_state state;
    CHECK_FALSE(proxy::record_activity(state, at(5000), {}));
    CHECK_FALSE(proxy::record_activity(state, at(5900), {}));
    CHECK_FALSE(proxy::awaits_verification(state, at(4500), at(5900), {}));
    const auto pause = proxy::record_activity(state, at(8000), {});
    REQUIRE(pause);
    CHECK(*pause == base::milliseconds(2100));

    SECTION("which a verification from before the pause does not do") {
        CHECK(proxy::awaits_verification(state, at(5900), at(8001), {}));
        CHECK(proxy::awaits_verification(state, {}, at(8001), {}));
    }
    SECTION("which another entry may have done shortly before its end") {
        CHECK_FALSE(proxy::awaits_verification(state, at(7100), at(8010), {}));
    }
    SECTION("but not for long") {
        CHECK(proxy::awaits_verification(state, at(5900), at(8499), {}));
        CHECK_FALSE(proxy::awaits_verification(state, at(5900), at(8500), {}));
    }
}
