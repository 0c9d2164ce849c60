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

// An in-memory store that responds when the test lets it.
struct fake_store {
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

// An agent of the pool and the actions that its ledger requested.
struct test_agent {
    fake_store* store;
    once::ledger ledger;
    once::event_time at{base::instant{seconds(100)}, wall_start};
    std::deque<once::action> platform_calls;
    std::vector<std::string> ran;
    std::vector<once::response_action> answers;
    std::vector<once::refuse_action> refusals;
    std::vector<once::tombstoned_action> tombstoned;

    test_agent(fake_store& store, const std::string& name, const std::string& nonce)
        : store(&store), ledger(once::make_ledger({name}, {"pool"}, nonce)) {}

    void apply(const once::actions& todo) {
        for (const auto& action : todo) {
            if (const auto* run = std::get_if<once::run_action>(&action)) {
                this->ran.push_back(run->key.value);
            } else if (const auto* answer = std::get_if<once::response_action>(&action)) {
                this->answers.push_back(*answer);
            } else if (const auto* refusal = std::get_if<once::refuse_action>(&action)) {
                this->refusals.push_back(*refusal);
            } else if (const auto* cancelled = std::get_if<once::tombstoned_action>(&action)) {
                this->tombstoned.push_back(*cancelled);
            } else {
                this->platform_calls.push_back(action);
            }
        }
    }

    // Delivers responses to all pending platform calls; with `reached` false the calls fail.
    void answer_calls(bool reached = true) {
        for (int round = 0; round < 20 && !this->platform_calls.empty(); ++round) {
            const auto call = this->platform_calls.front();
            this->platform_calls.pop_front();
            this->answer(call, reached);
        }
    }

    void answer(const once::action& call, bool reached) {
        if (const auto* read = std::get_if<once::read_action>(&call)) {
            this->apply(once::on_read(
                this->ledger,
                reached ? base::result<ports::snapshot>(this->store->read(read->prefix))
                        : base::code::platform_unreachable,
                this->at));
        } else {
            const auto& commit = std::get<once::commit_action>(call);
            this->apply(once::on_committed(
                this->ledger,
                reached ? base::result<ports::commit_result>(this->store->commit(commit.change))
                        : base::code::platform_unreachable,
                this->at));
        }
    }

    void join(const once::placement& placement) {
        this->apply(once::on_lease_renewed(this->ledger, 1, this->at.now, this->at));
        this->apply(once::set_placement(this->ledger, placement, this->at));
        this->answer_calls();
    }

    void advance(base::micros span, bool reached = true) {
        this->at.now += span;
        this->at.wall_ms += std::chrono::duration_cast<milliseconds>(span).count();
        this->apply(once::on_tick(this->ledger, this->at));
        this->answer_calls(reached);
    }

    void order(const std::string& attempt, const std::string& key,
               const std::string& fingerprint = "print") {
        this->apply(once::on_order(
            this->ledger, {{attempt}, {key}, fingerprint, this->at.now + seconds(10)}, this->at));
    }

    void complete(const std::string& key) {
        this->apply(once::on_completed(this->ledger, {key},
                                       {200, "text/plain", "done " + key, true}, this->at));
    }
};

once::placement placement_of(std::initializer_list<const char*> owners,
                             seconds grace = seconds(0)) {
    once::placement created;
    for (const char* owner : owners) {
        created.owners.push_back({owner});
    }
    created.outage_grace = grace;
    return created;
}

// Returns a key whose owner under the given placement is `owner`.
std::string key_owned_by(const std::string& owner, const once::placement& placement, int skip = 0) {
    for (int number = 0;; ++number) {
        std::string key = "key-" + std::to_string(number);
        if (once::owns({owner}, {key}, placement.owners) && skip-- == 0) {
            return key;
        }
    }
}

std::string timestamped_key(std::int64_t wall_ms) {
    char text[40];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-000000000001",
                  static_cast<unsigned long long>(wall_ms >> 16),
                  static_cast<unsigned long long>(wall_ms & 0xffff));
    return text;
}

} // namespace

