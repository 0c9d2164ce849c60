#include "weights/load_plan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

std::vector<weights::load_candidate> engines(int count, std::int64_t version) {
    std::vector<weights::load_candidate> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int each = 0; each < count; ++each) {
        all.push_back({.id = {"e" + std::to_string(10 + each)}, .version = version});
    }
    return all;
}

// A simulated pool that completes each load in one second.
struct pool_in_change {
    std::vector<weights::load_candidate> all = engines(18, 1);
    std::vector<base::instant> done_at = std::vector<base::instant>(18);
    int loads = 0;
    std::size_t most_at_once = 0;

    void run(std::int64_t version, int from_ms, int to_ms) {
        constexpr int step_ms = 100;
        for (int time = from_ms; time < to_ms; time += step_ms) {
            this->step(version, at(time));
        }
    }

    void step(std::int64_t version, base::instant now) {
        std::size_t loading = 0;
        for (std::size_t each = 0; each < this->all.size(); ++each) {
            auto& one = this->all[each];
            if (one.loading && now >= this->done_at[each]) {
                one.loading = false;
                one.loaded_at = now;
            }
            loading += one.loading ? 1 : 0;
        }
        for (const auto& id : weights::plan_loads(this->all, version, now, {})) {
            const auto found = std::find_if(this->all.begin(), this->all.end(),
                                            [&id](const auto& one) { return one.id == id; });
            found->loading = true;
            found->version = version;
            this->done_at[static_cast<std::size_t>(found - this->all.begin())] =
                now + base::seconds(1);
            ++this->loads;
            ++loading;
        }
        this->most_at_once = std::max(this->most_at_once, loading);
    }
};

} // namespace

TEST_CASE("only part of the upstreams load new weights at the same time", "[weights]") {
    auto all = engines(18, 1);
    const weights::load_rules rules;
    all[0].in_flight = 5;
    const auto first = weights::plan_loads(all, 2, at(10000), rules);
    CHECK(first.size() == 5);
    CHECK(first.front().value == "e11");

    SECTION("loads in progress count towards the limit") {
        all[1].loading = true;
        all[2].loading = true;
        CHECK(weights::plan_loads(all, 2, at(10000), rules).size() == 3);
    }
    // The operators' bound on outdated weights is short, or a change takes long.
    SECTION("more upstreams change if the rollout would take too long otherwise") {
        for (auto& each : all) {
            each.load_duration = base::milliseconds(2400);
        }
        CHECK(weights::plan_loads(all, 2, at(10000), rules).size() == 8);
    }
    SECTION("a suspected upstream is never chosen") {
        for (std::size_t each = 0; each < 16; ++each) {
            all[each].suspected = true;
        }
        const auto sound = weights::plan_loads(all, 2, at(10000), rules);
        CHECK(sound.size() == 2);
        CHECK(sound.front().value == "e26");
    }
    SECTION("upstreams with the oldest weights come first") {
        for (std::size_t each = 0; each < 17; ++each) {
            all[each].version = 2;
        }
        CHECK(weights::plan_loads(all, 3, at(10000), rules).front().value == "e27");
    }
    SECTION("the limit is higher for upstreams that no longer serve") {
        for (auto& each : all) {
            each.out_of_service = true;
        }
        CHECK(weights::plan_loads(all, 2, at(10000), rules).size() == 10);
    }
    // If all upstreams of a lane changed at the same time, its kind of request would have no
    // upstream.
    SECTION("the limit applies to each lane separately") {
        for (std::size_t each = 0; each < 4; ++each) {
            all[each].lane = 1;
        }
        int of_lane = 0;
        for (const auto& id : weights::plan_loads(all, 2, at(10000), rules)) {
            of_lane += id.value < "e14" ? 1 : 0;
        }
        CHECK(of_lane == 1);
    }
}

// Versions follow each other every three to four seconds. If half of the upstreams changed at once,
// the rest could not prefill all prompts again, and clients would wait for two seconds and time
// out. Instead, the rollout proceeds at an even pace, and each upstream skips a version that is
// superseded during its cooldown.
TEST_CASE("versions that follow each other are rolled out at an even pace", "[weights]") {
    pool_in_change pool;
    pool.run(2, 10000, 14000);
    pool.run(3, 14000, 18000);
    pool.run(4, 18000, 28000);
    CHECK(pool.most_at_once == 5);
    // Three versions on eighteen upstreams, less the skipped loads.
    CHECK(pool.loads == 41);
    for (const auto& each : pool.all) {
        CHECK(each.version == 4);
    }
}
