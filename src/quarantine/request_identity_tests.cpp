#include "quarantine/request_identity.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using quarantine::identify;

TEST_CASE("a request keeps its identity over its attempts", "[quarantine]") {
    const auto first = identify({"/desk/1", "north", "hello"});
    CHECK(first == identify({"/desk/1", "north", "hello"}));
    CHECK(first.body_bytes == 5);

    SECTION("and shares it with no other path, caller or body") {
        CHECK(first.digest != identify({"/desk/2", "north", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "south", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "north", "hallo"}).digest);
    }
    SECTION("also where the same bytes are cut into other parts") {
        CHECK(first.digest != identify({"/desk/1n", "orth", "hello"}).digest);
        CHECK(first.digest != identify({"/desk/1", "northh", "ello"}).digest);
    }
}