TEST_CASE("a call that must not be repeated", "[once]") {
    fake_store store;
    const auto alone = placement_of({"a"});
    test_agent first(store, "a", "a#1");
    first.join(alone);

    SECTION("is sent only after its claim is recorded in the platform") {
        first.order("1", "slot");
        CHECK(first.ran.empty());
        first.answer_calls();
        CHECK(first.ran == std::vector<std::string>{"slot"});

        SECTION("a retry receives the response from memory") {
            first.order("2", "slot");
            first.complete("slot");
            first.order("3", "slot");
            first.answer_calls();
            CHECK(first.ran.size() == 1);
            REQUIRE(first.answers.size() == 3);
            CHECK(first.answers[2].response.body == "done slot");
        }

        SECTION("its key can't be reused for another request") {
            first.order("2", "slot", "another print");
            CHECK(first.refusals.at(0).number == base::code::key_reused_for_other_request);
        }

        // The agent crashes during a call and restarts without its memory, and the client retries.
        // Running the call again would duplicate it, and "not run" would be false. The recorded
        // claim shows only that the call may have run, so the outcome is reported as unknown.
        SECTION("after a crash it is neither run again nor reported as not run") {
            test_agent second(store, "a", "a#2");
            second.join(alone);
            second.order("2", "slot");
            second.answer_calls();
            CHECK(second.ran.empty());
            CHECK(second.refusals.at(0).ran == base::execution_state::unknown);

            // The first incarnation was only paused. It resumes with another order, but its writes
            // are fenced off, so it must not send any call.
            first.order("3", "later");
            first.answer_calls();
            first.advance(seconds(3));
            CHECK(first.ran.size() == 1);
            CHECK(first.ledger.state == once::phase::superseded);
        }

        SECTION("after a crash a retry receives the recorded response") {
            first.complete("slot");
            first.answer_calls();
            test_agent second(store, "a", "a#2");
            second.join(alone);
            second.order("2", "slot");
            CHECK(second.answers.at(0).response.body == "done slot");
        }
    }

    // The write of the claim takes effect, but its response is lost. Neither a blind retry nor
    // treating the write as failed is correct; the agent has to read the current state back.
    SECTION("runs once if the response to the write of its claim is lost") {
        first.order("1", "slot");
        const auto lost = std::get<once::commit_action>(first.platform_calls.front());
        first.platform_calls.clear();
        store.commit(lost.change);
        first.apply(once::on_committed(first.ledger, base::code::platform_unreachable, first.at));
        for (int round = 0; round < 4; ++round) {
            first.advance(milliseconds(600));
        }
        CHECK(first.ran.size() == 1);
    }

    // A write is delayed in the network while the agent retries it and records more claims. If the
    // delayed write took effect, it would erase the newer claims, and those calls would run again
    // after a crash.
    SECTION("keeps its claim if an older write arrives late") {
        first.order("1", "slot");
        const auto late = std::get<once::commit_action>(first.platform_calls.front());
        first.platform_calls.clear();
        first.apply(once::on_committed(first.ledger, base::code::platform_unreachable, first.at));
        first.advance(milliseconds(600));
        first.order("2", "gate");
        first.advance(milliseconds(300));
        REQUIRE(first.ran.size() == 2);
        CHECK_FALSE(store.commit(late.change).applied);
        test_agent second(store, "a", "a#2");
        second.join(alone);
        second.order("3", "gate");
        second.answer_calls();
        CHECK(second.ran.empty());
    }

    // The process is paused after the write of the claim until the client's deadline has passed.
    // The client has already received a timeout, so the call must not be sent.
    SECTION("is not sent after its deadline") {
        first.order("1", "slot");
        first.at.now += seconds(11);
        first.answer_calls();
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).ran == base::execution_state::not_run);
    }

    // An entry gives up on a silent link and cancels the attempt before its claim is recorded, and
    // is told "not run". The original order then arrives late on the old link and must not run.
    SECTION("can't run after it was reported as not run") {
        first.order("1", "slot");
        first.apply(once::on_tombstone(first.ledger, {"1"}, {"slot"}, first.at));
        CHECK(first.tombstoned.at(0).ran == base::execution_state::not_run);
        first.answer_calls();
        first.order("1", "slot");
        first.answer_calls();
        CHECK(first.ran.empty());
        first.order("2", "slot");
        first.answer_calls();
        CHECK(first.ran.size() == 1);
    }
}

