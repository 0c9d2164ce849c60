#include "ratelimit/permits.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using ratelimit::requests_per_second;

namespace {

constexpr ratelimit::permit_rules rules;

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

int take_all(ratelimit::permit_bucket& bucket, base::instant now) {
    int taken = 0;
    while (ratelimit::take_permit(bucket, now)) {
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("permits accumulate at an entry's share of the limit", "[ratelimit]") {
    ratelimit::permit_bucket bucket;
    CHECK_FALSE(ratelimit::has_permit(bucket, at(0)));
    ratelimit::set_share(bucket, {2}, 2, at(1000), rules);

    SECTION("beginning with none") {
        CHECK_FALSE(ratelimit::has_permit(bucket, at(1900)));
        CHECK(ratelimit::take_permit(bucket, at(2000)));
        CHECK_FALSE(ratelimit::has_permit(bucket, at(2000)));
    }
    SECTION("up to the entry's part of the burst, however long nothing was sent") {
        CHECK(take_all(bucket, at(900'000)) == 2);
    }
    SECTION("at the new rate after the limit has changed") {
        ratelimit::set_share(bucket, {20}, 2, at(1000), rules);
        CHECK(take_all(bucket, at(1500)) == 5);
    }
    SECTION("and are lost with the share") {
        ratelimit::set_share(bucket, {2}, 0, at(5000), rules);
        CHECK_FALSE(ratelimit::has_permit(bucket, at(9000)));
        ratelimit::set_share(bucket, {2}, 2, at(9000), rules);
        CHECK_FALSE(ratelimit::has_permit(bucket, at(9500)));
        CHECK(ratelimit::has_permit(bucket, at(10000)));
    }
}

// Guards against shares of less than one request that each entry rounds up to one.
TEST_CASE("a low limit is divided among few entries", "[ratelimit]") {
    CHECK(ratelimit::holder_count({0.3}, 400, rules) == 2);
    CHECK(ratelimit::holder_count({1}, 6, rules) == 3);
    CHECK(ratelimit::holder_count({3}, 6, rules) == 6);
    CHECK(ratelimit::holder_count({3}, 400, rules) == 6);
    CHECK(ratelimit::holder_count({50}, 400, rules) == 77);
    CHECK(ratelimit::holder_count({50}, 1, rules) == 1);
}

// Guards against a limit of 0 that nobody could notice the end of.
TEST_CASE("an upstream that takes nothing is asked now and then", "[ratelimit]") {
    ratelimit::permit_bucket bucket;
    ratelimit::set_share(bucket, {0}, 1, at(0), rules);
    CHECK_FALSE(ratelimit::has_permit(bucket, at(9900)));
    CHECK(ratelimit::has_permit(bucket, at(10'100)));
}
