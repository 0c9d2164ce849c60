#include "proxy/document_rules.h"
#include "proxy/store_follower.h"
#include "proxy/target_weights.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;

// A follower has read a large value newer than its mirror's revision because a peer named it. The
// watch then delivers that value, which changes nothing here, together with a later change. When
// only the later change was broadcast, peers adopted its revision without ever having the value,
// and refused clients of a new route for good.
TEST_CASE("a broadcast includes all newer values, even those already known here", "[proxy]") {
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
    platform.watch = [&](const std::string&, base::revision, base::milliseconds, auto done) {
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

// Guards against dating the first target version of a model too late: its key was absent, so
// verifications that compare only the known keys keep succeeding.
TEST_CASE("a verification without a new key does not date that key", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    std::int64_t revision = 10;
    std::vector<ports::stored_value> values;
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) { done(ports::snapshot{revision, values}); };
    platform.commit = [&](const ports::transaction&, auto done) {
        done(ports::commit_result{true, revision});
    };
    // The watch is silent.
    platform.watch = [](const std::string&, base::revision, base::milliseconds, auto) {};
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

// Guards against starting requests on outdated weights at an entry that seems up to date: it has
// missed the first target version of a model, and its verifications keep succeeding.
TEST_CASE("a verification fails once a model gets its first target weights", "[proxy]") {
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
    // The watch is silent.
    platform.watch = [](const std::string&, base::revision, base::milliseconds, auto) {};
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
    // The store would reject every transaction with a longer key.
    CHECK(longest_key <= 200);
    while (store.items.count(key) == 0) {
        CHECK(store.verified_at <= named_at);
        REQUIRE(world.entry().now() < named_at + base::seconds(10));
        tick();
    }
}

// Guards against requests on outdated weights: a version named after the store's return has a
// revision that was given out before, and the verification finds nothing new.
TEST_CASE("a version named by a restored store is learned", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    const auto& codec = world.entry().codec;
    world.state.store.documents = proxy::make_document_rules(codec);
    const std::string key = codec.target_weights_prefix + "desk-8b";
    const auto named = [&](int version, base::revision at) {
        const std::string text = std::to_string(version);
        return ports::snapshot{at, {{key, R"({"model":"desk-8b","version":)" + text + "}", at}}};
    };
    ports::snapshot stored = named(2, {1, 10});
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) { done(stored); };
    platform.commit = [&](const ports::transaction& check, auto done) {
        const auto& expected = check.preconditions;
        const bool holds = std::all_of(expected.begin(), expected.end(), [&](const auto& each) {
            return each.key != key || each.mod_revision.number == stored.revision.number;
        });
        done(ports::commit_result{holds, stored.revision});
    };
    // The watch is silent.
    platform.watch = [](const std::string&, base::revision, base::milliseconds, auto) {};
    proxy::store_follower follower(world.entry(), platform);
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [](const peering::store_changes&) {};
    follower.changed = [&](const std::set<std::string>&) {
        proxy::read_target_weights(world.entry(), "store");
    };
    follower.start();
    const auto run_for = [&](base::milliseconds time) {
        constexpr base::milliseconds step{100};
        for (base::milliseconds passed{0}; passed < time; passed += step) {
            world.move_clock(step);
            follower.tick();
        }
    };
    const auto newest = [&] {
        return proxy::newest_version(proxy::history_of(world.state, {"desk-8b"}));
    };
    run_for(base::seconds(2));
    REQUIRE(newest() == 2);
    const auto complete_before = world.state.store.complete_as_of;

    stored = named(1, {2, 4});
    run_for(base::milliseconds(1500));
    CHECK(newest() == 2);
    CHECK(world.state.store.items.at(key).value == named(2, {1, 10}).values.front().value);

    SECTION("under the number that the store gave out before") {
        stored = named(3, {2, 10});
        run_for(base::milliseconds(1500));
        CHECK(newest() == 3);
        const auto dated = mirror::written_after(world.state.store, key);
        REQUIRE(dated);
        CHECK(*dated <= *complete_before + base::seconds(1));
    }
    SECTION("under a lower one") {
        stored = named(3, {2, 6});
        run_for(base::milliseconds(1500));
        CHECK(newest() == 3);
    }
}

// Guards against missing an upstream's leaving: it was written by the restored store under a lower
// number than the one after which the watch was sent.
TEST_CASE("a watch that was sent before a restoration is not applied", "[proxy]") {
    tests::proxy_world world;
    world.stop_clock();
    ports::snapshot stored{{1, 34}, {{"left", "no", {1, 20}}}};
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) { done(stored); };
    platform.commit = [&](const ports::transaction&, auto done) {
        done(ports::commit_result{true, stored.revision});
    };
    std::function<void(base::result<ports::changes>)> first_watch;
    std::vector<base::revision> sent_after;
    platform.watch = [&](const std::string&, base::revision after, base::milliseconds, auto done) {
        sent_after.push_back(after);
        first_watch = first_watch ? first_watch : std::move(done);
    };
    proxy::store_follower follower(world.entry(), platform);
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [](const peering::store_changes&) {};
    follower.changed = [](const std::set<std::string>&) {};
    follower.start();
    const auto tick_until = [&](auto done) {
        for (int count = 0; count < 50 && !done(); ++count) {
            world.move_clock(base::milliseconds(100));
            follower.tick();
        }
        REQUIRE(done());
    };
    const auto& mirror = world.state.store;
    tick_until([&] { return first_watch != nullptr; });
    stored = {{2, 30}, {{"left", "no", {2, 20}}}};
    tick_until([&] { return mirror.revision.era == 2; });

    first_watch(ports::changes{{2, 36}, {{{"other", "", {2, 36}}, false}}, false});
    CHECK(mirror.revision == base::revision{2, 30});
    tick_until([&] { return sent_after.size() > 1; });
    CHECK(sent_after.back() == base::revision{2, 30});
}

