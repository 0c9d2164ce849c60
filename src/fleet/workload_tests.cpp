#include "fleet/workload.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("an upstream's workload adds up and comes back to nothing", "[fleet]") {
    fleet::workload load;
    const fleet::request_work first{9000, 2900, true};
    const fleet::request_work second{800, 800, false};
    fleet::begin_work(load, first);
    fleet::begin_work(load, second);
    CHECK(load.in_flight == 2);
    CHECK(load.unread_tokens == 3700);
    CHECK(load.held_tokens == 9800);
    CHECK(load.unrepeatable == 1);

    SECTION("with prompts that are read but still held") {
        fleet::note_begun(load, first);
        CHECK(load.unread_tokens == 800);
        CHECK(load.held_tokens == 9800);
        fleet::end_work(load, first, true);
        fleet::begin_work(load, first);
    }
    SECTION("over all entries") {
        fleet::workload all = load;
        all += load;
        CHECK(all.in_flight == 4);
        CHECK(all.held_tokens == 19600);
    }
    fleet::end_work(load, first, false);
    fleet::end_work(load, second, false);
    CHECK(load.in_flight == 0);
    CHECK(load.unread_tokens == 0);
    CHECK(load.held_tokens == 0);
    CHECK(load.unrepeatable == 0);
}
