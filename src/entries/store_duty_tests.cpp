#include "entries/store_duty.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace camphorrail;

namespace {

constexpr base::milliseconds tick{100};
constexpr base::milliseconds answer_time{100};
// How often an entry asks the one ahead of it for a proof, and how many ask the same one.
constexpr base::milliseconds ask_period{300};
constexpr std::size_t askers = 8;
constexpr base::milliseconds watch_wait{20000};

// Entries in the order of their line, and a store, on a clock that the test moves. Links may stand
// or not; over them an entry asks the one ahead of it for proofs, as `ahead_in_line` says.
struct duty_world {
    struct entry {
        entries::store_duty duty;
        std::optional<base::instant> proved_at;
        std::int64_t revision = 0;
        // When the call under way is answered.
        std::optional<base::instant> read_done;
        std::optional<base::instant> proof_done;
        base::instant watch_began{};
    };
    struct counts {
        int reads = 0;
        int watches = 0;
        int proofs = 0;
        [[nodiscard]] int all() const { return this->reads + this->watches + this->proofs; }
    };

    explicit duty_world(std::size_t count) : all(count) {}

    std::vector<entry> all;
    entries::store_duty_rules rules;
    base::instant now{base::seconds(100)};
    std::int64_t revision = 1;
    bool up = true;
    bool linked = true;
    counts made;

    [[nodiscard]] entries::store_duty_view view(std::size_t at) const {
        const auto& one = this->all[at];
        const auto age =
            one.proved_at ? std::optional<base::micros>(this->now - *one.proved_at) : std::nullopt;
        return {this->linked ? at : 0, age, this->now};
    }

    void answer(std::size_t at) {
        auto& one = this->all[at];
        if (one.read_done && this->now >= *one.read_done) {
            one.read_done.reset();
            if (this->up) {
                one.revision = this->revision;
                one.proved_at = this->now - answer_time;
            }
            entries::note_store_read(one.duty, this->up, this->view(at), this->rules);
        }
        if (one.proof_done && this->now >= *one.proof_done) {
            one.proof_done.reset();
            if (this->up) {
                one.proved_at = this->now - answer_time;
            }
            const entries::proof_outcome shown{this->up, true, one.revision < this->revision};
            entries::note_proof(one.duty, shown, this->view(at), this->rules);
        }
        const bool has_news = this->up && one.revision < this->revision;
        const bool waited = this->now - one.watch_began > watch_wait;
        if (one.duty.watching && (has_news || !this->up || waited)) {
            one.revision = this->up ? this->revision : one.revision;
            entries::note_watch_end(one.duty, this->up, false, this->view(at), this->rules);
        }
    }

    void ask(std::size_t at) {
        auto& one = this->all[at];
        const auto& ahead = this->all[at == 0 ? 0 : (at - 1) / askers];
        if (ahead.proved_at && (!one.proved_at || *one.proved_at < *ahead.proved_at)) {
            one.proved_at = ahead.proved_at;
        }
        one.revision = std::max(one.revision, ahead.revision);
    }

    void step() {
        this->now += tick;
        for (std::size_t at = 0; at < this->all.size(); ++at) {
            auto& one = this->all[at];
            this->answer(at);
            if (this->linked && this->now.time_since_epoch() % ask_period < tick) {
                this->ask(at);
            }
            const auto due = entries::next_store_calls(one.duty, this->view(at), this->rules);
            if (due.read) {
                one.read_done = this->now + answer_time;
            }
            if (due.prove) {
                one.proof_done = this->now + answer_time;
            }
            if (due.watch) {
                one.watch_began = this->now;
            }
            this->made.reads += due.read ? 1 : 0;
            this->made.proofs += due.prove ? 1 : 0;
            this->made.watches += due.watch ? 1 : 0;
        }
    }

    counts run(
        base::milliseconds span, const std::function<void()>& each = [] {}) {
        this->made = {};
        for (const auto until = this->now + span; this->now < until;) {
            each();
            this->step();
        }
        return this->made;
    }

    // The age of the oldest proof that any entry goes by.
    [[nodiscard]] base::micros oldest_proof() const {
        base::micros oldest{0};
        for (const auto& one : this->all) {
            oldest =
                std::max<base::micros>(oldest, one.proved_at ? this->now - *one.proved_at
                                                             : base::micros(base::seconds(1000)));
        }
        return oldest;
    }
};

} // namespace

TEST_CASE("the price of following the store does not grow with the entries", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    CAPTURE(count);
    duty_world world(count);
    world.run(base::seconds(2));

    SECTION("while nothing changes") {
        const auto quiet = world.run(base::seconds(20));
        CHECK(quiet.reads == 0);
        // One entry's proof a second, and three watches that run out.
        CHECK(quiet.proofs <= 21);
        CHECK(quiet.watches <= 6);
        CHECK(world.oldest_proof() < base::milliseconds(2400));
    }
    SECTION("and while something changes all the time") {
        const auto busy = world.run(base::seconds(10), [&] { ++world.revision; });
        // Three watches that rest between their answers.
        CHECK(busy.watches <= 3 * 10 * 10 / 3);
        CHECK(busy.proofs <= 11);
        CHECK(busy.reads == 0);
    }
}

