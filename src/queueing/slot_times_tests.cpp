#include "queueing/slot_times.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Guards against waits that are overestimated by a fixed 2.5 s where responses are short.
TEST_CASE("the time in a slot is learned by route, and forgotten", "[queueing]") {
    constexpr base::instant now{base::seconds(100)};
    constexpr double prior_ms = 2500.0;
    queueing::slot_times times;
    CHECK(queueing::mean_slot_ms(times, prior_ms, now) == prior_ms);
    for (int each = 0; each < 300; ++each) {
        queueing::record_slot_time(times, "short", 2000.0, now);
        queueing::record_slot_time(times, "long", 400.0, now);
    }
    CHECK(queueing::route_slot_ms(times, "short", prior_ms, now) == Approx(2000.0).margin(20.0));
    CHECK(queueing::route_slot_ms(times, "long", prior_ms, now) == Approx(400.0).margin(80.0));
    CHECK(queueing::route_slot_ms(times, "new", prior_ms, now) == prior_ms);
    CHECK(queueing::mean_slot_ms(times, prior_ms, now) == Approx(1200.0).margin(30.0));
    const auto later = now + base::minutes(3);
    CHECK(queueing::mean_slot_ms(times, prior_ms, later) == Approx(prior_ms).margin(1.0));
}
