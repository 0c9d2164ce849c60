#include "soak/checker.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

soak::call_seen call(const std::string& id, soak::call_kind kind, int status, int sent_ms) {
    soak::call_seen made{id, kind, "k1", 0, at(sent_ms), at(sent_ms + 100), status, "s-" + id};
    made.whole = status == 200;
    made.body = "done " + id;
    return made;
}

soak::run_seen run(const std::string& id, int at_ms) {
    return {id, "i-1", "s-" + id, "team-of-k1", at(at_ms)};
}

// A run in which all is well.
soak::history sound() {
    soak::history seen;
    seen.calls = {call("a", soak::call_kind::once, 200, 1000),
                  call("b", soak::call_kind::safe, 200, 2000)};
    seen.runs = {run("a", 1010), run("b", 2010)};
    return seen;
}

std::string only_finding(const soak::history& seen) {
    const auto found = soak::check(seen, {});
    return found.size() == 1 ? found.front() : std::to_string(found.size()) + " findings";
}

std::string events(const std::string& id, int from, int to) {
    std::string body;
    for (int event = from; event <= to; ++event) {
        body += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    }
    return body;
}

// A prompt that began on version 1 at 20,000 ms, the bound and a moment after version 2 was
// acknowledged.
soak::history outdated() {
    auto seen = sound();
    seen.calls.push_back(call("p", soak::call_kind::stream, 200, 19990));
    seen.calls.back().body = events("p", 1, 8);
    seen.calls.back().model = "m0";
    seen.runs.push_back(run("p", 20000));
    seen.runs.back().model = "m0";
    seen.runs.back().weights = 1;
    seen.named = {{"m0", 2, at(11999)}};
    return seen;
}

bool is_sound(const soak::history& seen) {
    return soak::check(seen, {}).empty();
}

bool is_outdated(const soak::history& seen) {
    return only_finding(seen).rfind("nothing begins on outdated weights", 0) == 0;
}

} // namespace

// A run on weights that were outdated for too long would pass, or one would be reported that an
// excuse covers.
TEST_CASE("the soak's checker knows since when weights are outdated", "[soak]") {
    auto seen = outdated();
    CHECK(is_outdated(seen));

    SECTION("in time, on the newest version, or on those of another model") {
        seen.named[0].at = at(12000);
        CHECK(is_sound(seen));
        seen.named.push_back({"m0", 3, at(19000)});
        CHECK(is_sound(seen));
        seen.named[0].at = at(11999);
        CHECK(is_outdated(seen));
        seen.runs.back().weights = 2;
        CHECK(is_sound(seen));
        seen.runs.back().weights = 1;
        seen.named[0].model = "m1";
        CHECK(is_sound(seen));
    }
    SECTION("a call for no model") {
        seen.runs.back().model.clear();
        CHECK(is_sound(seen));
    }
    SECTION("its entry stood still, or was stopped, within the calm before") {
        for (const char* what : {"pause", "stop"}) {
            seen.faults = {{what, 0, at(14000), at(16000), std::string(what) == "stop"}};
            CHECK(is_sound(seen));
            seen.faults[0].until = at(15999);
            CHECK(is_outdated(seen));
            seen.faults = {{what, 1, at(14000), at(18000), std::string(what) == "stop"}};
            CHECK(is_outdated(seen));
        }
    }
    SECTION("its entry was killed and started again within the calm before") {
        seen.faults = {{"kill", 0, at(14000), at(19000), false}};
        CHECK(is_outdated(seen));
        seen.starts = {{0, at(16000)}};
        CHECK(is_sound(seen));
        seen.starts = {{0, at(15999)}};
        CHECK(is_outdated(seen));
        seen.starts = {{1, at(18000)}};
        CHECK(is_outdated(seen));
        seen.faults[0].from = at(16000);
        CHECK(is_sound(seen));
    }
    SECTION("the store was disturbed: the time counts from the calm after it") {
        for (const char* what :
             {"store_busy", "store_silent", "store_slow", "store_loses", "store_returns"}) {
            seen.faults = {{what, -1, at(7000), at(8000), false}};
            CHECK(is_sound(seen));
            seen.faults[0].until = at(7999);
            CHECK(is_outdated(seen));
            seen.faults = {{what, -1, at(20001), at(21000), false}};
            CHECK(is_outdated(seen));
        }
    }
    SECTION("a link was disturbed: the time counts from its end") {
        for (const char* what : {"delay_engine", "reset_engine", "cut_one_way", "silence_engine",
                                 "refuse_engine", "silence_store", "cut_store"}) {
            seen.faults = {{what, -1, at(11000), at(12000), false}};
            CHECK(is_sound(seen));
            seen.faults[0].until = at(11999);
            CHECK(is_outdated(seen));
        }
    }
    SECTION("what excuses nothing") {
        for (const char* what :
             {"reload", "engine_restarts", "engine_fails", "engine_loses", "engine_leaves",
              "fatal_requests", "engine_says_leaving", "engines_lost_together"}) {
            seen.faults = {{what, -1, at(15000), at(19000), false},
                           {what, 0, at(15000), at(19000), true}};
            CHECK(is_outdated(seen));
        }
    }
}