// A fleet starts: 100 entries within a moment, and then 160 upstreams that register over three
// seconds. No entry knows another before links stand, so each takes itself for the first in line.
// When each watched without a rest, callers' day began with 15,000 calls.
TEST_CASE("entries that start together ask a few times each", "[entries]") {
    duty_world world(103);
    world.linked = false;
    const auto alone = world.run(base::seconds(1), [&] { world.revision += 5; });
    CHECK(alone.reads == 103);
    CHECK(alone.all() <= 103 * 6);
    world.linked = true;
    const auto together = world.run(base::seconds(3), [&] { world.revision += 5; });
    CHECK(together.all() <= 100);
    CHECK(world.oldest_proof() < base::milliseconds(2400));
}

// The store is away for six seconds and comes back. Callers are refused from the fifth on, and want
// to be served as soon as it answers; each call that is made in vain meanwhile is paid for.
TEST_CASE("an outage is waited out by a few", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    CAPTURE(count);
    duty_world world(count);
    world.run(base::seconds(5));
    world.up = false;
    const auto away = world.run(base::seconds(6));
    // The first ten probe each by its place, the others once in four seconds.
    CHECK(away.all() <= 6 * 8 + static_cast<int>(count) * 2);
    world.up = true;
    world.run(base::seconds(2));
    CHECK(world.oldest_proof() < base::seconds(2));
}

// All entries are killed at once while the store is away, and start again. They know nobody, since
// the list of entries is in the store; each must serve within two seconds of the store's return.
TEST_CASE("entries that start in an outage serve soon after it", "[entries]") {
    duty_world world(103);
    world.linked = false;
    world.up = false;
    const auto away = world.run(base::seconds(10));
    CHECK(away.all() <= 103 * 9);
    world.up = true;
    world.run(base::seconds(2));
    CHECK(world.oldest_proof() < base::seconds(2));
}

// The first in line is cut off from the store, and the others hear of it only by getting no proof.
// Requests are served on a proof of less than five seconds.
TEST_CASE("the next in line prove when the first can't", "[entries]") {
    duty_world world(18);
    world.run(base::seconds(5));
    for (int each = 0; each < 60; ++each) {
        world.step();
        world.all[0].proved_at.reset();
        world.all[0].proof_done.reset();
    }
    world.all.erase(world.all.begin());
    CHECK(world.oldest_proof() < base::milliseconds(3000));
}

// Links are cut, and none of a hundred entries gets a proof from another one any more. Each proves
// for itself, and watches only where it finds that something has changed.
TEST_CASE("entries that get no proofs from others prove, and do not watch", "[entries]") {
    duty_world world(103);
    world.run(base::seconds(5));
    const auto alone = world.run(base::seconds(6), [&] {
        for (std::size_t at = 1; at < world.all.size(); ++at) {
            // What was heard from the one ahead is taken back.
            auto& one = world.all[at];
            if (one.proved_at && one.duty.next_proof <= world.now) {
                one.proved_at = std::min(*one.proved_at, world.now - base::seconds(3));
            }
        }
    });
    CHECK(alone.watches <= 6);
    CHECK(alone.proofs <= 103 * 7);

    SECTION("until it finds news") {
        ++world.revision;
        entries::store_duty duty;
        duty.read_once = true;
        duty.read_wanted = false;
        duty.following = false;
        const entries::store_duty_view view{50, base::seconds(3), world.now};
        REQUIRE(entries::next_store_calls(duty, view, world.rules).prove);
        entries::note_proof(duty, {true, true, true}, view, world.rules);
        CHECK(entries::next_store_calls(duty, view, world.rules).watch);
    }
}

// A watch whose connection has fallen silent tells nothing more, and the store goes on changing.
// The proof shows that it is ahead; for the second time the watch is not trusted any more.
TEST_CASE("a watch that has fallen silent is not trusted for long", "[entries]") {
    const entries::store_duty_rules rules;
    entries::store_duty duty;
    duty.read_once = true;
    duty.read_wanted = false;
    duty.watching = true;
    entries::store_duty_view view{0, base::milliseconds(100), base::instant(base::seconds(100))};
    duty.watch_since = view.now - base::seconds(2);
    const entries::proof_outcome behind{true, true, true};

    SECTION("where it says nothing of a change twice") {
        entries::note_proof(duty, behind, view, rules);
        CHECK_FALSE(entries::next_store_calls(duty, view, rules).read);
        view.now += base::seconds(1);
        entries::note_proof(duty, behind, view, rules);
        CHECK(entries::next_store_calls(duty, view, rules).read);
    }
    SECTION("where it says nothing of what operators wrote") {
        entries::note_proof(duty, {true, false, false}, view, rules);
        CHECK(entries::next_store_calls(duty, view, rules).read);
    }
    SECTION("but one that has just been opened may be on its way") {
        duty.watch_since = view.now - base::milliseconds(100);
        entries::note_proof(duty, behind, view, rules);
        view.now += base::milliseconds(100);
        entries::note_proof(duty, behind, view, rules);
        CHECK_FALSE(entries::next_store_calls(duty, view, rules).read);
    }
}
