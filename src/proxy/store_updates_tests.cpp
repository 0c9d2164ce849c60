#include "proxy/store_updates.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace camphorrail;

namespace {

using outcome = proxy::store_updates::outcome;

// An entry that receives store broadcasts, and a store whose reads complete when the test says so.
struct updates_world {
    struct pending_read {
        std::string key;
        ports::read_consistency consistency;
        std::function<void(base::result<std::optional<ports::stored_value>>)> done;
    };

    tests::proxy_world world;
    std::deque<pending_read> pending_reads;
    std::set<std::string> changed;
    int read_failed = 0;
    proxy::store_updates updates;

    updates_world() : updates(this->world.entry(), this->store()) {
        this->world.state.store.revision = 10;
        this->updates.changed = [this](const std::set<std::string>& keys) {
            this->changed.insert(keys.begin(), keys.end());
        };
        this->updates.read_failed = [this] { ++this->read_failed; };
    }

    ports::platform store() {
        ports::platform platform;
        platform.read_key = [this](std::string key, ports::read_consistency consistency,
                                   auto done) {
            this->pending_reads.push_back({std::move(key), consistency, std::move(done)});
        };
        return platform;
    }

    void answer(base::result<std::optional<ports::stored_value>> with) {
        const auto done = std::move(this->pending_reads.front().done);
        this->pending_reads.pop_front();
        done(std::move(with));
    }

    [[nodiscard]] std::string value_of(const std::string& key) const {
        const auto found = this->world.state.store.items.find(key);
        return found == this->world.state.store.items.end() ? "" : found->second.value;
    }
};

peering::store_changes inline_change(std::int64_t after, const std::string& key) {
    return {after, {}, {after + 1, {{{key, "small", after + 1}, false}}}};
}

peering::store_changes omitted_change(std::int64_t after, const std::string& key) {
    return {after, {key}, {after + 1, {{{key, "", after + 1}, false}}}};
}

} // namespace

TEST_CASE("included values are applied directly", "[proxy]") {
    updates_world world;
    CHECK(world.updates.receive(inline_change(10, "a")) == outcome::applied);
    CHECK(world.value_of("a") == "small");
    CHECK(world.pending_reads.empty());
    CHECK(world.updates.receive(inline_change(13, "b")) == outcome::gap);
    CHECK(world.value_of("b").empty());
}

// Operators write a large configuration and then a small value. An entry that applied the later
// change without the large value would consider itself up to date and keep serving the old
// configuration.
TEST_CASE("a large value is read from the store before the revision advances", "[proxy]") {
    updates_world world;
    CHECK(world.updates.receive(omitted_change(10, "config")) == outcome::reading);
    CHECK(world.updates.receive(inline_change(11, "b")) == outcome::reading);
    CHECK(world.world.state.store.revision == 10);
    REQUIRE(world.pending_reads.size() == 1);
    CHECK(world.pending_reads.front().consistency == ports::read_consistency::stale_allowed);

    SECTION("the value arrives") {
        world.answer(std::optional(ports::stored_value{"config", "much", 11}));
        CHECK(world.value_of("config") == "much");
        CHECK(world.value_of("b") == "small");
        CHECK(world.world.state.store.revision == 12);
        CHECK(world.changed == std::set<std::string>{"b", "config"});
        CHECK_FALSE(world.updates.is_reading());
    }
    SECTION("an older value is read again") {
        for (int old = 0; old < 3; ++old) {
            world.answer(std::optional(ports::stored_value{"config", "old", 9}));
            CHECK(world.value_of("config").empty());
            REQUIRE(world.world.run_until([&] { return !world.pending_reads.empty(); }));
        }
        CHECK(world.pending_reads.front().consistency == ports::read_consistency::linearizable);
        world.answer(std::optional(ports::stored_value{"config", "newer", 14}));
        CHECK(world.value_of("config") == "newer");
        // The revision advances to that of the last broadcast; one newer item does not make the
        // mirror newer.
        CHECK(world.world.state.store.revision == 12);
    }
    SECTION("other entries are queried if the store is unreachable") {
        world.answer(base::code::platform_unreachable);
        CHECK(world.read_failed == 1);
        CHECK_FALSE(world.updates.is_reading());
        CHECK(world.world.state.store.revision == 10);
    }
}

