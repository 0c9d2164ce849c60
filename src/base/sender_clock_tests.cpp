#include "base/sender_clock.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;

namespace {

// An entry that receives the messages of one sender; all times are in milliseconds.
struct receiver {
    base::sender_clock clock;

    // Returns the estimated age of a message when it is received.
    std::int64_t age(int uptime_ms, int received_ms, int relayed_for_ms = 0) {
        const base::instant now{milliseconds(1'000'000 + received_ms)};
        const auto written = base::estimate_sent_at(this->clock, milliseconds(uptime_ms),
                                                    now - milliseconds(relayed_for_ms));
        return std::chrono::duration_cast<milliseconds>(now - written).count();
    }

    // Receives ten messages a second, each without delay.
    void receive(int from_ms, int to_ms, int started_ms = 0) {
        for (int now = from_ms; now <= to_ms; now += 100) {
            this->age(now - started_ms, now);
        }
    }
};

} // namespace

// Guards against treating a message that was buffered for long as if it had been sent when it was
// received.
TEST_CASE("the age of a message counts from when it was sent", "[base]") {
    receiver one;
    CHECK(one.age(0, 0) == 0);
    one.receive(100, 30'000);

    SECTION("however long it was buffered") {
        CHECK(one.age(30'100, 35'100) == 5000);
        CHECK(one.age(34'000, 35'100) == 1100);
        CHECK(one.age(35'090, 35'100) == 10);
    }
    SECTION("even if it was buffered for longer than its sender has been running") {
        receiver young;
        young.receive(0, 1000);
        CHECK(young.age(1100, 6000) == 4900);
    }
    SECTION("including the time before another entry relayed it") {
        CHECK(one.age(30'100, 35'100, 200) == 5000);
        CHECK(one.age(35'000, 35'100, 200) == 200);
    }
    SECTION("even if the first messages had been buffered as well") {
        receiver late;
        late.age(10'000, 13'000);
        CHECK(late.age(12'900, 13'000) == 100 - 100);
        CHECK(late.age(10'500, 13'000) == 2400);
    }
}

// Guards against ignoring all later messages of an entry that has restarted or whose clock was off.
TEST_CASE("the estimate of a sender's clock recovers", "[base]") {
    receiver one;
    const int first_uptime_ms = GENERATE(300, 2000, 60'000);
    one.receive(0, first_uptime_ms);

    SECTION("at once if the sender has restarted") {
        CHECK(one.age(100, first_uptime_ms + 600) == 0);
        CHECK(one.age(200, first_uptime_ms + 700) == 0);
    }
    SECTION("after some time if the sender's clock was suspended") {
        one.receive(first_uptime_ms + 5000, first_uptime_ms + 30'000, 5000);
        CHECK(one.age(first_uptime_ms + 25'100, first_uptime_ms + 30'100) == 0);
    }
    SECTION("after some time if the receiver's clock was suspended") {
        one.receive(first_uptime_ms + 100, first_uptime_ms + 30'000, -60'000);
        CHECK(one.age(first_uptime_ms + 90'100, first_uptime_ms + 30'100) == 0);
    }
}

// Guards against a delayed message of a previous incarnation making the current one look silent.
TEST_CASE("messages of an earlier incarnation don't change the estimate for the current one",
          "[base]") {
    receiver one;
    one.receive(0, 60'000);
    one.receive(61'000, 63'000, 60'900);
    CHECK(one.age(59'000, 63'050) > 1000);
    CHECK(one.age(2200, 63'100) == 0);
}
