#include "quarantine/request_identity.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using quarantine::identify;

TEST_CASE("a request has the same identity on each attempt", "[quarantine]") {
    const auto first = identify({"/desk/1", "north", "hello"});
    CHECK(first == identify({"/desk/1", "north", "hello"}));
    CHECK(first.body_bytes == 5);

    SECTION("that differs for another path, client or body") {
        CHECK(first.digest != identify({"/desk/2", "north", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "south", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "north", "hallo"}).digest);
    }
    SECTION("that differs if the same bytes are split differently") {
        CHECK(first.digest != identify({"/desk/1n", "orth", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "northh", "ello"}).digest);
    }
}