// An upstream leaves right after operators have written a large configuration. An entry that reads
// the value over a slow link, or by stale reads, receives the departure meanwhile. When it was kept
// until the value arrived, it took effect a second late, and requests were sent to the upstream
// beyond the drain bound that counts from the store's acknowledgement.
TEST_CASE("an upstream's departure does not wait for a large value", "[proxy]") {
    updates_world world;
    auto together = omitted_change(10, "config");
    together.changes.items.push_back({{"up/a", "leaving", 11}, false});
    CHECK(world.updates.receive(together) == outcome::reading);
    CHECK(world.value_of("up/a") == "leaving");
    CHECK(world.updates.receive(inline_change(11, "up/b")) == outcome::reading);
    CHECK(world.value_of("up/b") == "small");
    CHECK(world.changed == std::set<std::string>{"up/a", "up/b"});
    // The mirror is still incomplete up to the new revision.
    CHECK(world.world.state.store.revision == 10);

    SECTION("even if the large value can't be read") {
        world.answer(base::code::platform_unreachable);
        CHECK(world.value_of("up/b") == "small");
        CHECK(world.world.state.store.revision == 10);
    }
}

// Guards against a link that is filled by reads of a large value that operators change several
// times a second, so that requests wait behind them.
TEST_CASE("one read of a large value serves all changes that it contains", "[proxy]") {
    updates_world world;
    world.updates.receive(omitted_change(10, "config"));
    world.updates.receive(omitted_change(11, "config"));
    world.updates.receive(omitted_change(12, "config"));
    REQUIRE(world.pending_reads.size() == 1);
    world.answer(std::optional(ports::stored_value{"config", "much", 13}));
    CHECK(world.pending_reads.empty());
    CHECK_FALSE(world.updates.is_reading());
    CHECK(world.world.state.store.revision == 13);
    CHECK(world.value_of("config") == "much");
}

TEST_CASE("reads of large values leave most of a slow link to requests", "[proxy]") {
    updates_world world;
    world.world.stop_clock();
    world.updates.receive(omitted_change(10, "config"));
    world.world.move_clock(base::milliseconds(100));
    world.answer(std::optional(ports::stored_value{"config", "much", 11}));
    world.updates.receive(omitted_change(11, "config"));

    SECTION("the next read waits twice as long as the last one took") {
        world.world.move_clock(base::milliseconds(199));
        world.world.run_until([&] { return !world.pending_reads.empty(); });
        CHECK(world.pending_reads.empty());
        CHECK(world.updates.is_reading());
        world.world.move_clock(base::milliseconds(1));
        REQUIRE(world.world.run_until([&] { return !world.pending_reads.empty(); }));
        world.answer(std::optional(ports::stored_value{"config", "more", 12}));
        CHECK(world.value_of("config") == "more");
    }
    SECTION("no read takes place if the value arrives from another entry meanwhile") {
        auto& item = world.world.state.store.items.at("config");
        item = {"config", "more", 12};
        world.world.move_clock(base::milliseconds(200));
        REQUIRE(world.world.run_until([&] { return !world.updates.is_reading(); }));
        CHECK(world.pending_reads.empty());
        CHECK(world.world.state.store.revision == 12);
    }
}

// Guards against an entry that counts as up to date, or as never verified, while large values that
// a verified view names are still being read.
TEST_CASE("a view that names a large value verifies the mirror once the value is there",
          "[proxy]") {
    updates_world world;
    world.world.stop_clock();
    auto& store = world.world.state.store;
    const base::instant proved = world.world.entry().now() + base::seconds(1);
    const base::instant before = *store.verified_at;
    world.updates.receive(omitted_change(10, "config"), proved);
    CHECK(store.verified_at == before);

    SECTION("when it has been read") {
        world.answer(std::optional(ports::stored_value{"config", "much", 11}));
        CHECK(store.verified_at == proved);
    }
    SECTION("when it has been read for a later change") {
        const base::instant later = proved + base::seconds(1);
        world.updates.receive(omitted_change(11, "config"), later);
        world.answer(std::optional(ports::stored_value{"config", "much", 12}));
        CHECK(store.verified_at == later);
    }
    SECTION("not when it can't be read") {
        world.answer(base::code::platform_unreachable);
        CHECK(store.verified_at == before);
    }
}
