#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using base::milliseconds;
using quarantine::verdict;

namespace {

const quarantine::quarantine_rules rules;

base::instant at(int ms) {
    return base::instant(milliseconds(ms));
}

quarantine::request_identity part(const std::string& name) {
    return quarantine::identify_prompt_part({"m0"}, name);
}

// A request that was in flight at a crash, 40 ms after it was sent.
struct prompt {
    std::string name;
    std::vector<std::string> parts;
    // How long before the crash its response had begun; negative if it had not.
    int begun_ago_ms = -1;
};

// The quarantine state of one entry, with times in milliseconds.
struct entry {
    quarantine::quarantine state;

    void crash(const std::string& upstream, int ms, const std::vector<prompt>& prompts) {
        quarantine::crash_report report{{{upstream}, {}}, at(ms), {}};
        for (const auto& each : prompts) {
            quarantine::crash_victim victim{
                quarantine::identify({"/desk", "north", each.name}), at(ms - 40), {}};
            if (each.begun_ago_ms >= 0) {
                victim.response_started_at = at(ms - each.begun_ago_ms);
            }
            for (const auto& name : each.parts) {
                victim.parts.push_back(part(name));
            }
            report.victims.push_back(std::move(victim));
        }
        quarantine::record_crash(this->state, report, at(ms), rules);
    }

    void survive(const std::string& name, int ms) {
        quarantine::clear_prompt_part(this->state, part(name).digest, at(ms), rules);
    }

    [[nodiscard]] verdict judge(const std::vector<std::string>& parts, int ms) const {
        quarantine::request_suspects request;
        for (const auto& name : parts) {
            request.parts.push_back(part(name).digest);
        }
        return quarantine::evaluate(this->state, request, at(ms), rules).what;
    }

    std::size_t decide(int ms) {
        return quarantine::decide_quarantines(this->state, at(ms), rules).size();
    }
};

} // namespace

TEST_CASE("a prompt part under which two different requests crash upstreams is quarantined",
          "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"hot", "fatal", "b1"}}, {"r2", {"hot", "b2"}}});
    CHECK(node.judge({"hot", "fatal"}, 110) == verdict::allowed);
    node.survive("hot", 150);
    node.crash("i-2", 300, {{"r3", {"b3", "fatal", "hot"}}});
    CHECK(node.judge({"fatal"}, 310) == verdict::deferred);
    CHECK(node.judge({"hot", "b1"}, 310) == verdict::allowed);
    CHECK(node.decide(460) == 1);
    CHECK(node.judge({"hot", "fatal"}, 470) == verdict::quarantined);
    CHECK(node.judge({"hot", "b1"}, 470) == verdict::allowed);

    SECTION("at its model alone") {
        const auto elsewhere = quarantine::identify_prompt_part({"m1"}, "fatal");
        CHECK(quarantine::evaluate(node.state, elsewhere.digest, at(470), rules).what ==
              verdict::allowed);
    }
    SECTION("until an upstream survives the begin of a response to it") {
        node.survive("fatal", 600);
        CHECK(node.judge({"hot", "fatal"}, 610) == verdict::allowed);
    }
    SECTION("for a while") {
        const int over = 470 + 600000;
        quarantine::expire(node.state, at(over), rules);
        CHECK(node.judge({"fatal"}, over) != verdict::quarantined);
        node.crash("i-3", over + 100, {{"r4", {"fatal"}}});
        CHECK(node.decide(over + 300) == 1);
    }
}

// Guards against blaming the parts of a single request that crashes upstreams.
TEST_CASE("a request that crashes upstreams by itself is blamed, not its parts", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"rare"}}});
    node.crash("i-2", 300, {{"r1", {"rare"}}});
    node.crash("i-3", 500, {{"r1", {"rare"}}});
    CHECK(node.decide(700) == 1);
    CHECK(node.judge({"rare"}, 710) == verdict::allowed);
}