// A run at an engine that the list calls leaving would pass, or one would be reported that an
// excuse covers.
TEST_CASE("the soak's checker knows since when the list calls an engine leaving", "[soak]") {
    auto seen = sound();
    seen.calls.push_back(call("l", soak::call_kind::safe, 200, 19990));
    seen.runs.push_back(run("l", 20000));
    seen.runs.back().instance = "i-2";
    seen.leaving = {{"i-2", at(17999)}};
    const auto is_late = [&seen] {
        return only_finding(seen).rfind("nothing new to one listed as leaving", 0) == 0;
    };
    CHECK(is_late());

    SECTION("at the bound, and at an engine that was never listed so") {
        seen.leaving[0].at = at(18000);
        CHECK(is_sound(seen));
        seen.leaving[0] = {"i-3", at(17999)};
        CHECK(is_sound(seen));
    }
    SECTION("the first acknowledgement counts") {
        seen.leaving.push_back({"i-2", at(19000)});
        CHECK(is_late());
        std::swap(seen.leaving[0], seen.leaving[1]);
        CHECK(is_late());
    }
    SECTION("the store was disturbed within the calm before") {
        for (const char* what :
             {"store_busy", "store_silent", "store_slow", "store_loses", "store_returns"}) {
            seen.faults = {{what, -1, at(15000), at(16000), false}};
            CHECK(is_sound(seen));
            seen.faults[0].until = at(15999);
            CHECK(is_late());
            seen.faults = {{what, -1, at(20001), at(21000), false}};
            CHECK(is_late());
        }
    }
    SECTION("its entry was not in touch within the calm before") {
        for (const char* what : {"pause", "stop"}) {
            seen.faults = {{what, 0, at(14000), at(16000), std::string(what) == "stop"}};
            CHECK(is_sound(seen));
            seen.faults[0].until = at(15999);
            CHECK(is_late());
            seen.faults = {{what, 1, at(14000), at(18000), std::string(what) == "stop"}};
            CHECK(is_late());
        }
        seen.faults = {{"kill", 0, at(16000), at(16001), false}};
        CHECK(is_sound(seen));
        seen.faults = {{"cut_store", -1, at(15000), at(16000), false}};
        CHECK(is_sound(seen));
        seen.faults.clear();
        seen.starts = {{0, at(16000)}};
        CHECK(is_sound(seen));
        seen.starts = {{0, at(15999)}, {1, at(18000)}};
        CHECK(is_late());
    }
    SECTION("what excuses nothing") {
        for (const char* what : {"reload", "engine_leaves", "engine_fails"}) {
            seen.faults = {{what, -1, at(15000), at(19000), false}};
            CHECK(is_late());
        }
    }
}

