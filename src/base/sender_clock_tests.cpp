#include "base/sender_clock.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;

namespace {

// One entry hears another one, with the time in milliseconds.
struct hearing {
    base::sender_clock clock;

    // Gives how long ago the message was written, as far as this entry can tell.
    std::int64_t age(int uptime_ms, int read_ms, int passed_on_for_ms = 0) {
        const base::instant now{milliseconds(1'000'000 + read_ms)};
        const auto written = base::estimate_sent_at(this->clock, milliseconds(uptime_ms),
                                                    now - milliseconds(passed_on_for_ms));
        return std::chrono::duration_cast<milliseconds>(now - written).count();
    }

    // Messages that take no time, ten a second.
    void hear(int from_ms, int to_ms, int started_ms = 0) {
        for (int now = from_ms; now <= to_ms; now += 100) {
            this->age(now - started_ms, now);
        }
    }
};

} // namespace

// The failure: a message that lay unread is taken for as new as the moment at which it is read.
TEST_CASE("a message is as old as when it was written", "[base]") {
    hearing one;
    CHECK(one.age(0, 0) == 0);
    one.hear(100, 30'000);

    SECTION("however long it lay unread") {
        CHECK(one.age(30'100, 35'100) == 5000);
        CHECK(one.age(34'000, 35'100) == 1100);
        CHECK(one.age(35'090, 35'100) == 10);
    }
    SECTION("also for longer than its teller has been running") {
        hearing young;
        young.hear(0, 1000);
        CHECK(young.age(1100, 6000) == 4900);
    }
    SECTION("also before others passed it on") {
        CHECK(one.age(30'100, 35'100, 200) == 5000);
        CHECK(one.age(35'000, 35'100, 200) == 200);
    }
    SECTION("also where the first ones had lain unread too") {
        hearing late;
        late.age(10'000, 13'000);
        CHECK(late.age(12'900, 13'000) == 100 - 100);
        CHECK(late.age(10'500, 13'000) == 2400);
    }
}

// The failure: an entry that has started again, or whose clock went wrong, is never again heard.
TEST_CASE("a teller's clock is found again", "[base]") {
    hearing one;
    const int lived_ms = GENERATE(300, 2000, 60'000);
    one.hear(0, lived_ms);

    SECTION("at once where it has started again") {
        CHECK(one.age(100, lived_ms + 600) == 0);
        CHECK(one.age(200, lived_ms + 700) == 0);
    }
    SECTION("after a while where it stood still") {
        one.hear(lived_ms + 5000, lived_ms + 30'000, 5000);
        CHECK(one.age(lived_ms + 25'100, lived_ms + 30'100) == 0);
    }
    SECTION("after a while where ours stood still") {
        one.hear(lived_ms + 100, lived_ms + 30'000, -60'000);
        CHECK(one.age(lived_ms + 90'100, lived_ms + 30'100) == 0);
    }
}

// The failure: a late message of a life that has ended makes the present one seem long silent.
TEST_CASE("messages of an earlier life leave the present one as it is", "[base]") {
    hearing one;
    one.hear(0, 60'000);
    one.hear(61'000, 63'000, 60'900);
    CHECK(one.age(59'000, 63'050) > 1000);
    CHECK(one.age(2200, 63'100) == 0);
}