// Guards against waiting for a further crash since a request that was repeated looks as guilty as
// the part that it shares with another one.
TEST_CASE("a part that accounts for the crashes of two repeated requests is quarantined",
          "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"fatal"}}});
    node.crash("i-2", 200, {{"r1", {"fatal"}}});
    node.crash("i-3", 300, {{"r2", {"fatal"}}});
    node.crash("i-4", 400, {{"r2", {"fatal"}}});
    node.decide(560);
    CHECK(node.judge({"fatal"}, 570) == verdict::quarantined);
}

TEST_CASE("the parts of a response that had gone on for a while are not suspects", "[quarantine]") {
    entry node;
    node.crash("i-1", 1000, {{"r1", {"busy"}, 400}, {"r2", {"fatal"}, 30}});
    node.crash("i-2", 1500, {{"r3", {"busy"}, 400}, {"r4", {"fatal"}}});
    CHECK(node.decide(1700) == 1);
    CHECK(node.judge({"fatal"}, 1710) == verdict::quarantined);
    CHECK(node.judge({"busy"}, 1710) == verdict::allowed);
}

// Guards against quarantining a sound part that happened to be lost with the fatal one each time.
TEST_CASE("a part that was lost with a quarantined one is not blamed for the same crashes",
          "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"fatal"}}, {"r2", {"unlucky"}}});
    node.crash("i-2", 300, {{"r3", {"fatal"}}, {"r4", {"unlucky"}}});
    CHECK(node.decide(460) == 0);
    CHECK(node.judge({"unlucky"}, 500) == verdict::trial);
    node.crash("i-3", 600, {{"r5", {"fatal"}}});
    CHECK(node.decide(800) == 1);
    CHECK(node.decide(1000) == 0);
    CHECK(node.judge({"fatal"}, 1010) == verdict::quarantined);
    CHECK(node.judge({"unlucky"}, 1010) != verdict::quarantined);
}

// Guards against refusing all requests with a sound part that had only been sent with the fatal
// one.
TEST_CASE("of two parts that were always lost together, requests with one alone are tried",
          "[quarantine]") {
    entry node;
    for (int each = 1; each <= 3; ++each) {
        node.crash("i-" + std::to_string(each), 300 * each,
                   {{"r" + std::to_string(each), {"fatal", "sibling"}}});
    }
    CHECK(node.decide(1100) == 2);
    CHECK(node.judge({"fatal", "sibling"}, 1110) == verdict::quarantined);
    CHECK(node.judge({"sibling", "b1"}, 1110) == verdict::trial);

    SECTION("until the sound one is cleared") {
        node.survive("sibling", 1200);
        CHECK(node.judge({"sibling", "b1"}, 1210) == verdict::allowed);
        CHECK(node.judge({"fatal"}, 1210) == verdict::quarantined);
    }
    SECTION("or the fatal one crashes another upstream") {
        CHECK(node.judge({"fatal", "b1"}, 1110) == verdict::trial);
        node.crash("i-4", 1200, {{"r4", {"fatal", "b1"}}});
        CHECK(node.judge({"fatal", "b2"}, 1210) == verdict::quarantined);
        CHECK(node.judge({"sibling"}, 1210) == verdict::trial);
    }
}

// Guards against refusing all requests with a sound part for the whole quarantine, since several
// copies of a fatal request crashed upstreams at once while different requests with it were there.
TEST_CASE("a part that was always lost with a request that is quarantined is tried",
          "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"fatal", {}}, {"r1", {"sound"}}});
    node.crash("i-2", 130, {{"fatal", {}}, {"r2", {}}});
    node.crash("i-3", 165, {{"fatal", {}}, {"r3", {"sound"}}});
    CHECK(node.decide(320) == 1);
    CHECK(node.judge({"sound"}, 330) == verdict::quarantined);
    node.crash("i-4", 1600, {{"fatal", {}}});
    node.crash("i-5", 1700, {{"fatal", {}}});
    CHECK(node.decide(1860) == 1);
    CHECK(node.judge({"sound"}, 1870) == verdict::trial);

    SECTION("until an upstream survives it") {
        node.survive("sound", 2000);
        CHECK(node.judge({"sound"}, 2010) == verdict::allowed);
    }
    SECTION("or crashes under it") {
        node.crash("i-6", 2000, {{"r4", {"sound"}}});
        CHECK(node.judge({"sound"}, 2010) == verdict::quarantined);
    }
    SECTION("but not by the request itself") {
        const quarantine::request_suspects repeated{
            quarantine::identify({"/desk", "north", "fatal"}).digest, {part("sound").digest}};
        CHECK(quarantine::evaluate(node.state, repeated, at(1870), rules).what ==
              verdict::quarantined);
    }
}

