#include "admission/queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace camphorrail;

namespace {

const base::instant start{base::seconds(10)};

admission::queued_request request_of(const std::string& team, int number, int priority = 5,
                                     double share = 1.0) {
    return {{team + std::to_string(number)},
            {team},
            priority,
            share,
            base::milliseconds(100),
            start + base::milliseconds(500 + number),
            start + base::seconds(30)};
}

} // namespace

TEST_CASE("the request queue of an agent", "[admission]") {
    admission::request_queue queue;
    queue.capacity = 1000;

    SECTION("pops higher priorities first, and earlier targets first within a team") {
        admission::push(queue, request_of("quay", 2));
        admission::push(queue, request_of("quay", 1));
        admission::push(queue, request_of("pier", 9, 9));
        CHECK(admission::pop(queue)->attempt.value == "pier9");
        CHECK(admission::pop(queue)->attempt.value == "quay1");
    }

    // A large team floods the queue while a small one sends a request now and then. In arrival
    // order the small team's clients would wait behind all of the large one's requests.
    SECTION("divides the engine by shares while both teams have requests queued") {
        for (int number = 0; number < 300; ++number) {
            admission::push(queue, request_of("large", number, 5, 1.0));
            admission::push(queue, request_of("small", number, 5, 2.0));
        }
        std::map<std::string, int> given;
        for (int turn = 0; turn < 300; ++turn) {
            ++given[admission::pop(queue)->team.value];
        }
        CHECK(given["small"] >= 199);
        CHECK(given["small"] <= 201);
    }

    SECTION("gives a team no credit for idle time") {
        for (int number = 0; number < 100; ++number) {
            admission::push(queue, request_of("busy", number));
            if (number >= 50) {
                admission::pop(queue);
            }
        }
        for (int number = 0; number < 20; ++number) {
            admission::push(queue, request_of("quiet", number));
        }
        int quiet = 0;
        for (int turn = 0; turn < 20; ++turn) {
            quiet += admission::pop(queue)->team.value == "quiet" ? 1 : 0;
        }
        CHECK(quiet <= 11);
    }

    SECTION(
        "rejects requests that can't meet their target, and those below the preset's priority") {
        CHECK(
            admission::admit(queue, request_of("quay", 0), base::micros{0}, start, {}).has_value());
        const auto late =
            admission::admit(queue, request_of("quay", 0), base::seconds(1), start, {});
        CHECK(base::to_code(late.error()) == base::code::target_out_of_reach);
        const auto low =
            admission::admit(queue, request_of("quay", 0), base::micros{0}, start, {1, 6});
        CHECK(base::to_code(low.error()) == base::code::team_over_share);
        queue.capacity = 0;
        const auto full =
            admission::admit(queue, request_of("quay", 0), base::micros{0}, start, {});
        CHECK(base::to_code(full.error()) == base::code::overloaded);
    }

    SECTION("does not count lower priorities in the wait of a higher one") {
        admission::push(queue, request_of("quay", 0, 1));
        CHECK(admission::predicted_wait(queue, 9, base::micros{0}) == base::micros{0});
        CHECK(admission::predicted_wait(queue, 1, base::micros{0}) == base::milliseconds(100));
    }

    SECTION("removes expired and cancelled requests") {
        admission::push(queue, request_of("quay", 1));
        admission::push(queue, request_of("quay", 2));
        CHECK(admission::remove(queue, {"quay1"}));
        CHECK_FALSE(admission::remove(queue, {"quay1"}));
        CHECK(admission::remove_expired(queue, start).empty());
        CHECK(admission::remove_expired(queue, start + base::seconds(30)).size() == 1);
        CHECK_FALSE(admission::pop(queue));
    }
}