TEST_CASE("a key's owner changes", "[once]") {
    fake_store store;
    const auto both = placement_of({"a", "b"});
    const auto only_b = placement_of({"b"});
    test_agent a(store, "a", "a#1");
    test_agent b(store, "b", "b#1");
    a.join(both);
    b.join(both);
    a.advance(seconds(6));
    b.advance(seconds(6));
    const std::string key = key_owned_by("a", both);

    SECTION("only the owner runs it before the change") {
        b.order("1", key);
        CHECK(b.refusals.at(0).number == base::code::once_not_owner);
        CHECK(b.refusals.at(0).ran == base::execution_state::unknown);
    }

    // Operators remove agent a from the owners. b receives the new configuration first, while a
    // still uses the old one, and both receive the order through different entries.
    SECTION("the new owner waits until the old one has given up the key") {
        b.apply(once::set_placement(b.ledger, only_b, b.at));
        b.answer_calls();
        b.order("1", key);
        b.answer_calls();
        CHECK(b.ran.empty());
        CHECK(b.refusals.back().number == base::code::once_handover);
        a.order("2", key);
        a.answer_calls();
        CHECK(a.ran.size() == 1);
        a.apply(once::set_placement(a.ledger, only_b, a.at));
        a.answer_calls();
        b.advance(seconds(2));
        b.advance(seconds(2));
        b.order("3", key);
        b.answer_calls();
        CHECK(b.ran.empty());
        CHECK(b.refusals.back().number == base::code::once_outcome_unknown);

        SECTION("the new owner reads the outcome once the old one has recorded it") {
            a.complete(key);
            a.answer_calls();
            b.advance(seconds(1));
            b.order("4", key);
            b.answer_calls();
            CHECK(b.answers.at(0).response.body == "done " + key);
        }
    }

    // The lease of a expires unnoticed, and b takes over its keys and runs one. Then a receives a
    // new lease, but can't read the store to see that its record was closed. The old record with
    // the new lease must not count as certain ownership, because "not run" would be false.
    SECTION("a new lease does not make the old owner certain of its ownership") {
        a.advance(seconds(6));
        a.apply(once::on_tick(a.ledger, a.at));
        store.values.erase(once::alive_key({"pool"}, {"a"}));
        for (int round = 0; round < 6; ++round) {
            b.advance(seconds(3));
        }
        b.order("1", key);
        b.answer_calls();
        CHECK(b.ran.size() == 1);
        a.at.now += seconds(6);
        a.apply(once::on_tick(a.ledger, a.at)); // the read of the members stays unanswered
        a.apply(once::on_lease_renewed(a.ledger, 2, a.at.now, a.at));
        a.order("2", key);
        a.advance(seconds(3), false);
        REQUIRE(a.refusals.size() == 1);
        CHECK(a.refusals[0].ran == base::execution_state::unknown);
    }

    // Agent a believes it is the owner and has an order whose claim is not recorded yet. It then
    // learns that b had replaced it, run the key and left. Although a owns the key again, it must
    // not continue with its old claim but return the response that b recorded.
    SECTION("a pending claim is not run if another agent ran the key meanwhile") {
        store.values.erase(once::alive_key({"pool"}, {"a"}));
        for (int round = 0; round < 6; ++round) {
            b.advance(seconds(3));
        }
        b.order("1", key);
        b.answer_calls();
        b.complete(key);
        b.answer_calls();
        CHECK(b.ran.size() == 1);
        b.apply(once::close(b.ledger, b.at));
        b.advance(seconds(1));
        CHECK(b.ledger.state == once::phase::closed);
        a.order("2", key);
        for (int round = 0; round < 5; ++round) {
            a.advance(milliseconds(300));
        }
        CHECK(a.answers.size() == 1);
        CHECK(a.ran.empty());
    }

    SECTION("an owner whose lease expired is replaced, and fenced off when it resumes") {
        const std::string alive = once::alive_key({"pool"}, {"a"});
        store.values.erase(alive);
        for (int round = 0; round < 6; ++round) {
            b.advance(seconds(3));
        }
        b.order("1", key);
        b.answer_calls();
        CHECK(b.ran.size() == 1);
        a.order("2", key);
        a.answer_calls();
        CHECK(a.ran.empty());
    }
}

// A paused agent measures an owner's absence from an earlier absence and takes over its keys too
// early. It then runs a key that the owner, disconnected only from the platform, runs within its
// grace time.
TEST_CASE("an owner's absence is measured from its last presence", "[once]") {
    fake_store store;
    const auto both = placement_of({"a", "b"}, seconds(20));
    test_agent a(store, "a", "a#1");
    test_agent b(store, "b", "b#1");
    a.join(both);
    b.join(both);
    a.advance(seconds(60));
    b.advance(seconds(60));
    const std::string alive = once::alive_key({"pool"}, {"a"});
    store.values.erase(alive);
    a.advance(seconds(6));
    b.advance(seconds(6));
    REQUIRE(b.ledger.missing_since.count({"a"}) == 1);
    // The owner returns with a new lease while b is paused.
    a.apply(once::on_lease_renewed(a.ledger, 2, a.at.now, a.at));
    a.answer_calls();
    REQUIRE(store.values.count(alive) == 1);
    // The owner then loses the platform. Its lease expires after 30 s, and its grace time ends 20 s
    // later.
    a.advance(seconds(31), false);
    store.values.erase(alive);
    b.advance(seconds(31));
    for (int round = 0; round < 6; ++round) {
        b.advance(seconds(2));
        a.advance(seconds(2), false);
    }
    std::int64_t created = a.at.wall_ms;
    while (!once::owns({"a"}, {timestamped_key(created)}, both.owners)) {
        ++created;
    }
    const std::string key = timestamped_key(created);
    a.order("1", key);
    a.advance(seconds(3), false);
    CHECK(a.ran == std::vector<std::string>{key});
    b.order("2", key);
    b.answer_calls();
    CHECK(b.ran.empty());

    SECTION("the owner is replaced after its grace time") {
        for (int round = 0; round < 20; ++round) {
            b.advance(seconds(3));
        }
        const std::string other = key_owned_by("a", both);
        b.order("3", other);
        b.answer_calls();
        CHECK(b.ran == std::vector<std::string>{other});
    }
}

