#include "entries/store_sync.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace camphorrail;

namespace {

constexpr base::milliseconds tick{100};
constexpr base::milliseconds response_time{100};
// How often an entry queries its parent for the latest verification, and how many entries share a
// parent.
constexpr base::milliseconds query_period{300};
constexpr std::size_t children_per_parent = 8;
constexpr base::milliseconds watch_wait{20000};

// Simulates a store and entries ordered by rank on a virtual clock. While links are up, each entry
// queries its parent for verifications, as `duty_parent` defines it.
struct sync_simulation {
    struct entry {
        entries::store_sync sync;
        std::optional<base::instant> verified_at;
        std::int64_t revision = 0;
        // When the response to the call in flight arrives.
        std::optional<base::instant> read_done;
        std::optional<base::instant> verification_done;
        base::instant watch_began{};
    };
    struct counts {
        int reads = 0;
        int watches = 0;
        int verifications = 0;
        [[nodiscard]] int all() const { return this->reads + this->watches + this->verifications; }
    };

    explicit sync_simulation(std::size_t count) : all(count) {}

    std::vector<entry> all;
    entries::store_sync_rules rules;
    base::instant now{base::seconds(100)};
    std::int64_t revision = 1;
    bool store_reachable = true;
    bool linked = true;
    counts calls_made;

    [[nodiscard]] entries::store_sync_view view(std::size_t at) const {
        const auto& one = this->all[at];
        const auto age = one.verified_at ? std::optional<base::micros>(this->now - *one.verified_at)
                                         : std::nullopt;
        return {this->linked ? at : 0, age, this->now};
    }

    void deliver_responses(std::size_t at) {
        auto& one = this->all[at];
        if (one.read_done && this->now >= *one.read_done) {
            one.read_done.reset();
            if (this->store_reachable) {
                one.revision = this->revision;
                one.verified_at = this->now - response_time;
            }
            entries::record_store_read(one.sync, this->store_reachable, this->view(at),
                                       this->rules);
        }
        if (one.verification_done && this->now >= *one.verification_done) {
            one.verification_done.reset();
            if (this->store_reachable) {
                one.verified_at = this->now - response_time;
            }
            const entries::verification_result result{this->store_reachable, true,
                                                      one.revision < this->revision};
            entries::record_verification(one.sync, result, this->view(at), this->rules);
        }
        const bool has_changes = this->store_reachable && one.revision < this->revision;
        const bool waited = this->now - one.watch_began > watch_wait;
        if (one.sync.watching && (has_changes || !this->store_reachable || waited)) {
            one.revision = this->store_reachable ? this->revision : one.revision;
            entries::record_watch_end(one.sync, this->store_reachable, false, this->view(at),
                                      this->rules);
        }
    }

    void query_parent(std::size_t at) {
        auto& one = this->all[at];
        const auto& parent = this->all[at == 0 ? 0 : (at - 1) / children_per_parent];
        if (parent.verified_at && (!one.verified_at || *one.verified_at < *parent.verified_at)) {
            one.verified_at = parent.verified_at;
        }
        one.revision = std::max(one.revision, parent.revision);
    }

    void tick_once() {
        this->now += tick;
        for (std::size_t at = 0; at < this->all.size(); ++at) {
            auto& one = this->all[at];
            this->deliver_responses(at);
            if (this->linked && this->now.time_since_epoch() % query_period < tick) {
                this->query_parent(at);
            }
            const auto due = entries::next_store_calls(one.sync, this->view(at), this->rules);
            if (due.read) {
                one.read_done = this->now + response_time;
            }
            if (due.verify) {
                one.verification_done = this->now + response_time;
            }
            if (due.watch) {
                one.watch_began = this->now;
            }
            this->calls_made.reads += due.read ? 1 : 0;
            this->calls_made.verifications += due.verify ? 1 : 0;
            this->calls_made.watches += due.watch ? 1 : 0;
        }
    }

    counts run(
        base::milliseconds span, const std::function<void()>& each = [] {}) {
        this->calls_made = {};
        for (const auto until = this->now + span; this->now < until;) {
            each();
            this->tick_once();
        }
        return this->calls_made;
    }

    // The age of the oldest verification that any entry relies on.
    [[nodiscard]] base::micros oldest_verification() const {
        base::micros oldest{0};
        for (const auto& one : this->all) {
            oldest =
                std::max<base::micros>(oldest, one.verified_at ? this->now - *one.verified_at
                                                               : base::micros(base::seconds(1000)));
        }
        return oldest;
    }
};

} // namespace

TEST_CASE("the number of store calls does not grow with the number of entries", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    CAPTURE(count);
    sync_simulation simulation(count);
    simulation.run(base::seconds(2));

    SECTION("while the store is unchanged") {
        const auto quiet = simulation.run(base::seconds(20));
        CHECK(quiet.reads == 0);
        // One verification a second by rank 0, and three watches that time out.
        CHECK(quiet.verifications <= 21);
        CHECK(quiet.watches <= 6);
        CHECK(simulation.oldest_verification() < base::milliseconds(2400));
    }
    SECTION("while the store changes continuously") {
        const auto busy = simulation.run(base::seconds(10), [&] { ++simulation.revision; });
        // Three watches, each with a delay after every response.
        CHECK(busy.watches <= 3 * 10 * 10 / 3);
        CHECK(busy.verifications <= 11);
        CHECK(busy.reads == 0);
    }
}

