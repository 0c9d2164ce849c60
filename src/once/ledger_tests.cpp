#include "once/ledger.h"
#include "once/ownership.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace camphorrail;
using base::milliseconds;
using base::seconds;

namespace {

constexpr std::int64_t wall_start = 1700000000000;

// The platform's store as a test holds it: it answers when told to.
struct tiny_store {
    std::map<std::string, ports::stored_value> values;
    std::int64_t revision = 10;

    ports::snapshot read(const std::string& prefix) const {
        ports::snapshot answer{this->revision, {}};
        for (const auto& [key, value] : this->values) {
            if (key.compare(0, prefix.size(), prefix) == 0) {
                answer.values.push_back(value);
            }
        }
        return answer;
    }

    ports::commit_result commit(const ports::transaction& change) {
        for (const auto& expected : change.preconditions) {
            const auto found = this->values.find(expected.key);
            const auto present = found == this->values.end() ? 0 : found->second.mod_revision;
            if (present != expected.mod_revision) {
                return {false, this->revision};
            }
        }
        ++this->revision;
        for (const auto& item : change.writes) {
            if (item.erase) {
                this->values.erase(item.key);
            } else {
                this->values[item.key] = {item.key, item.value, this->revision};
            }
        }
        return {true, this->revision};
    }
};

// One agent of the pool, and what it did.
struct actor {
    tiny_store* store;
    once::ledger ledger;
    once::moment at{base::instant{seconds(100)}, wall_start};
    std::deque<once::action> platform_calls;
    std::vector<std::string> ran;
    std::vector<once::answer_action> answers;
    std::vector<once::refuse_action> refusals;
    std::vector<once::tombstoned_action> tombstoned;

    actor(tiny_store& store, const std::string& name, const std::string& nonce)
        : store(&store), ledger(once::make_ledger({name}, {"pool"}, nonce)) {}

    void take(const once::actions& todo) {
        for (const auto& action : todo) {
            if (const auto* run = std::get_if<once::run_action>(&action)) {
                this->ran.push_back(run->key.value);
            } else if (const auto* answer = std::get_if<once::answer_action>(&action)) {
                this->answers.push_back(*answer);
            } else if (const auto* refusal = std::get_if<once::refuse_action>(&action)) {
                this->refusals.push_back(*refusal);
            } else if (const auto* gone = std::get_if<once::tombstoned_action>(&action)) {
                this->tombstoned.push_back(*gone);
            } else {
                this->platform_calls.push_back(action);
            }
        }
    }

    // Lets the platform answer everything that waits; `reached` false loses the calls.
    void settle(bool reached = true) {
        for (int turn = 0; turn < 20 && !this->platform_calls.empty(); ++turn) {
            const auto call = this->platform_calls.front();
            this->platform_calls.pop_front();
            this->answer(call, reached);
        }
    }

    void answer(const once::action& call, bool reached) {
        if (const auto* read = std::get_if<once::read_action>(&call)) {
            this->take(once::on_read(
                this->ledger,
                reached ? base::result<ports::snapshot>(this->store->read(read->prefix))
                        : base::code::platform_unreachable,
                this->at));
        } else {
            const auto& commit = std::get<once::commit_action>(call);
            this->take(once::on_committed(
                this->ledger,
                reached ? base::result<ports::commit_result>(this->store->commit(commit.change))
                        : base::code::platform_unreachable,
                this->at));
        }
    }

    void join(const once::placement& placement) {
        this->take(once::on_lease_kept(this->ledger, 1, this->at.now, this->at));
        this->take(once::set_placement(this->ledger, placement, this->at));
        this->settle();
    }

    void pass(base::micros span, bool reached = true) {
        this->at.now += span;
        this->at.wall_ms += std::chrono::duration_cast<milliseconds>(span).count();
        this->take(once::on_tick(this->ledger, this->at));
        this->settle(reached);
    }

    void order(const std::string& attempt, const std::string& key,
               const std::string& print = "print") {
        this->take(once::on_order(this->ledger,
                                  {{attempt}, {key}, print, this->at.now + seconds(10)}, this->at));
    }

    void end(const std::string& key) {
        this->take(once::on_ended(this->ledger, {key}, {200, "text/plain", "done " + key, true},
                                  this->at));
    }
};

once::placement placement_of(std::initializer_list<const char*> owners,
                             seconds grace = seconds(0)) {
    once::placement made;
    for (const char* owner : owners) {
        made.owners.push_back({owner});
    }
    made.outage_grace = grace;
    return made;
}

// A key that `owner` owns among the given ones.
std::string key_of(const std::string& owner, const once::placement& placement, int skip = 0) {
    for (int number = 0;; ++number) {
        std::string key = "key-" + std::to_string(number);
        if (once::owns({owner}, {key}, placement.owners) && skip-- == 0) {
            return key;
        }
    }
}

std::string dated(std::int64_t wall_ms) {
    char text[40];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-000000000001",
                  static_cast<unsigned long long>(wall_ms >> 16),
                  static_cast<unsigned long long>(wall_ms & 0xffff));
    return text;
}

} // namespace

