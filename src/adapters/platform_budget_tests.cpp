#include "adapters/platform_budget.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using adapters::platform_call;

TEST_CASE("calls to the store are counted and held to a budget", "[adapters]") {
    adapters::platform_budget budget;
    const base::instant start{base::seconds(100)};
    const auto take = [&](platform_call kind, base::micros after) {
        return adapters::take_call(budget, kind, start + after);
    };

    SECTION("what following the store needs never waits") {
        // Three watches and three proofs a second, for a minute.
        for (int each = 0; each < 360; ++each) {
            const auto kind = each % 2 == 0 ? platform_call::watch : platform_call::proof;
            REQUIRE(take(kind, base::milliseconds(1000 / 6 * each)) == base::micros(0));
        }
        CHECK(adapters::calls_of(budget, platform_call::watch) == 180);
        CHECK(budget.held_back == 0);
    }
    SECTION("a process that asks without end waits") {
        base::micros wait{0};
        for (int each = 0; each < 200; ++each) {
            wait = take(platform_call::read, base::micros(0));
        }
        CHECK(wait > base::seconds(10));
        CHECK(budget.held_back > 0);

        SECTION("but writes and renewals do not") {
            CHECK(take(platform_call::write, base::micros(0)) == base::micros(0));
            CHECK(take(platform_call::renewal, base::micros(0)) == base::micros(0));
        }
        SECTION("and what it has waited for is made up") {
            CHECK(take(platform_call::read, base::seconds(30)) == base::micros(0));
        }
    }
}