// Guards against entries that take the store for unreachable, and refuse all requests, once more
// keys have to be verified than one transaction may name.
TEST_CASE("more keys than a transaction may name are verified", "[proxy]") {
    constexpr int models = 80;
    constexpr std::size_t max_preconditions = 32;
    tests::proxy_world world;
    world.stop_clock();
    const auto key_of = [&](int number) {
        return world.entry().codec.target_weights_prefix + "model-" + std::to_string(number);
    };
    std::map<std::string, std::int64_t> revisions{{world.entry().codec.operators_config_key, 9}};
    for (int number = 0; number < models; ++number) {
        revisions[key_of(number)] = 10;
    }
    std::int64_t revision = 10;
    ports::platform platform;
    platform.read = [&](const std::string&, auto done) {
        ports::snapshot all{revision, {}};
        for (const auto& [key, written] : revisions) {
            all.values.push_back({key, "1", written});
        }
        done(all);
    };
    platform.commit = [&](const ports::transaction& check, auto done) {
        const auto& expected = check.preconditions;
        if (expected.size() > max_preconditions) {
            done(base::code::platform_unreachable);
            return;
        }
        done(ports::commit_result{std::all_of(expected.begin(), expected.end(),
                                              [&](const auto& each) {
                                                  return revisions[each.key] ==
                                                         each.mod_revision.number;
                                              }),
                                  revision});
    };
    // The watch is silent.
    platform.watch = [](const std::string&, base::revision, base::milliseconds, auto) {};
    proxy::store_follower follower(world.entry(), platform);
    follower.connected_entries = [] { return std::vector<base::entry_id>{}; };
    follower.broadcast = [](const peering::store_changes&) {};
    follower.changed = [](const std::set<std::string>&) {};
    follower.start();
    const auto run_for = [&](base::milliseconds time) {
        constexpr base::milliseconds tick{100};
        for (base::milliseconds passed{0}; passed < time; passed += tick) {
            world.move_clock(tick);
            follower.tick();
        }
    };
    const auto& store = world.state.store;
    run_for(base::seconds(3));
    REQUIRE(store.items.size() == revisions.size());
    run_for(base::seconds(10));
    CHECK(store.verified_at >= world.entry().now() - base::seconds(3));

    SECTION("each of them") {
        const int number = GENERATE(0, 31, 32, models - 1);
        CAPTURE(number);
        revisions[key_of(number)] = ++revision;
        run_for(base::seconds(5));
        CHECK(store.items.at(key_of(number)).mod_revision.number == revision);
        CHECK(store.verified_at >= world.entry().now() - base::seconds(3));
    }
}
