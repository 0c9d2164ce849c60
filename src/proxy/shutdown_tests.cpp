#include "proxy/shutdown.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using proxy::shutdown_step;

namespace {

constexpr std::size_t none = 0;

// An entry that was told to stop at the start of the clock.
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

TEST_CASE("an entry that is not told to stop goes on", "[proxy]") {
    proxy::shutdown_state state;
    const base::instant late{base::seconds(100)};
    CHECK(proxy::advance_shutdown(state, {late, none, none}, {}) == shutdown_step::wait);
}

TEST_CASE("an entry ends once its callers have their answers", "[proxy]") {
    stopping_entry entry;
    CHECK(entry.at(2790, none) == shutdown_step::wait);

    SECTION("at once where nothing is under way") {
        CHECK(entry.at(2800, none) == shutdown_step::stop_accepting);
        CHECK(entry.at(2800, none) == shutdown_step::resign);
        CHECK(entry.at(2940, none) == shutdown_step::wait);
        CHECK(entry.at(2950, none) == shutdown_step::exit);
    }
    SECTION("after the last one") {
        CHECK(entry.at(2800, 2) == shutdown_step::stop_accepting);
        CHECK(entry.at(5000, 1) == shutdown_step::wait);
        CHECK(entry.at(5000, none, 70) == shutdown_step::wait);
        CHECK(entry.at(5100, none) == shutdown_step::resign);
        CHECK(entry.at(5250, none) == shutdown_step::exit);
    }
    // Guards against a request that is cut without an answer since it came when nothing was under
    // way and the end was decided already.
    SECTION("also after one that has come since nothing was under way") {
        CHECK(entry.at(2800, none) == shutdown_step::stop_accepting);
        CHECK(entry.at(2800, none) == shutdown_step::resign);
        CHECK(entry.at(2950, 1) == shutdown_step::wait);
        CHECK(entry.at(3300, none, 900) == shutdown_step::wait);
        CHECK(entry.at(3310, none) == shutdown_step::exit);
    }
}
