#include "queueing/retry_schedule.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;

namespace {

constexpr base::instant now{base::seconds(100)};

} // namespace

// Guards against callers that return together, or while the pool is still as full as before.
TEST_CASE("refused callers return one after the other, behind the backlog", "[queueing]") {
    queueing::retry_schedule schedule;
    const queueing::refused_request refused{{1}, 500.0, 0.02, milliseconds(6000)};
    milliseconds before{0};
    for (int each = 0; each < 20; ++each) {
        const auto scheduled =
            queueing::schedule_return(schedule, refused, now, static_cast<std::uint64_t>(each));
        CHECK(scheduled.has_room);
        // One in 50 ms, each anywhere within its own.
        CHECK(scheduled.delay >= milliseconds(500 + 50 * each));
        CHECK(scheduled.delay < milliseconds(550 + 50 * each));
        before = scheduled.delay;
    }
    SECTION("but no caller waits longer than a third of its time") {
        const queueing::refused_request hurried{{1}, 500.0, 0.02, milliseconds(3000)};
        const auto scheduled = queueing::schedule_return(schedule, hurried, now, 7);
        CHECK_FALSE(scheduled.has_room);
        CHECK(scheduled.delay <= milliseconds(1000));
        CHECK(scheduled.delay >= milliseconds(700));
        // It takes no one's place.
        CHECK(queueing::schedule_return(schedule, refused, now, 7).delay <
              before + milliseconds(100));
    }
    SECTION("and other ranks have times of their own") {
        const queueing::refused_request urgent{{0}, 0.0, 0.02, milliseconds(6000)};
        CHECK(queueing::schedule_return(schedule, urgent, now, 7).delay < milliseconds(450));
    }
}

TEST_CASE("the room of a rank is what more urgent ones leave", "[queueing]") {
    const double room = queueing::room_per_ms({320, 10, 2000.0, 10.0, 0.25});
    CHECK(room == Approx(0.04));
    CHECK(queueing::room_per_ms({320, 10, 2000.0, 100.0, 0.25}) == Approx(0.025));
    CHECK(queueing::room_for_rank(room, 0.01) == Approx(0.03));
    CHECK(queueing::room_for_rank(room, 0.05) == Approx(0.01));
}