// 100 entries start at the same moment, followed by 160 upstreams that register within three
// seconds. Entries do not know each other before links are up, so each takes rank 0. When each one
// watched without a delay between watches, the start cost 15,000 calls.
TEST_CASE("entries that start together make few store calls each", "[entries]") {
    sync_simulation simulation(103);
    simulation.linked = false;
    const auto alone = simulation.run(base::seconds(1), [&] { simulation.revision += 5; });
    CHECK(alone.reads == 103);
    CHECK(alone.all() <= 103 * 6);
    simulation.linked = true;
    const auto together = simulation.run(base::seconds(3), [&] { simulation.revision += 5; });
    CHECK(together.all() <= 100);
    CHECK(simulation.oldest_verification() < base::milliseconds(2400));
}

// The store is unreachable for six seconds. Clients are refused from the fifth second on and must
// be served again soon after the store's return; every failed call in between has a cost.
TEST_CASE("few entries probe the store during an outage", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    CAPTURE(count);
    sync_simulation simulation(count);
    simulation.run(base::seconds(5));
    simulation.store_reachable = false;
    const auto away = simulation.run(base::seconds(6));
    // The first ten ranks probe at intervals that grow with their rank, the others every four
    // seconds.
    CHECK(away.all() <= 6 * 8 + static_cast<int>(count) * 2);
    simulation.store_reachable = true;
    simulation.run(base::seconds(2));
    CHECK(simulation.oldest_verification() < base::seconds(2));
}

// All entries are killed and restarted while the store is unreachable. They have no peers, since
// the list of entries is in the store, and each must serve within two seconds of the store's
// return.
TEST_CASE("entries that start during an outage verify soon after it", "[entries]") {
    sync_simulation simulation(103);
    simulation.linked = false;
    simulation.store_reachable = false;
    const auto away = simulation.run(base::seconds(10));
    CHECK(away.all() <= 103 * 9);
    simulation.store_reachable = true;
    simulation.run(base::seconds(2));
    CHECK(simulation.oldest_verification() < base::seconds(2));
}

// The entry of rank 0 loses the store, and its peers notice only that verifications stop arriving.
// Requests are served only while the latest verification is less than five seconds old.
TEST_CASE("the next ranks verify when rank 0 cannot", "[entries]") {
    sync_simulation simulation(18);
    simulation.run(base::seconds(5));
    for (int each = 0; each < 60; ++each) {
        simulation.tick_once();
        simulation.all[0].verified_at.reset();
        simulation.all[0].verification_done.reset();
    }
    simulation.all.erase(simulation.all.begin());
    CHECK(simulation.oldest_verification() < base::milliseconds(3000));
}

// Links are cut and none of a hundred entries receives verifications from another one. Each must
// verify for itself, and may watch only if it finds a change.
TEST_CASE("entries without verifications from peers verify for themselves but do not watch",
          "[entries]") {
    sync_simulation simulation(103);
    simulation.run(base::seconds(5));
    const auto alone = simulation.run(base::seconds(6), [&] {
        for (std::size_t at = 1; at < simulation.all.size(); ++at) {
            // Discards what the entry received from its parent.
            auto& one = simulation.all[at];
            if (one.verified_at && one.sync.next_verification <= simulation.now) {
                one.verified_at = std::min(*one.verified_at, simulation.now - base::seconds(3));
            }
        }
    });
    CHECK(alone.watches <= 6);
    CHECK(alone.verifications <= 103 * 7);

    SECTION("an entry watches once its verification finds a change") {
        ++simulation.revision;
        entries::store_sync sync;
        sync.read_once = true;
        sync.read_needed = false;
        sync.watches_store = false;
        const entries::store_sync_view view{50, base::seconds(3), simulation.now};
        REQUIRE(entries::next_store_calls(sync, view, simulation.rules).verify);
        entries::record_verification(sync, {true, true, true}, view, simulation.rules);
        CHECK(entries::next_store_calls(sync, view, simulation.rules).watch);
    }
}

// The connection of a watch is lost silently while the store changes. A verification finds that the
// store is ahead; after the second time the store must be read again.
TEST_CASE("a watch that silently stopped delivering is replaced by a read", "[entries]") {
    const entries::store_sync_rules rules;
    entries::store_sync sync;
    sync.read_once = true;
    sync.read_needed = false;
    sync.watching = true;
    entries::store_sync_view view{0, base::milliseconds(100), base::instant(base::seconds(100))};
    sync.watch_since = view.now - base::seconds(2);
    const entries::verification_result behind{true, true, true};

    SECTION("after two missed changes") {
        entries::record_verification(sync, behind, view, rules);
        CHECK_FALSE(entries::next_store_calls(sync, view, rules).read);
        view.now += base::seconds(1);
        entries::record_verification(sync, behind, view, rules);
        CHECK(entries::next_store_calls(sync, view, rules).read);
    }
    SECTION("after one missed change of the operators' part") {
        entries::record_verification(sync, {true, false, false}, view, rules);
        CHECK(entries::next_store_calls(sync, view, rules).read);
    }
    SECTION("a recently opened watch may still deliver the change") {
        sync.watch_since = view.now - base::milliseconds(100);
        entries::record_verification(sync, behind, view, rules);
        view.now += base::milliseconds(100);
        entries::record_verification(sync, behind, view, rules);
        CHECK_FALSE(entries::next_store_calls(sync, view, rules).read);
    }
}