TEST_CASE("the platform is unreachable", "[once]") {
    fake_store store;
    const auto placement = placement_of({"a"}, seconds(60));
    test_agent first(store, "a", "a#1");
    first.join(placement);
    first.advance(seconds(30));
    first.apply(once::on_lease_renewed(first.ledger, 1, first.at.now, first.at));
    const std::string fresh_key = timestamped_key(first.at.wall_ms);

    // Nothing can be recorded, so a call whose key may have been used before this incarnation must
    // not be sent. The client is told at once that it has not run.
    SECTION("a key without a timestamp is refused as not run") {
        first.order("1", "slot");
        first.answer_calls(false);
        first.advance(seconds(3), false);
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).number == base::code::once_cannot_record);
        CHECK(first.refusals.at(0).ran == base::execution_state::not_run);
    }

    SECTION("a timestamped key runs within the configured grace time") {
        first.order("1", fresh_key);
        first.answer_calls(false);
        first.advance(seconds(3), false);
        CHECK(first.ran == std::vector<std::string>{fresh_key});

        // The agent crashes before the platform is back, and the claim was only in its memory. The
        // new incarnation can't rule out that the key ran, since the key was created before it
        // started.
        SECTION("after a crash it is neither run again nor reported as not run") {
            test_agent second(store, "a", "a#2");
            second.at = first.at;
            second.join(placement);
            second.advance(seconds(115));
            second.apply(once::on_lease_renewed(second.ledger, 1, second.at.now, second.at));
            second.order("2", fresh_key);
            second.answer_calls();
            CHECK(second.ran.empty());
            CHECK(second.refusals.at(0).ran == base::execution_state::unknown);
            second.order("3", timestamped_key(second.at.wall_ms));
            second.answer_calls();
            CHECK(second.ran.size() == 1);
        }

        SECTION("it is recorded when the platform is back") {
            first.advance(seconds(1));
            first.advance(seconds(1));
            test_agent second(store, "a", "a#2");
            second.join(placement);
            CHECK(second.ledger.keys.at({fresh_key}).phase == once::key_phase::unknown);
        }
    }

    // Another agent may have declared this one dead by now, read its journal and run the key.
    SECTION("beyond the grace time nothing runs and 'not run' is not reported") {
        first.at.now += seconds(95);
        first.at.wall_ms += 95000;
        first.order("1", timestamped_key(first.at.wall_ms));
        first.answer_calls(false);
        first.advance(seconds(3), false);
        CHECK(first.ran.empty());
        CHECK(first.refusals.at(0).ran == base::execution_state::unknown);
    }
}

TEST_CASE("an agent that shuts down in an orderly way", "[once]") {
    fake_store store;
    test_agent first(store, "a", "a#1");
    first.join(placement_of({"a", "b"}));
    const std::string key = key_owned_by("a", placement_of({"a", "b"}));
    first.order("1", key);
    first.answer_calls();
    first.apply(once::close(first.ledger, first.at));
    first.order("2", key_owned_by("a", placement_of({"a", "b"}), 1));
    CHECK(first.refusals.at(0).ran == base::execution_state::unknown);
    first.advance(seconds(1));
    CHECK(first.ledger.state == once::phase::closing);

    SECTION("finishes and records running calls before it gives up its keys") {
        first.complete(key);
        first.answer_calls();
        for (int round = 0; round < 5; ++round) {
            first.advance(seconds(1));
        }
        CHECK(first.ledger.state == once::phase::closed);
        test_agent b(store, "b", "b#1");
        b.join(placement_of({"b"}));
        b.order("3", key);
        CHECK(b.answers.size() == 1);
    }
}
