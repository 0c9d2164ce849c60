#include "proxy/kv_store_follower.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// A KV cache store and an entry, either alone or connected to others.
struct store_world {
    tests::proxy_world world;
    std::string listing = R"({"bootEpoch":7,"next":3,"held":[["m.1","aa",2520,"m"]]})";
    std::string changes = R"({"bootEpoch":7,"next":3,"lost":false,"events":[]})";
    std::vector<base::entry_id> connected;
    std::vector<peering::kv_store_contents> sent;
    tests::scripted_engine& store;
    proxy::kv_store_follower follower;

    store_world()
        : store(this->world.add_engine(
              "kept",
              [this](const tests::engine_request& request) {
                  const bool all = request.head.target == "/kv-list";
                  const auto text = tests::answer("", all ? this->listing : this->changes);
                  return tests::engine_script{{tests::engine_step::kind::send, text}};
              })),
          follower(this->world.entry(), [this] { return this->connected; }) {
        this->world.config.kv_stores = {{this->store.address(), {"a"}, 1000}};
        this->world.prove_config();
        this->follower.broadcast = [this](const peering::kv_store_contents& message) {
            this->sent.push_back(message);
        };
    }

    // Advances the clock and runs ticks until a condition holds.
    bool tick_until(const std::function<bool()>& condition) {
        return this->world.run_until([&] {
            this->world.move_clock(base::milliseconds(20));
            this->follower.tick();
            return condition();
        });
    }

    [[nodiscard]] std::int64_t stored_tokens(const std::string& part) {
        const auto& parts = this->world.state.stored_prompts[this->store.address()].parts;
        const auto found = parts.find(kvcache::part_key("m.1", part));
        return found == parts.end() ? 0 : found->second;
    }
};

} // namespace

TEST_CASE("one entry polls a KV cache store and broadcasts its contents", "[proxy]") {
    store_world world;
    REQUIRE(world.tick_until([&] { return world.stored_tokens("aa") == 2520; }));
    CHECK(world.sent.front().complete);
    CHECK(world.sent.front().parts.size() == 1);

    SECTION("changes are broadcast") {
        world.changes = R"({"bootEpoch":7,"next":5,"lost":false,
            "events":[[4,"+","m.1","bb",100,"m"],[5,"-","m.1","aa",0,"m"]]})";
        CHECK(world.tick_until(
            [&] { return world.stored_tokens("bb") == 100 && world.stored_tokens("aa") == 0; }));
        CHECK_FALSE(world.sent.back().complete);
    }
    // Events may arrive late or never. The store reports lost events; without reading everything
    // again, the contents derived from them would be silently wrong.
    SECTION("the full listing is read again after lost events") {
        world.listing = R"({"bootEpoch":7,"next":9,"held":[["m.1","cc",50,"m"]]})";
        world.changes = R"({"bootEpoch":7,"next":9,"lost":true,"events":[]})";
        CHECK(world.tick_until(
            [&] { return world.stored_tokens("cc") == 50 && world.stored_tokens("aa") == 0; }));
    }
    SECTION("the full listing is read again after the store has restarted empty") {
        world.listing = R"({"bootEpoch":8,"next":0,"held":[]})";
        world.changes = R"({"bootEpoch":8,"next":0,"lost":false,"events":[]})";
        CHECK(world.tick_until([&] { return world.stored_tokens("aa") == 0; }));
    }
    // The store goes down. Engines instructed to fetch from it would wait for it with every prompt,
    // so all entries must learn of it at once.
    SECTION("an unreachable store is reported") {
        world.store.stop_listening();
        CHECK(world.tick_until([&] { return world.sent.back().unreachable; }));
        CHECK(world.world.state.stored_prompts[world.store.address()].down);
        CHECK(world.stored_tokens("aa") == 0);
    }
    SECTION("an entry that connects later receives the complete contents") {
        const auto views = world.follower.complete_views();
        REQUIRE(views.size() == 1);
        CHECK(std::get<peering::kv_store_contents>(views.front()).parts.size() == 1);
    }
}

// A store serves a dozen concurrent queries, but there may be hundreds of entries.
TEST_CASE("only one entry polls a store", "[proxy]") {
    store_world world;
    // Enough peers that some precede this entry in order, whatever the store's port is.
    for (int each = 0; each < 64; ++each) {
        world.connected.push_back({"entry-" + std::to_string(each)});
    }
    world.follower.tick();
    world.follower.receive(
        {"entry-1"}, {world.store.address(), true, false, {{kvcache::part_key("m.1", "dd"), 70}}});
    CHECK(world.stored_tokens("dd") == 70);
    world.world.move_clock(base::seconds(1));
    world.follower.tick();
    CHECK(world.store.connections == 0);

    SECTION("another entry takes over after a silence") {
        world.world.move_clock(base::seconds(200));
        CHECK(world.tick_until([&] { return world.stored_tokens("aa") == 2520; }));
    }
    SECTION("a store reported down counts as down") {
        world.follower.receive({"entry-1"}, {world.store.address(), false, true, {}});
        CHECK(world.world.state.stored_prompts[world.store.address()].down);
    }
}
