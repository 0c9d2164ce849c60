#include "kvcache/lanes.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr std::int64_t slots = 64;

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

// A pool whose engines have requests with short prompts in flight, evenly distributed.
struct loaded_pool {
    fleet::fleet state;
    kvcache::lane_sizes sizes;
    int time_ms = 0;

    explicit loaded_pool(int engines) {
        std::vector<ports::listed_upstream> listed;
        listed.reserve(static_cast<std::size_t>(engines));
        for (int each = 0; each < engines; ++each) {
            listed.push_back({.id = {"e" + std::to_string(each)},
                              .pool = {"pool"},
                              .address = "10.0.0.1:1",
                              .zone = {std::string(1, static_cast<char>('a' + each % 3))},
                              .slots = slots});
        }
        fleet::apply_list(this->state, listed, at(0));
    }

    // Simulates `seconds` with this many requests in flight in total; returns the number of engines
    // in the short lane.
    std::size_t run(std::int64_t requests, int seconds) {
        const auto members = static_cast<std::int64_t>(this->state.members.size());
        for (auto& [id, one] : this->state.members) {
            one.local_work.short_prompts = requests / members;
        }
        constexpr int tick_ms = 100;
        for (const int until = this->time_ms + seconds * 1000; this->time_ms < until;
             this->time_ms += tick_ms) {
            kvcache::assign_lanes(this->state, this->sizes, at(this->time_ms), {});
        }
        return this->sizes.at({"pool"}).reserved;
    }
};

} // namespace

// Guards against a fixed share for all pools. Two pools have the same size and traffic, but on one,
// responses to short prompts take a third of a second, on the other three seconds. With the same
// share for both, either engines idle on one while its long prompts wait, or the other's short
// prompts wait for slots.
TEST_CASE("the short lane has as many engines as the short prompts in flight need", "[kvcache]") {
    loaded_pool quick(9);
    CHECK(quick.run(54, 20) == 2);
    loaded_pool slow(18);
    CHECK(slow.run(198, 20) == 5);

    SECTION("it grows within seconds when short prompts increase, up to three in ten engines") {
        CHECK(quick.run(900, 6) == 2);
        loaded_pool large(40);
        CHECK(large.run(120, 30) < 8);
        CHECK(large.run(2000, 6) == 12);
    }
    SECTION("it keeps its size while there is no traffic, as between two bursts") {
        const auto previous = slow.sizes.at({"pool"}).reserved;
        CHECK(slow.run(0, 60) == previous);
    }
    SECTION("small fluctuations of the work do not change its size") {
        loaded_pool large(40);
        const auto reserved = large.run(200, 30);
        for (int round = 0; round < 10; ++round) {
            CHECK(large.run(round % 2 == 0 ? 240 : 160, 2) == reserved);
        }
    }
}

TEST_CASE("part of the pool is reserved before any traffic", "[kvcache]") {
    CHECK(loaded_pool(18).run(0, 5) == 5);
    loaded_pool small(4);
    CHECK(small.run(0, 1) == 1);
}