TEST_CASE("a call that may not be repeated", "[once]") {
    tiny_store store;
    const auto alone = placement_of({"a"});
    actor first(store, "a", "a#1");
    first.join(alone);

    SECTION("leaves only once its claim is in the platform") {
        first.order("1", "slot");
        CHECK(first.ran.empty());
        first.settle();
        CHECK(first.ran == std::vector<std::string>{"slot"});

        SECTION("and is answered from memory when its caller asks again") {
            first.order("2", "slot");
            first.end("slot");
            first.order("3", "slot");
            first.settle();
            CHECK(first.ran.size() == 1);
            REQUIRE(first.answers.size() == 3);
            CHECK(first.answers[2].answer.body == "done slot");
        }

        SECTION("and its key can't be used for another request") {
            first.order("2", "slot", "another print");
            CHECK(first.refusals.at(0).number == base::code::key_reused_for_other_request);
        }

        // The agent dies while the call runs and comes back empty. The caller asks again. Running
        // it would send two porters; "not run" would be a lie. The claim in the platform says that
        // it may have run, and that is all there is to say.
        SECTION("and after a crash is not run again, nor said not to have run") {
            actor second(store, "a", "a#2");
            second.join(alone);
            second.order("2", "slot");
            second.settle();
            CHECK(second.ran.empty());
            CHECK(second.refusals.at(0).ran == base::execution_state::unknown);

            // The first life was only paused. It wakes and has another order in hand; its writes
            // are fenced off, so nothing of it leaves any more.
            first.order("3", "later");
            first.settle();
            first.pass(seconds(3));
            CHECK(first.ran.size() == 1);
            CHECK(first.ledger.state == once::phase::superseded);
        }

        SECTION("and after a crash its recorded answer is given") {
            first.end("slot");
            first.settle();
            actor second(store, "a", "a#2");
            second.join(alone);
            second.order("2", "slot");
            CHECK(second.answers.at(0).answer.body == "done slot");
        }
    }

    // The write of the claim takes effect, but the platform's answer is lost. Repeating it blindly
    // or taking it for failed would both be wrong; the agent reads back what holds.
    SECTION("runs once when the answer to its claim's write was lost") {
        first.order("1", "slot");
        const auto lost = std::get<once::commit_action>(first.platform_calls.front());
        first.platform_calls.clear();
        store.commit(lost.change);
        first.take(once::on_committed(first.ledger, base::code::platform_unreachable, first.at));
        for (int turn = 0; turn < 4; ++turn) {
            first.pass(milliseconds(600));
        }
        CHECK(first.ran.size() == 1);
    }

    // A write hangs in the network. The agent tries again and goes on: more claims, more calls.
    // Then the old write arrives after all. If it took effect it would erase the newer claims, and
    // after a crash those calls would run a second time.
    SECTION("keeps its claim when an older write arrives late") {
        first.order("1", "slot");
        const auto late = std::get<once::commit_action>(first.platform_calls.front());
        first.platform_calls.clear();
        first.take(once::on_committed(first.ledger, base::code::platform_unreachable, first.at));
        first.pass(milliseconds(600));
        first.order("2", "gate");
        first.pass(milliseconds(300));
        REQUIRE(first.ran.size() == 2);
        CHECK_FALSE(store.commit(late.change).applied);
        actor second(store, "a", "a#2");
        second.join(alone);
        second.order("3", "gate");
        second.settle();
        CHECK(second.ran.empty());
    }

    // The process is paused between the claim's write and the call, past the caller's deadline.
    // The caller was told long ago; a call now would be work that nobody waits for.
    SECTION("does not leave after its deadline") {
        first.order("1", "slot");
        first.at.now += seconds(11);
        first.settle();
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).ran == base::execution_state::not_run);
    }

    // The entry gave up on a silent link and asks for the truth before the claim was written. It
    // is told "not run"; then the original order arrives late on the old link.
    SECTION("can't run any more once it was said not to have run") {
        first.order("1", "slot");
        first.take(once::on_tombstone(first.ledger, {"1"}, {"slot"}, first.at));
        CHECK(first.tombstoned.at(0).ran == base::execution_state::not_run);
        first.settle();
        first.order("1", "slot");
        first.settle();
        CHECK(first.ran.empty());
        first.order("2", "slot");
        first.settle();
        CHECK(first.ran.size() == 1);
    }
}

