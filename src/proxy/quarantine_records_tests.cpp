#include "mirrored_store.h"
#include "proxy/quarantine_records.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const quarantine::quarantined_request fatal{quarantine::identify({"/desk", "north", "fatal"}),
                                            base::minutes(10), 2};

std::set<std::string> all_keys(const tests::proxy_world& world) {
    std::set<std::string> keys;
    for (const auto& [key, item] : world.state.store.items) {
        keys.insert(key);
    }
    return keys;
}

} // namespace

// Guards against a fatal request that crashes upstreams again after all entries have restarted.
TEST_CASE("a quarantine is recorded in the store for entries that start later",
          "[proxy][quarantine]") {
    tests::proxy_world world;
    tests::mirrored_store store{world.state.store};
    bool is_leader = false;
    proxy::quarantine_records records(world.entry(), store.calls_to(),
                                      [&is_leader] { return is_leader; });
    const base::instant now = world.entry().now();
    quarantine::impose(world.state.quarantine, fatal.request, fatal.span, now, {});
    records.add(fatal);
    CHECK(store.calls == 1);
    const auto written = records.read(all_keys(world));
    REQUIRE(written.size() == 1);
    CHECK(written[0].request == fatal.request);
    CHECK(written[0].span == fatal.span);
    CHECK(written[0].crashes == 2);

    SECTION("it is written only once") {
        world.move_clock(base::seconds(2));
        records.add(fatal);
        CHECK(store.calls == 1);
    }
    SECTION("the leader deletes it after its expiry") {
        world.move_clock(base::minutes(11));
        quarantine::expire(world.state.quarantine, world.entry().now(), {});
        records.tick();
        CHECK(records.read(all_keys(world)).size() == 1);
        is_leader = true;
        records.tick();
        CHECK(records.read(all_keys(world)).empty());
    }
    SECTION("the leader writes it again if a restored store has lost it") {
        records.tick();
        auto& mirror = world.state.store;
        mirror.revision = {mirror.revision.era + 1, 0};
        mirror.items.clear();
        world.move_clock(base::seconds(2));
        records.tick();
        CHECK(store.calls == 1);
        is_leader = true;
        mirror.lost_items_retained_until = world.entry().now();
        records.tick();
        CHECK(store.calls == 1);
        mirror.lost_items_retained_until.reset();
        records.tick();
        CHECK(records.read(all_keys(world)).size() == 1);
    }
    SECTION("malformed records are ignored") {
        const auto& key = world.state.store.items.begin()->first;
        const std::string text = GENERATE(as<std::string>{}, "", "no JSON", "[]", "{}",
                                          R"({"body_bytes":-1,"hold_ms":1,"crashes":1})",
                                          R"({"body_bytes":1,"hold_ms":"1","crashes":1})");
        world.state.store.items.at(key).value = text;
        CHECK(records.read({key}).empty());
    }
}

TEST_CASE("a quarantine is recorded once the store is reachable again", "[proxy][quarantine]") {
    tests::proxy_world world;
    tests::mirrored_store store{world.state.store};
    proxy::quarantine_records records(world.entry(), store.calls_to(), [] { return false; });
    quarantine::impose(world.state.quarantine, fatal.request, fatal.span, world.entry().now(), {});
    store.unavailable = true;
    records.add(fatal);
    records.tick();
    CHECK(store.calls == 1);
    CHECK(records.read(all_keys(world)).empty());
    store.unavailable = false;
    world.move_clock(base::seconds(2));
    records.tick();
    CHECK(records.read(all_keys(world)).size() == 1);
}