// Each promise is broken by hand once. A checker that overlooks one would let a soak of any length
// pass.
TEST_CASE("the soak's checker notices each broken promise", "[soak]") {
    auto seen = sound();
    CHECK(soak::check(seen, {}).empty());

    SECTION("a call that ran twice") {
        seen.runs.push_back(run("a", 1500));
        CHECK(only_finding(seen).rfind("at most once", 0) == 0);
        seen.calls[0].kind = soak::call_kind::safe;
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("a refusal of what has run") {
        seen.calls.push_back(call("c", soak::call_kind::once, 503, 1000));
        seen.calls.back().whole = true;
        seen.runs.push_back(run("c", 900));
        CHECK(soak::check(seen, {}).front().rfind("a true 'not run'", 0) == 0);
    }
    SECTION("another call's answer") {
        seen.calls[0].body = "done b";
        CHECK(only_finding(seen).rfind("one's own answer", 0) == 0);
    }
    SECTION("an answer that nobody gave") {
        seen.calls[0].stamp = "s-x";
        CHECK(only_finding(seen).rfind("one's own answer", 0) == 0);
    }
    SECTION("a call that nobody sent") {
        seen.runs.push_back(run("x", 1500));
        CHECK(only_finding(seen).rfind("nothing unasked", 0) == 0);
    }
    SECTION("a stream with a gap, an event twice, or an early end") {
        seen.calls[1].kind = soak::call_kind::resumable_stream;
        seen.calls[1].body = events("b", 1, 8);
        CHECK(soak::check(seen, {}).empty());
        seen.calls[1].body = events("b", 1, 3) + events("b", 5, 8);
        CHECK(only_finding(seen).rfind("streams in order", 0) == 0);
        seen.calls[1].body = events("b", 1, 3) + events("b", 3, 8);
        CHECK(only_finding(seen).rfind("streams in order", 0) == 0);
        seen.calls[1].body = events("b", 1, 7);
        CHECK(only_finding(seen).rfind("whole streams", 0) == 0);
        seen.calls[1].body = events("a", 1, 8);
        CHECK(only_finding(seen).rfind("one's own answer", 0) == 0);
    }
    SECTION("a key that was taken away, and another team's run") {
        seen.removed = {{"k1", at(-4100)}};
        seen.calls.push_back(call("z", soak::call_kind::safe, 200, 0));
        seen.calls.back().key = "k2";
        seen.runs.push_back(run("z", 10));
        seen.runs.back().team = "team-of-k2";
        CHECK(soak::check(seen, {}).size() == 2);
        // A store that has lost the removal puts off nothing.
        seen.faults = {{"store_returns", -1, at(-4000), at(100), false}};
        CHECK(soak::check(seen, {}).size() == 2);
        seen.removed.clear();
        seen.runs.back().team = "team-of-k1";
        CHECK(only_finding(seen).rfind("one's own team", 0) == 0);
    }
    SECTION("an answer cut by an orderly stop") {
        seen.calls[0].whole = false;
        seen.calls[0].status = 0;
        seen.faults = {{"stop", 0, at(900), at(3000), true}};
        seen.settled_at = at(1500);
        CHECK(only_finding(seen).rfind("a stop cuts nothing", 0) == 0);
        seen.faults.push_back({"kill", 1, at(500), at(600), false});
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("two leaders that take turns, and a fence that goes back") {
        seen.orders = {{"i-1", "e1", 5, at(1000)}, {"i-2", "e2", 6, at(2000)}};
        CHECK(only_finding(seen).rfind("one leader", 0) == 0);
        seen.orders[1].at = at(4100);
        CHECK(soak::check(seen, {}).empty());
        seen.orders[1].fence = 4;
        CHECK(only_finding(seen).rfind("one leader", 0) == 0);
    }
    SECTION("a call to an engine that had said that it leaves") {
        seen.calls[0].says_leaving = true;
        seen.calls.push_back(call("late", soak::call_kind::safe, 200, 3300));
        seen.runs.push_back(run("late", 3310));
        CHECK(only_finding(seen).rfind("nothing new to one that leaves", 0) == 0);
        seen.calls.back().entry = 1;
        CHECK(soak::check(seen, {}).empty());
        seen.calls.back().entry = 0;
        seen.calls.back().sent_at = at(3000);
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("a pause that is not kept") {
        for (int each = 0; each < 4; ++each) {
            seen.pauses.push_back({"a", "i-1", at(1000 + 600 * each), at(4000)});
        }
        CHECK(only_finding(seen).rfind("pauses are kept", 0) == 0);
        seen.pauses.pop_back();
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("a fatal part of prompts that goes on crashing engines") {
        for (int each = 0; each < 9; ++each) {
            const std::string id = "f" + std::to_string(each);
            seen.calls.push_back(call(id, soak::call_kind::stream, 0, 1000 + 3000 * each));
            seen.calls.back().fatal = true;
            seen.runs.push_back(run(id, 1010 + 3000 * each));
            seen.runs.back().fatal = soak::fatal_prompt_part;
            seen.runs.back().instance = "i-" + id;
        }
        // One of the four later ones comes within the calm after the fifth.
        CHECK(soak::check(seen, {}).empty());
        seen.calls.push_back(call("g", soak::call_kind::stream, 0, 29000));
        seen.calls.back().fatal = true;
        seen.runs.push_back(run("g", 29010));
        seen.runs.back().fatal = soak::fatal_prompt_part;
        CHECK(only_finding(seen).rfind("fatal requests are held back", 0) == 0);
    }
    SECTION("a fatal request that goes on crashing engines") {
        for (int each = 0; each < 7; ++each) {
            const std::string id = "f" + std::to_string(each);
            seen.calls.push_back(call(id, soak::call_kind::stream, 0, 1000 + 3000 * each));
            seen.calls.back().fatal = true;
            seen.runs.push_back(run(id, 1010 + 3000 * each));
            seen.runs.back().fatal = "/stream/x fatal";
            seen.runs.back().instance = "i-" + id;
        }
        // One of the four later ones comes within the calm after the third.
        CHECK(soak::check(seen, {}).empty());
        seen.calls.push_back(call("g", soak::call_kind::stream, 0, 23000));
        seen.calls.back().fatal = true;
        seen.runs.push_back(run("g", 23010));
        seen.runs.back().fatal = "/stream/x fatal";
        CHECK(only_finding(seen).rfind("fatal requests are held back", 0) == 0);
        seen.faults = {{"kill", 0, at(22000), at(22500), false}};
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("a team that ran more than its quota over all entries") {
        for (int each = 0; each < 56; ++each) {
            const std::string id = "q" + std::to_string(each);
            seen.calls.push_back(call(id, soak::call_kind::safe, 200, 1000 + 140 * each));
            seen.calls.back().key = "limited";
            seen.calls.back().entry = each % 3;
            seen.runs.push_back(run(id, 1010 + 140 * each));
            seen.runs.back().team = "team-of-limited";
        }
        CHECK(soak::check(seen, {}).empty());
        seen.calls.push_back(call("one more", soak::call_kind::safe, 200, 8800));
        seen.calls.back().key = "limited";
        seen.runs.push_back(run("one more", 8810));
        seen.runs.back().team = "team-of-limited";
        CHECK(only_finding(seen).rfind("quotas hold over all entries", 0) == 0);
        seen.runs.back().at = at(9020);
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("a process that ended by itself, and one that does not recover") {
        seen.exits = {"entry 1, code 139"};
        CHECK(only_finding(seen).rfind("processes stay up", 0) == 0);
        seen.exits.clear();
        seen.settled_at = at(5000);
        CHECK(only_finding(seen).rfind("recovery", 0) == 0);
    }
}

namespace {

std::string events_of(const std::string& software, const std::string& id, int from, int to) {
    std::string body;
    for (int event = from; event <= to; ++event) {
        body += "software: " + software + "\n" + events(id, event, event);
    }
    return body;
}

// A stream that its caller leaves after three events and resumes at another entry.
soak::history resumed_stream(const std::string& software) {
    auto seen = sound();
    seen.calls.push_back(call("p", soak::call_kind::resumable_stream, 200, 3000));
    seen.calls.back().whole = false;
    seen.calls.back().left = true;
    seen.calls.back().body = events_of("v1", "p", 1, 3);
    seen.calls.push_back(call("q", soak::call_kind::resumable_stream, 200, 3500));
    seen.calls.back().resumes = "p";
    seen.calls.back().after_event = 3;
    seen.calls.back().body = events_of(software, "q", 4, 8);
    seen.runs.push_back(run("p", 3010));
    seen.runs.push_back(run("q", 3510));
    return seen;
}

// A new stream each second, and one that is resumed.
soak::history resumptions(int count, int refused) {
    auto seen = sound();
    seen.serving = {{"v1", at(0)}, {"v1", at(0)}, {"v2", at(0)}};
    for (int each = 0; each < count; ++each) {
        auto streams = resumed_stream("v1");
        auto first = streams.calls[2];
        auto second = streams.calls[3];
        const std::string number = std::to_string(each);
        first.id += number;
        second.id += number;
        first.stamp += number;
        second.stamp += number;
        second.resumes = first.id;
        first.body = events_of("v1", first.id, 1, 3);
        second.body = events_of("v1", second.id, 4, 8);
        seen.calls.push_back(first);
        seen.runs.push_back(run(first.id, 3010));
        if (each < refused) {
            second.status = 503;
        } else {
            seen.runs.push_back(run(second.id, 3510));
        }
        seen.calls.push_back(second);
    }
    // The end of the run, when everything is sound, is not what is judged here.
    seen.settled_at = at(5000);
    seen.calls.push_back(call("z", soak::call_kind::safe, 200, 6000));
    seen.runs.push_back(run("z", 6010));
    return seen;
}

} // namespace

// A stream with events of two software versions would pass.
TEST_CASE("the soak's checker knows which software generated a stream", "[soak]") {
    CHECK(is_sound(resumed_stream("v1")));
    CHECK(only_finding(resumed_stream("v2")).rfind("streams keep their software", 0) == 0);

    SECTION("within one response too") {
        auto seen = resumed_stream("v1");
        seen.calls[2].body = events_of("v1", "p", 1, 1) + events_of("v2", "p", 2, 3);
        CHECK(only_finding(seen).rfind("streams keep their software", 0) == 0);
    }
    SECTION("and that a resumed stream goes on after the last event") {
        auto seen = resumed_stream("v1");
        seen.calls[3].body = events_of("v1", "q", 5, 8);
        CHECK(only_finding(seen).rfind("streams in order", 0) == 0);
    }
}

// Entries that refuse to resume any stream would pass.
TEST_CASE("the soak's checker wants streams to be resumed", "[soak]") {
    CHECK(is_sound(resumptions(12, 6)));
    CHECK(only_finding(resumptions(12, 7)).rfind("streams are resumed", 0) == 0);
    CHECK(is_sound(resumptions(11, 11)));

    SECTION("while two engines of their version serve") {
        auto seen = resumptions(12, 12);
        seen.serving[1].until = at(3400);
        CHECK(is_sound(seen));
    }
    SECTION("and their entry is in touch") {
        auto seen = resumptions(12, 12);
        seen.faults = {{"pause", 0, at(1000), at(3000), false}};
        CHECK(is_sound(seen));
    }
}

// Guards against a checker that overlooks retries beyond the budget that all entries share.
TEST_CASE("the soak's checker counts retries per service", "[soak]") {
    auto seen = sound();
    for (int each = 0; each < 60; ++each) {
        const std::string id = "r" + std::to_string(each);
        seen.calls.push_back(call(id, soak::call_kind::safe, 200, 3000 + 10 * each));
        seen.runs.push_back(run(id, 3010 + 10 * each));
    }
    const auto repeat = [&seen](int count, int at_ms) {
        for (int each = 0; each < count; ++each) {
            seen.runs.push_back(run("r" + std::to_string(each), at_ms));
        }
    };
    SECTION("as many as 62 calls and the slack allow") {
        repeat(60, 4000);
        repeat(2, 4100);
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("and one more") {
        repeat(60, 4000);
        repeat(3, 4100);
        CHECK(only_finding(seen).rfind("retries stay within their budget: 63", 0) == 0);
    }
    SECTION("and those of another window apart") {
        repeat(60, 4000);
        repeat(3, 14100);
        CHECK(soak::check(seen, {}).empty());
    }
}

// Guards against a checker that overlooks an engine that gets more than the rate limit it states.
TEST_CASE("the soak's checker knows how much a rate limit allows", "[soak]") {
    auto seen = sound();
    seen.limits = {{"i-9", 1.0, at(3000), at(30000)}};
    const auto add = [&seen](const std::string& id, int at_ms) {
        seen.calls.push_back(call(id, soak::call_kind::safe, 200, at_ms));
        seen.calls.back().stamp = "i-9/" + id;
        seen.calls.back().states_limit = true;
        seen.runs.push_back(run(id, at_ms + 10));
        seen.runs.back().instance = "i-9";
        seen.runs.back().stamp = "i-9/" + id;
    };
    add("told", 3100);
    const auto add_many = [&add](int count, int from_ms) {
        for (int each = 0; each < count; ++each) {
            add("l" + std::to_string(from_ms + each), from_ms + 100 * each);
        }
    };
    SECTION("in a window from three seconds after it was stated") {
        add_many(12, 8000);
        CHECK(only_finding(seen).rfind("rate limits are kept: i-9 got 12", 0) == 0);
    }
    SECTION("and no less") {
        add_many(11, 8000);
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("but not before") {
        add_many(20, 3200);
        CHECK(soak::check(seen, {}).empty());
    }
    SECTION("nor of an entry that was disturbed") {
        add_many(12, 8000);
        seen.faults.push_back({"kill", 0, at(6000), at(7000), false});
        CHECK(soak::check(seen, {}).empty());
    }
}