TEST_CASE("a key's owner changes", "[once]") {
    tiny_store store;
    const auto both = placement_of({"a", "b"});
    const auto only_b = placement_of({"b"});
    actor a(store, "a", "a#1");
    actor b(store, "b", "b#1");
    a.join(both);
    b.join(both);
    a.pass(seconds(6));
    b.pass(seconds(6));
    const std::string key = key_of("a", both);

    SECTION("and nobody but its owner runs it before") {
        b.order("1", key);
        CHECK(b.refusals.at(0).number == base::code::once_not_owner);
        CHECK(b.refusals.at(0).ran == base::execution_state::unknown);
    }

    // The operators take a out. b hears of it first, a runs on by the old configuration. Both get
    // the order, through two entries.
    SECTION("and the new one waits until the old one has let go") {
        b.take(once::set_placement(b.ledger, only_b, b.at));
        b.settle();
        b.order("1", key);
        b.settle();
        CHECK(b.ran.empty());
        CHECK(b.refusals.back().number == base::code::once_handover);
        a.order("2", key);
        a.settle();
        CHECK(a.ran.size() == 1);
        a.take(once::set_placement(a.ledger, only_b, a.at));
        a.settle();
        b.pass(seconds(2));
        b.pass(seconds(2));
        b.order("3", key);
        b.settle();
        CHECK(b.ran.empty());
        CHECK(b.refusals.back().number == base::code::once_outcome_unknown);

        SECTION("and learns the outcome once the old one has recorded it") {
            a.end(key);
            a.settle();
            b.pass(seconds(1));
            b.order("4", key);
            b.settle();
            CHECK(b.answers.at(0).answer.body == "done " + key);
        }
    }

    // a's lease lapses unseen, b takes its keys over and runs one. a then gets a new lease, but
    // can't reach the store to see that its record was closed. Its old record and the new lease
    // together look like certain ownership; "not run" would be a lie.
    SECTION("and a lease granted anew does not make the old owner certain") {
        a.pass(seconds(6));
        a.take(once::on_tick(a.ledger, a.at));
        store.values.erase(once::alive_key({"pool"}, {"a"}));
        for (int turn = 0; turn < 6; ++turn) {
            b.pass(seconds(3));
        }
        b.order("1", key);
        b.settle();
        CHECK(b.ran.size() == 1);
        a.at.now += seconds(6);
        a.take(once::on_tick(a.ledger, a.at)); // its read of the members hangs
        a.take(once::on_lease_kept(a.ledger, 2, a.at.now, a.at));
        a.order("2", key);
        a.pass(seconds(3), false);
        REQUIRE(a.refusals.size() == 1);
        CHECK(a.refusals[0].ran == base::execution_state::unknown);
    }

    // a took itself for the owner and has an order whose claim is not written yet, when it learns
    // that b had replaced it, run the key and left. a owns the key again, and must not go on with
    // its old claim as if nothing had happened: its caller gets b's answer.
    SECTION("and a claim that waited while another ran the key is not carried out") {
        store.values.erase(once::alive_key({"pool"}, {"a"}));
        for (int turn = 0; turn < 6; ++turn) {
            b.pass(seconds(3));
        }
        b.order("1", key);
        b.settle();
        b.end(key);
        b.settle();
        CHECK(b.ran.size() == 1);
        b.take(once::close(b.ledger, b.at));
        b.pass(seconds(1));
        CHECK(b.ledger.state == once::phase::closed);
        a.order("2", key);
        for (int turn = 0; turn < 5; ++turn) {
            a.pass(milliseconds(300));
        }
        CHECK(a.answers.size() == 1);
        CHECK(a.ran.empty());
    }

    SECTION("and an owner whose lease lapsed is replaced, and fenced off when it wakes") {
        const std::string alive = once::alive_key({"pool"}, {"a"});
        store.values.erase(alive);
        for (int turn = 0; turn < 6; ++turn) {
            b.pass(seconds(3));
        }
        b.order("1", key);
        b.settle();
        CHECK(b.ran.size() == 1);
        a.order("2", key);
        a.settle();
        CHECK(a.ran.empty());
    }
}