// Guards against two fatal parts that hide each other, since upstreams crash under one all the time
// while the other is looked at.
TEST_CASE("two parts that crash upstreams at the same time are both quarantined", "[quarantine]") {
    entry node;
    std::size_t started = 0;
    int number = 0;
    for (int now = 100; now < 3000 && started < 2; now += 80) {
        const std::string fatal = now / 80 % 2 == 0 ? "first" : "second";
        if (node.judge({fatal}, now - 40) == verdict::allowed) {
            ++number;
            node.crash("i-" + std::to_string(number), now,
                       {{"r" + std::to_string(number), {fatal}}});
        }
        started += node.decide(now);
    }
    CHECK(started == 2);
    CHECK(number <= 8);
}

// Guards against quarantining a sound part that requests share all the time, as upstreams are lost
// for other reasons.
TEST_CASE("upstreams lost at the same moment are no evidence against prompt parts",
          "[quarantine]") {
    entry node;
    int number = 0;
    for (int round = 0; round < 4; ++round) {
        const int now = 1000 + 3000 * round;
        for (int each = 0; each < 5; ++each) {
            ++number;
            node.crash("i-" + std::to_string(number), now + 10 * each,
                       {{"r" + std::to_string(number), {"rare"}}});
        }
        CHECK(node.decide(now + 500) == 0);
    }
    CHECK(node.judge({"rare"}, 15000) != verdict::quarantined);
}

