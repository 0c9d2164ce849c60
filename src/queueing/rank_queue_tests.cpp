#include "queueing/rank_queue.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr queueing::rank urgent{0};
constexpr queueing::rank later{3};

} // namespace

// Guards against urgent requests that are refused because of work that waits behind them.
TEST_CASE("a request waits only behind requests of its rank or before", "[queueing]") {
    queueing::rank_queue queue;
    for (int each = 0; each < 40; ++each) {
        queueing::add_request(queue, later, 800);
    }
    queueing::add_request(queue, urgent, 9000);
    const queueing::work_ahead total{41, 41'000};
    CHECK(queueing::ahead_of(queue, total, urgent).requests == 1);
    CHECK(queueing::ahead_of(queue, total, urgent).unread_tokens == 9000);
    CHECK(queueing::ahead_of(queue, total, later).requests == 41);
    CHECK(queueing::ahead_of(queue, total, queueing::last_rank).unread_tokens == 41'000);
    CHECK(queueing::responses_awaited(queueing::ahead_of(queue, total, urgent), 9.0) == 2.0);
    CHECK(queueing::responses_awaited(queueing::ahead_of(queue, total, later), 9.0) == 9.0);

    SECTION("work of entries that report no ranks counts as ahead of everyone") {
        const queueing::work_ahead with_others{71, 50'000};
        CHECK(queueing::ahead_of(queue, with_others, urgent).requests == 31);
        CHECK(queueing::ahead_of(queue, with_others, urgent).unread_tokens == 18'000);
    }
    SECTION("requests that have begun are not waited for") {
        queueing::record_first_byte(queue, urgent, 9000);
        CHECK(queueing::ahead_of(queue, {41, 32'000}, urgent).requests == 0);
        queueing::remove_request(queue);
        CHECK(queue.ranked_requests == 40);
    }
}
