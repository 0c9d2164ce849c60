#include "proxy/context.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// An engine drops its cache when it loads new weights. An entry that counted the old parts as
// cached took the engine's memory to be full and newer parts to be evicted, so prompts that the
// engine had cached were fetched from KV cache stores or read again.
TEST_CASE("an engine's cached prompts are discarded with its weights", "[proxy]") {
    tests::proxy_world world;
    world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    auto& member = world.state.fleet.members.at({"engine"});
    member.listed.models = {{{"m"}, 1}};
    constexpr std::uint64_t prompt = 9;
    constexpr std::int64_t capacity_tokens = 10000;
    const auto cache_prompt = [&](std::int64_t weights) {
        kvcache::prompt_prefill read;
        read.levels = {{prompt, 4000}};
        read.weights = weights;
        read.engine = fleet::instance_of(member);
        kvcache::record_prefill(world.state.cache, read, capacity_tokens, world.entry().now());
    };
    const auto holds = [&](std::int64_t weights) {
        return kvcache::holds_level(world.state.cache, {"engine"},
                                    kvcache::cached_level_key(prompt, weights, 0));
    };
    cache_prompt(1);
    REQUIRE(holds(1));

    SECTION("a newer version was loaded") {
        proxy::record_weights(world.entry(), fleet::instance_of(member), {"m"}, 2);
        CHECK_FALSE(holds(1));
        cache_prompt(2);
        CHECK(holds(2));
    }
    SECTION("a late report of the current version changes nothing") {
        proxy::record_weights(world.entry(), fleet::instance_of(member), {"m"}, 1);
        CHECK(holds(1));
    }
}