// Guards against refusing every request with a part that all prompts share, since two engines that
// happened to run it were lost in a row.
TEST_CASE("a part that upstreams have survived is not quarantined for two crashes",
          "[quarantine]") {
    const int apart_ms = GENERATE(100, 400, 3000);
    CAPTURE(apart_ms);
    entry node;
    node.survive("common", 1000);
    auto lose = [&, number = 0]() mutable {
        ++number;
        const int now = 5000 + apart_ms * number;
        node.crash("i-" + std::to_string(number), now,
                   {{"r" + std::to_string(number), {"common", "b" + std::to_string(number)}}});
        return now;
    };
    lose();
    const int second = lose();
    CHECK(node.decide(second + 200) == 0);
    CHECK(node.judge({"common"}, second + 210) == verdict::allowed);

    SECTION("but for four without a response between them") {
        lose();
        const int fourth = lose();
        CHECK(node.decide(fourth + 200) == 1);
        CHECK(node.judge({"common"}, fourth + 210) == verdict::quarantined);
    }
    SECTION("a fatal part that is lost with it is quarantined as ever") {
        node.survive("common", 49'000);
        node.crash("j-1", 50'000, {{"q1", {"common", "fatal"}}});
        node.crash("j-2", 50'500, {{"q2", {"common", "fatal"}}});
        CHECK(node.decide(50'700) == 1);
        CHECK(node.judge({"fatal"}, 50'710) == verdict::quarantined);
        CHECK(node.judge({"common"}, 50'710) == verdict::allowed);
    }
    SECTION("nor is what survived too long ago for that") {
        const int late = 1000 + 601'000;
        node.crash("k-1", late, {{"s1", {"common"}}});
        node.crash("k-2", late + 500, {{"s2", {"common"}}});
        CHECK(node.decide(late + 700) == 1);
    }
}

// Guards against a quarantine that removes the only evidence that could end it: no request with the
// part is sent, so no response to it can survive.
TEST_CASE("a part that was quarantined for two crashes is tried once", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"new"}}});
    node.crash("i-2", 300, {{"r2", {"new"}}});
    REQUIRE(node.decide(460) == 1);
    CHECK(node.judge({"new"}, 470) == verdict::quarantined);
    const int pause_over = 460 + 2000;
    REQUIRE(node.judge({"new"}, pause_over) == verdict::trial);
    const quarantine::request_suspects tried{{}, {part("new").digest}};
    quarantine::begin_trial(node.state, tried, {"i-3"}, at(pause_over), rules);
    CHECK(node.judge({"new"}, pause_over + 10) == verdict::quarantined);

    SECTION("a response to it ends the quarantine") {
        node.survive("new", pause_over + 300);
        CHECK(node.judge({"new"}, pause_over + 310) == verdict::allowed);
    }
    SECTION("a third crash keeps it for the rest of its time") {
        node.crash("i-3", pause_over + 100, {{"r3", {"new"}}});
        quarantine::end_trial(node.state, tried);
        for (int now = pause_over + 110; now < 600'000; now += 10'000) {
            CHECK(node.judge({"new"}, now) == verdict::quarantined);
        }
    }
    SECTION("a trial without an outcome is repeated") {
        quarantine::end_trial(node.state, tried);
        CHECK(node.judge({"new"}, pause_over + 500) == verdict::trial);
    }
}

// Guards against a fatal part that crashes a third and a fourth upstream for the sake of trials.
TEST_CASE("a part that was in flight at three crashes is not tried", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {{"r1", {"fatal"}}});
    node.crash("i-2", 120, {{"r2", {"fatal"}}});
    node.crash("i-3", 400, {{"r3", {"fatal"}}});
    REQUIRE(node.decide(600) == 1);
    CHECK(node.judge({"fatal"}, 5000) == verdict::quarantined);
}

namespace {

// Three entries that send requests with one part in turn and learn of each other's crashes late.
struct three_entries {
    static constexpr int report_delay_ms = 30;
    static constexpr int crash_after_ms = 60;

    std::array<entry, 3> all;
    int crashes = 0;
    int sent = 0;

    three_entries() {
        for (std::size_t each = 0; each < this->all.size(); ++each) {
            this->all.at(each).state.trial_turn = each * rules.max_trial;
        }
    }

    // Sends a request with the part at the given time, if it is allowed, to an upstream that
    // crashes under it or survives it. Returns whether it was sent.
    bool send(std::size_t from, int now, bool fatal) {
        auto& sender = this->all.at(from);
        const auto verdict = sender.judge({"p"}, now);
        if (verdict == verdict::quarantined || verdict == verdict::deferred) {
            return false;
        }
        ++this->sent;
        if (verdict == verdict::trial) {
            quarantine::begin_trial(sender.state, {{}, {part("p").digest}}, {"t"}, at(now), rules);
        }
        const int ends = now + crash_after_ms;
        if (!fatal) {
            for (auto& each : this->all) {
                each.survive("p", ends + report_delay_ms);
            }
            return true;
        }
        ++this->crashes;
        const std::string number = std::to_string(this->crashes);
        for (std::size_t to = 0; to < this->all.size(); ++to) {
            this->all.at(to).crash("i-" + number, ends, {{"r" + number, {"p"}}});
        }
        return true;
    }

    void tick(int now) {
        for (auto& each : this->all) {
            each.decide(now);
            quarantine::expire(each.state, at(now), rules);
        }
    }
};

} // namespace

// Guards against a trial at each entry, each of which crashes one more upstream.
TEST_CASE("a fatal part crashes three upstreams over all entries", "[quarantine]") {
    const int pause_ms = GENERATE(200, 700, 2500);
    CAPTURE(pause_ms);
    three_entries fleet;
    for (int now = 100; now < 590'000; now += pause_ms) {
        fleet.tick(now);
        fleet.send(static_cast<std::size_t>(now / pause_ms) % 3, now, true);
    }
    CHECK(fleet.crashes == 3);
}

// Guards against a part that all requests share and that stays quarantined at entries that do not
// try it.
TEST_CASE("a sound part is served at all entries after the first trial", "[quarantine]") {
    three_entries fleet;
    CHECK(fleet.send(0, 100, true));
    CHECK(fleet.send(1, 500, true));
    fleet.tick(800);
    CHECK_FALSE(fleet.send(0, 900, false));
    CHECK_FALSE(fleet.send(2, 2900, false));
    CHECK(fleet.send(0, 2900, false));
    for (std::size_t each = 0; each < 3; ++each) {
        CHECK(fleet.send(each, 3200, false));
    }
}
