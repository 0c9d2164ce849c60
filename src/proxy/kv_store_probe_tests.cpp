#include "proxy/kv_store_probe.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// The store of kept KV cache goes down and comes back empty. Engines that were told to fetch from
// it would wait for it with every prompt, and what was saved there before is gone; so it is named
// as a source only while it takes connections, and prompts are saved anew afterwards.
TEST_CASE("a store of kept cache that is down is no source", "[proxy]") {
    tests::proxy_world world;
    const auto nothing = [](const tests::engine_request&) { return tests::engine_script{}; };
    auto& store = world.add_engine("kept", nothing);
    world.config.pools[{"kept"}] = {.id = {"kept"}, .kv_store = store.address()};
    world.prove_config();
    const auto chain = kvcache::make_chain("m.1", {{"agency", {2520}}, {"own", {100}}});
    kvcache::note_read(world.state.cache, chain, {"i-1"}, true, world.entry().now());

    proxy::kv_store_probe probe(world.entry());
    probe.tick();
    CHECK(world.run_until([&] { return store.connections == 1; }));
    CHECK_FALSE(world.state.kv_store_down);
    CHECK(kvcache::is_saved(world.state.cache, chain, {}));

    store.stop_listening();
    world.move_clock(base::seconds(2));
    CHECK(world.run_until([&] {
        probe.tick();
        return world.state.kv_store_down;
    }));
    CHECK_FALSE(kvcache::is_saved(world.state.cache, chain, {}));
}
