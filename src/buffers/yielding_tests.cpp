#include "buffers/yielding.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using buffers::holder_id;
using buffers::stage;

namespace {

buffers::account holding_all(const std::vector<std::pair<std::int64_t, stage>>& all) {
    buffers::account state;
    std::int64_t number = 0;
    for (const auto& [bytes, progress] : all) {
        buffers::record(state, {++number}, {{0, bytes, 0}, progress});
    }
    return state;
}

} // namespace

TEST_CASE("the account adds up what holders hold, also when it changes", "[buffers]") {
    buffers::account state;
    buffers::record(state, {1}, {{10, 20, 30}});
    buffers::record(state, {2}, {{1, 2, 3}});
    buffers::record(state, {1}, {{5, 0, 0}});
    CHECK(state.held == buffers::amounts{6, 2, 3});
    buffers::remove(state, {2});
    buffers::record(state, {1}, {});
    CHECK(state.held == buffers::amounts{});
    CHECK(state.holders.empty());
}

TEST_CASE("holders yield in an order that depends on nothing but what they hold", "[buffers]") {
    const buffers::budget limits{100, 0, 100};
    const auto state = holding_all({{30, stage::running},
                                    {30, stage::responding},
                                    {30, stage::not_sent},
                                    {30, stage::not_sent},
                                    {40, stage::running}});
    CHECK(buffers::choose_yields(state, limits) == std::vector<holder_id>{{5}, {4}, {3}, {2}, {1}});
}

// Guards against clients that stop sending and keep their memory, while others are refused.
TEST_CASE("requests whose clients have stalled yield before larger ones", "[buffers]") {
    const buffers::budget limits{100, 60, 100};
    auto state = holding_all({{50, stage::not_sent}, {10, stage::not_sent}, {45, stage::running}});
    state.holders.at({2}).is_stalled = true;
    CHECK(buffers::choose_yields(state, limits) == std::vector<holder_id>{{2}, {1}});

    SECTION("and what cannot be released never does") {
        state.holders.at({1}).may_yield = false;
        CHECK(buffers::choose_yields(state, limits) == std::vector<holder_id>{{2}, {3}});
        CHECK(buffers::may_take(state, limits, {1}));
    }
}

TEST_CASE("as many holders yield as must, a new request among them", "[buffers]") {
    const buffers::budget limits{100, 90, 80};
    const auto of_new = [](std::int64_t bytes) {
        return holding_all(
            {{50, stage::responding}, {45, stage::responding}, {bytes, stage::not_sent}});
    };
    CHECK(buffers::choose_yields(of_new(5), limits).empty());
    CHECK(buffers::choose_yields(of_new(6), limits) == std::vector<holder_id>{{1}});
    CHECK(buffers::may_take(of_new(6), limits, {3}));
    CHECK_FALSE(buffers::may_take(of_new(50), limits, {3}));
    CHECK(buffers::choose_yields(of_new(50), {}).empty());
}

TEST_CASE("an upstream is read on while the budget lasts, and never paused for long", "[buffers]") {
    const buffers::budget limits{100, 90, 80};
    const auto roomy = holding_all({{80, stage::responding}});
    const auto tight = holding_all({{81, stage::responding}});
    const base::instant start{};
    buffers::reading_state reading;
    CHECK(buffers::read_on(reading, roomy, limits, 50, start));
    CHECK_FALSE(buffers::read_on(reading, tight, limits, 50, start));
    CHECK_FALSE(buffers::resume_reading(reading, tight, limits, start));

    auto paused = reading;
    CHECK(buffers::resume_reading(paused, roomy, limits, start));
    const auto later = start + buffers::max_read_pause;
    CHECK(buffers::resume_reading(reading, tight, limits, later));
    CHECK(buffers::read_on(reading, tight, limits, buffers::read_step - 1, later));
    CHECK_FALSE(buffers::read_on(reading, tight, limits, 1, later));
}

// Guards against bounds that hold one by one and together exceed the memory of the process.
TEST_CASE("what is held for others is taken from the budget", "[buffers]") {
    constexpr std::int64_t megabyte = 1 << 20;
    CHECK(buffers::budget_of(88, 0).limit == 44 * megabyte);
    CHECK(buffers::budget_of(88, 20 * megabyte).limit == 24 * megabyte);
    // Requests are still received.
    CHECK(buffers::budget_of(88, 80 * megabyte).limit == 11 * megabyte);
}
