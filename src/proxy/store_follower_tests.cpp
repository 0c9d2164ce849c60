#include "proxy/store_follower.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;

// An entry that follows the store has read a large value that is newer than its mirror's revision,
// on another entry's word. The watch then tells of that value, which is no news here, together with
// a later change. Told of the later change alone, the others would take its revision for theirs
// without ever having the value: they refused callers of a new route for good.
TEST_CASE("others are told all that is newer than before, also what was no news here", "[proxy]") {
    tests::proxy_world world;
    auto& store = world.state.store;
    store.items["config"] = {"config", "c", 12};
    store.items["old"] = {"old", "o", 9};
    store.revision = 11;
    ports::platform platform;
    platform.read = [](const std::string&, auto done) {
        done(ports::snapshot{11, {{"config", "c", 12}, {"old", "o", 9}}});
    };
    platform.commit = [](const ports::transaction&, auto done) {
        done(ports::commit_result{true, 11});
    };
    std::function<void(base::result<ports::changes>)> watch;
    platform.watch = [&](const std::string&, std::int64_t, base::milliseconds, auto done) {
        watch = std::move(done);
    };
    proxy::store_follower follower(world.entry(), platform);
    std::vector<peering::store_changes> sent;
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [&](const peering::store_changes& message) { sent.push_back(message); };
    follower.changed = [](const std::set<std::string>&) {};
    follower.start();
    REQUIRE(world.run_until([&] {
        world.move_clock(base::milliseconds(50));
        follower.tick();
        return watch != nullptr;
    }));
    sent.clear();

    watch(ports::changes{13, {{{"config", "c", 12}, false}, {{"late", "l", 13}, false}}, false});
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().base_revision == 11);
    CHECK(sent.front().changes.revision == 13);
    std::set<std::string> keys;
    for (const auto& each : sent.front().changes.items) {
        keys.insert(each.item.key);
    }
    CHECK(keys == std::set<std::string>{"config", "late"});
}

// Guards against a version of weights that is dated too late where it is the first one named for
// its model: its key was missing, so proofs that compare the known keys go on succeeding without
// it.
TEST_CASE("a proof that knows nothing of a new key does not date it", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    std::int64_t revision = 10;
    std::vector<ports::stored_value> values;
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) { done(ports::snapshot{revision, values}); };
    platform.commit = [&](const ports::transaction&, auto done) {
        done(ports::commit_result{true, revision});
    };
    // It has fallen silent.
    platform.watch = [](const std::string&, std::int64_t, base::milliseconds, auto) {};
    proxy::store_follower follower(world.entry(), platform);
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [](const peering::store_changes&) {};
    bool changed = false;
    follower.changed = [&](const std::set<std::string>&) { changed = true; };
    follower.start();
    const auto tick = [&] {
        world.move_clock(base::milliseconds(100));
        follower.tick();
    };
    for (int count = 0; count < 20; ++count) {
        tick();
    }
    const auto named_at = world.entry().now();
    const std::string key = world.entry().codec.target_weights_prefix + "desk-8b";
    values = {{key, "2", ++revision}};
    for (int count = 0; count < 100 && !changed; ++count) {
        tick();
    }
    REQUIRE(changed);
    const auto dated = mirror::written_after(world.state.store, key);
    REQUIRE(dated);
    CHECK(*dated <= named_at);
    CHECK(*dated >= named_at - base::seconds(2));
}

// Guards against requests that begin on outdated weights at an entry that passes for up to date: it
// has not heard of the first version that was named for a model, and its proofs go on.
TEST_CASE("a proof fails once weights are named for a model that had none", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const base::model_id too_long{std::string(250, 'm')};
    world.state.fleet.members.at({"engine"}).listed.models = {{{"desk-8b"}, 1}, {too_long, 1}};
    const std::string key = world.entry().codec.target_weights_prefix + "desk-8b";
    bool named = false;
    int proofs = 0;
    std::size_t longest_key = 0;
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) {
        done(named ? ports::snapshot{11, {{key, "2", 11}}} : ports::snapshot{10, {}});
    };
    platform.commit = [&](const ports::transaction& check, auto done) {
        const auto& expected = check.preconditions;
        for (const auto& each : expected) {
            longest_key = std::max(longest_key, each.key.size());
        }
        const bool holds = std::none_of(expected.begin(), expected.end(), [&](const auto& each) {
            return each.key == key && each.mod_revision != (named ? 11 : 0);
        });
        ++proofs;
        done(ports::commit_result{holds, named ? 11 : 10});
    };
    // It has fallen silent.
    platform.watch = [](const std::string&, std::int64_t, base::milliseconds, auto) {};
    proxy::store_follower follower(world.entry(), platform);
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [](const peering::store_changes&) {};
    follower.changed = [](const std::set<std::string>&) {};
    follower.start();
    const auto tick = [&] {
        world.move_clock(base::milliseconds(100));
        follower.tick();
    };
    while (proofs < 2) {
        tick();
    }
    const auto named_at = world.entry().now();
    REQUIRE(world.state.store.verified_at >= named_at - base::seconds(2));
    named = true;
    const auto& store = world.state.store;
    // The store would refuse each proof with a longer one.
    CHECK(longest_key <= 200);
    while (store.items.count(key) == 0) {
        CHECK(store.verified_at <= named_at);
        REQUIRE(world.entry().now() < named_at + base::seconds(10));
        tick();
    }
}
