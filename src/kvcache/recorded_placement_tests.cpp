#include "base/hash.h"
#include "base/random.h"
#include "kvcache/lanes.h"
#include "kvcache/placement.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <string>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};
constexpr int engine_count = 12;
const kvcache::prompt_scope scope{{"m"}, {}};
const routes::pool pool{{"pool"}, 104'014, 192'512, 350'000};
const std::vector<routes::kv_store> stores{{"10.9.9.1:1", {"a"}, 1'200'000, 350'000}};

fleet::workload draw_work(base::random_source& random) {
    const auto draw = [&random](std::uint64_t bound) {
        return static_cast<std::int64_t>(base::random_below(random, bound));
    };
    return {draw(30), draw(20'000), draw(70'000), draw(3), draw(20)};
}

// Engines with random work of this entry and of two others, some of it reported a while ago.
fleet::fleet draw_fleet(base::random_source& random) {
    fleet::fleet state;
    std::vector<ports::listed_upstream> listed;
    listed.reserve(engine_count);
    for (int each = 0; each < engine_count; ++each) {
        listed.push_back({.id = {"e" + std::to_string(each)}, .pool = {"pool"}, .slots = 32});
    }
    fleet::apply_list(state, listed, now);
    kvcache::lane_sizes lanes;
    kvcache::assign_lanes(state, lanes, now, {});
    for (auto& [id, one] : state.members) {
        one.local_work = draw_work(random);
        for (const char* entry : {"entry-2", "entry-3"}) {
            const base::milliseconds age(base::random_below(random, 80));
            one.remote_work[{entry}] = {draw_work(random), now + base::seconds(1), now - age};
        }
    }
    return state;
}

std::vector<ports::prompt_part> draw_prompt(base::random_source& random) {
    const bool is_long = base::random_below(random, 2) == 0;
    const auto shared = "shared" + std::to_string(base::random_below(random, 20));
    return {{shared, {is_long ? 6300 : 400}}, {"own", {is_long ? 2890 : 426}}};
}

// The engines chosen for two hundred prompts, and the times expected there.
std::string record_placements() {
    base::random_source random{7};
    const latency::first_byte_model model{.coefficients = {8.0, 0.01, 0.0}};
    const kvcache::cache_index cache;
    const kvcache::store_index stored;
    std::string record;
    for (int each = 0; each < 200; ++each) {
        auto state = draw_fleet(random);
        std::vector<kvcache::candidate> candidates;
        std::vector<const fleet::member*> members;
        for (auto& [id, one] : state.members) {
            candidates.push_back({&one, 1, base::random_below(random, 4) == 0});
            members.push_back(&one);
        }
        const auto chain = kvcache::make_chain(scope, draw_prompt(random));
        const auto chosen =
            kvcache::place(candidates, {scope, chain, pool, members, base::milliseconds(500)},
                           {cache, stored, stores, now, {}, model, {}});
        record += chosen.target.engine->listed.id.value + " " +
                  std::to_string(std::lround(chosen.wait_ms * 10.0)) + " " +
                  std::to_string(std::lround(chosen.first_byte_ms * 10.0)) + "\n";
    }
    return record;
}

} // namespace

// Guards against decisions that change where no feature is on. The record was made by the build
// that had no ranks.
TEST_CASE("prompts without a rank are placed as by builds without ranks", "[kvcache][queueing]") {
    const auto record = record_placements();
    CHECK(record.substr(0, record.find('\n')) == "e6 10083 11082");
    CHECK(base::stable_hash(record) == 16803937256645619503U);
}
