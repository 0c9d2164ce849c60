#include "proxy/shutdown.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using proxy::shutdown_step;

namespace {

constexpr std::size_t none = 0;

// An entry that received the stop signal at time 0.
struct stopping_entry {
    proxy::shutdown_state state{base::instant{}, true, {}};
    proxy::shutdown_rules rules;

    shutdown_step at(int ms, std::size_t open_requests, std::size_t unsent_bytes = none) {
        const base::instant now{base::milliseconds(ms)};
        return proxy::advance_shutdown(this->state, {now, open_requests, unsent_bytes},
                                       this->rules);
    }
};

} // namespace

TEST_CASE("an entry without a stop signal keeps running", "[proxy]") {
    proxy::shutdown_state state;
    const base::instant late{base::seconds(100)};
    CHECK(proxy::advance_shutdown(state, {late, none, none}, {}) == shutdown_step::wait);
}

TEST_CASE("an entry exits once its clients have their responses", "[proxy]") {
    stopping_entry entry;
    CHECK(entry.at(2790, none) == shutdown_step::wait);

    SECTION("at once if nothing is in flight") {
        CHECK(entry.at(2800, none) == shutdown_step::stop_accepting);
        CHECK(entry.at(2800, none) == shutdown_step::resign);
        CHECK(entry.at(2940, none) == shutdown_step::wait);
        CHECK(entry.at(2950, none) == shutdown_step::exit);
    }
    SECTION("after the last response") {
        CHECK(entry.at(2800, 2) == shutdown_step::stop_accepting);
        CHECK(entry.at(5000, 1) == shutdown_step::wait);
        CHECK(entry.at(5000, none, 70) == shutdown_step::wait);
        CHECK(entry.at(5100, none) == shutdown_step::resign);
        CHECK(entry.at(5250, none) == shutdown_step::exit);
    }
    // Guards against a request that is cut without a response because it arrived when nothing was
    // in flight and the exit had already been decided.
    SECTION("also after a request that arrived when nothing was in flight") {
        CHECK(entry.at(2800, none) == shutdown_step::stop_accepting);
        CHECK(entry.at(2800, none) == shutdown_step::resign);
        CHECK(entry.at(2950, 1) == shutdown_step::wait);
        CHECK(entry.at(3300, none, 900) == shutdown_step::wait);
        CHECK(entry.at(3310, none) == shutdown_step::exit);
    }
}