// The failure: an agent that stood still counts an owner's absence from an earlier one, takes its
// keys over, and runs one that the owner, cut off from the platform alone, runs within its grace.
TEST_CASE("an owner's absence counts from when it was last there", "[once]") {
    tiny_store store;
    const auto both = placement_of({"a", "b"}, seconds(20));
    actor a(store, "a", "a#1");
    actor b(store, "b", "b#1");
    a.join(both);
    b.join(both);
    a.pass(seconds(60));
    b.pass(seconds(60));
    const std::string alive = once::alive_key({"pool"}, {"a"});
    store.values.erase(alive);
    a.pass(seconds(6));
    b.pass(seconds(6));
    REQUIRE(b.ledger.missing_since.count({"a"}) == 1);
    // It is there again, under a new lease, and b stands still.
    a.take(once::on_lease_kept(a.ledger, 2, a.at.now, a.at));
    a.settle();
    REQUIRE(store.values.count(alive) == 1);
    // Then the platform is out of its reach. Its lease ends after 30 s, its grace 20 s later.
    a.pass(seconds(31), false);
    store.values.erase(alive);
    b.pass(seconds(31));
    for (int turn = 0; turn < 6; ++turn) {
        b.pass(seconds(2));
        a.pass(seconds(2), false);
    }
    std::int64_t made = a.at.wall_ms;
    while (!once::owns({"a"}, {dated(made)}, both.owners)) {
        ++made;
    }
    const std::string key = dated(made);
    a.order("1", key);
    a.pass(seconds(3), false);
    CHECK(a.ran == std::vector<std::string>{key});
    b.order("2", key);
    b.settle();
    CHECK(b.ran.empty());

    SECTION("and it is replaced in the end") {
        for (int turn = 0; turn < 20; ++turn) {
            b.pass(seconds(3));
        }
        const std::string other = key_of("a", both);
        b.order("3", other);
        b.settle();
        CHECK(b.ran == std::vector<std::string>{other});
    }
}

TEST_CASE("the platform is out", "[once]") {
    tiny_store store;
    const auto placement = placement_of({"a"}, seconds(60));
    actor first(store, "a", "a#1");
    first.join(placement);
    first.pass(seconds(30));
    first.take(once::on_lease_kept(first.ledger, 1, first.at.now, first.at));
    const std::string fresh = dated(first.at.wall_ms);

    // Nothing can be recorded, so a call whose key could have been used before this agent's life
    // must not leave. The caller hears so at once, and that it has not run.
    SECTION("and a key without a date is refused as not run") {
        first.order("1", "slot");
        first.settle(false);
        first.pass(seconds(3), false);
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).number == base::code::once_cannot_record);
        CHECK(first.refusals.at(0).ran == base::execution_state::not_run);
    }

    SECTION("and a dated key runs, within the grace the operators allow") {
        first.order("1", fresh);
        first.settle(false);
        first.pass(seconds(3), false);
        CHECK(first.ran == std::vector<std::string>{fresh});

        // It crashes before the platform is back. The claim is nowhere but in its lost memory. The
        // new life can't rule the key out, since it was made before this life began.
        SECTION("and after a crash is neither run again nor said not to have run") {
            actor second(store, "a", "a#2");
            second.at = first.at;
            second.join(placement);
            second.pass(seconds(115));
            second.take(once::on_lease_kept(second.ledger, 1, second.at.now, second.at));
            second.order("2", fresh);
            second.settle();
            CHECK(second.ran.empty());
            CHECK(second.refusals.at(0).ran == base::execution_state::unknown);
            second.order("3", dated(second.at.wall_ms));
            second.settle();
            CHECK(second.ran.size() == 1);
        }

        SECTION("and is recorded when the platform is back") {
            first.pass(seconds(1));
            first.pass(seconds(1));
            actor second(store, "a", "a#2");
            second.join(placement);
            CHECK(second.ledger.keys.at({fresh}).phase == once::key_phase::unknown);
        }
    }

    // By now another agent may have declared this one dead, read its journal and run the key.
    SECTION("and beyond the grace nothing runs, and 'not run' is not said") {
        first.at.now += seconds(95);
        first.at.wall_ms += 95000;
        first.order("1", dated(first.at.wall_ms));
        first.settle(false);
        first.pass(seconds(3), false);
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).ran == base::execution_state::unknown);
    }
}

TEST_CASE("an agent that leaves in order", "[once]") {
    tiny_store store;
    actor first(store, "a", "a#1");
    first.join(placement_of({"a", "b"}));
    const std::string key = key_of("a", placement_of({"a", "b"}));
    first.order("1", key);
    first.settle();
    first.take(once::close(first.ledger, first.at));
    first.order("2", key_of("a", placement_of({"a", "b"}), 1));
    CHECK(first.refusals.at(0).ran == base::execution_state::unknown);
    first.pass(seconds(1));
    CHECK(first.ledger.state == once::phase::closing);

    SECTION("finishes what runs, records it, and only then lets go") {
        first.end(key);
        first.settle();
        for (int turn = 0; turn < 5; ++turn) {
            first.pass(seconds(1));
        }
        CHECK(first.ledger.state == once::phase::closed);
        actor b(store, "b", "b#1");
        b.join(placement_of({"b"}));
        b.order("3", key);
        CHECK(b.answers.size() == 1);
    }
}
