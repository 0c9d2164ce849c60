#include "base/random.h"
#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using base::milliseconds;
using quarantine::verdict;

namespace {

const quarantine::quarantine_rules rules;

quarantine::request_identity request_named(const std::string& name) {
    return quarantine::identify({"/desk", "north", name});
}

// The quarantine state of one entry, with times in milliseconds.
struct entry {
    quarantine::quarantine state;

    static base::instant at(int ms) { return base::instant(milliseconds(ms)); }

    void crash(const std::string& upstream, int ms, std::vector<quarantine::crash_victim> victims) {
        quarantine::record_crash(this->state, {{{upstream}, {}}, at(ms), std::move(victims)},
                                 at(ms), rules);
    }

    static quarantine::crash_victim victim(const std::string& name, int sent_ms) {
        return {request_named(name), at(sent_ms), {}};
    }

    [[nodiscard]] verdict judge(const std::string& name, int ms) const {
        return quarantine::evaluate(this->state, request_named(name).digest, at(ms), rules).what;
    }

    std::size_t decide(int ms) {
        return quarantine::decide_quarantines(this->state, at(ms), rules).size();
    }
};

} // namespace

TEST_CASE("a request under which two upstreams crash in turn is quarantined", "[quarantine]") {
    entry node;
    CHECK(node.judge("fatal", 0) == verdict::allowed);
    node.crash("i-1", 100, {entry::victim("fatal", 50), entry::victim("bystander", 20)});
    CHECK(node.judge("fatal", 110) == verdict::trial);
    CHECK(node.judge("stranger", 110) == verdict::allowed);
    node.crash("i-2", 300, {entry::victim("fatal", 200)});

    SECTION("once the reports of other entries have arrived") {
        CHECK(node.judge("fatal", 310) == verdict::deferred);
        CHECK(node.decide(400) == 0);
        CHECK(node.decide(460) == 1);
        CHECK(node.judge("fatal", 470) == verdict::quarantined);
        CHECK(node.judge("bystander", 470) == verdict::trial);
    }
    SECTION("which is returned once, with its duration") {
        const auto started = quarantine::decide_quarantines(node.state, entry::at(500), rules);
        REQUIRE(started.size() == 1);
        CHECK(started[0].span == rules.initial_duration);
        CHECK(started[0].crashes == 2);
        CHECK(node.decide(600) == 0);
        CHECK(quarantine::quarantined_requests(node.state, entry::at(600)).size() == 1);
    }
    SECTION("for twice as long if it crashes an upstream again afterwards") {
        node.decide(500);
        const int over = 500 + 600000;
        quarantine::expire(node.state, entry::at(over), rules);
        CHECK(node.judge("fatal", over) == verdict::trial);
        node.crash("i-3", over + 100, {entry::victim("fatal", over + 50)});
        const auto retried =
            quarantine::decide_quarantines(node.state, entry::at(over + 300), rules);
        REQUIRE(retried.size() == 1);
        CHECK(retried[0].span == 2 * rules.initial_duration);
    }
}

TEST_CASE("a complete response clears the suspicion", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {entry::victim("r", 50)});
    quarantine::clear_suspicion(node.state, request_named("r").digest, entry::at(150));
    CHECK(node.judge("r", 160) == verdict::allowed);
    node.crash("i-2", 300, {entry::victim("r", 200)});
    CHECK(node.decide(600) == 0);
}

// Guards against refusing a popular request for ten minutes, since two upstreams that happened to
// run it were lost in a row.
TEST_CASE("a request that upstreams have completed is not quarantined for two crashes",
          "[quarantine]") {
    entry node;
    const auto lose = [&node](const std::string& upstream, int ms) {
        quarantine::crash_report report{{{upstream}, {}}, entry::at(ms), {}};
        report.victims = {entry::victim("popular", ms - 40), entry::victim("once", ms - 40)};
        report.survived = {request_named("popular").digest};
        quarantine::record_crash(node.state, report, entry::at(ms), rules);
    };
    lose("i-1", 100);
    lose("i-2", 700);
    CHECK(node.decide(900) == 1);
    CHECK(node.judge("popular", 910) == verdict::trial);
    CHECK(node.judge("once", 910) == verdict::quarantined);
}

TEST_CASE("completed requests are remembered for a while", "[quarantine]") {
    quarantine::quarantine state;
    const auto fingerprint = quarantine::make_fingerprint({"/desk", "north", "popular"});
    CHECK_FALSE(quarantine::has_completed(state, fingerprint, entry::at(10), rules));
    quarantine::record_completion(state, fingerprint, entry::at(10), rules);
    CHECK(quarantine::has_completed(state, fingerprint, entry::at(600'000), rules));
    CHECK_FALSE(quarantine::has_completed(state, fingerprint, entry::at(600'020), rules));
    CHECK_FALSE(quarantine::has_completed(
        state, quarantine::make_fingerprint({"/des", "knorth", "popular"}), entry::at(10), rules));
    for (std::uint64_t other = 0; other < 5000; ++other) {
        quarantine::record_completion(state, {other}, entry::at(20), rules);
    }
    CHECK(state.completions.recent.size() + state.completions.older.size() <=
          2 * rules.max_survivals);
}

// Guards against quarantining a harmless request together with a fatal one because both were in
// flight at the same two crashes.
TEST_CASE("of two requests in flight at both crashes neither is quarantined before they ran apart",
          "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {entry::victim("fatal", 50), entry::victim("harmless", 50)});
    node.crash("i-2", 300, {entry::victim("fatal", 200)});
    // Another entry reports its own request on the same upstream.
    node.crash("i-2", 340, {entry::victim("harmless", 200)});
    CHECK(node.decide(600) == 0);
    CHECK(node.judge("harmless", 600) == verdict::trial);

    SECTION("until one of them crashes a third upstream alone") {
        node.crash("i-3", 700, {entry::victim("fatal", 650)});
        CHECK(node.decide(900) == 1);
        CHECK(node.judge("fatal", 900) == verdict::quarantined);
        CHECK(node.judge("harmless", 900) == verdict::trial);
    }
    SECTION("or the other one completes") {
        quarantine::clear_suspicion(node.state, request_named("harmless").digest, entry::at(650));
        CHECK(node.decide(660) == 1);
    }
}

// Guards against quarantining a harmless request that clients send all the time, because upstreams
// crash for other reasons, several at once and repeatedly.
TEST_CASE("simultaneous crashes of many upstreams are no evidence against a request",
          "[quarantine]") {
    entry node;
    for (int round = 0; round < 4; ++round) {
        const int now = 3000 * round;
        for (int each = 0; each < 5; ++each) {
            std::vector<quarantine::crash_victim> victims{
                entry::victim("bystander-" + std::to_string(each), now - 30)};
            if (each == round) {
                victims.push_back(entry::victim("popular", now - 20));
            }
            const std::string upstream = "i-" + std::to_string(10 * round + each);
            node.crash(upstream, now + 20 * each, victims);
        }
        CHECK(node.decide(now + 500) == 0);
        CHECK(node.judge("popular", now + 500) == verdict::trial);
    }
}

TEST_CASE("copies that were in flight together count once", "[quarantine]") {
    entry node;
    for (int each = 0; each < 5; ++each) {
        node.crash("i-" + std::to_string(each), 100 + 40 * each, {entry::victim("r", 90)});
    }
    CHECK(node.decide(1000) == 0);
    CHECK(node.judge("r", 1000) == verdict::trial);
}

TEST_CASE("a crash late in a response counts less", "[quarantine]") {
    entry node;
    const auto streaming = [](int sent_ms) {
        return quarantine::crash_victim{request_named("long"), entry::at(sent_ms),
                                        entry::at(sent_ms + 50)};
    };
    node.crash("i-1", 2000, {streaming(100)});
    node.crash("i-2", 6000, {streaming(3000)});
    CHECK(node.decide(7000) == 0);
    node.crash("i-3", 10000, {streaming(7000)});
    node.crash("i-4", 14000, {streaming(11000)});
    CHECK(node.decide(15000) == 1);
}

TEST_CASE("only one copy of a suspect is on trial at a time", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {entry::victim("r", 50)});
    const auto digest = request_named("r").digest;
    quarantine::begin_trial(node.state, digest, {"i-2"}, entry::at(200), rules);
    CHECK(node.judge("r", 210) == verdict::deferred);
    CHECK(quarantine::upstreams_with_trials(node.state, entry::at(210)) ==
          std::vector<base::upstream_id>{{"i-2"}});

    SECTION("until its attempt has ended") {
        quarantine::end_trial(node.state, digest);
        CHECK(node.judge("r", 220) == verdict::trial);
    }
    SECTION("or the trial has timed out") {
        CHECK(node.judge("r", 2300) == verdict::trial);
    }
}

TEST_CASE("a request quarantined by another entry is quarantined here as well", "[quarantine]") {
    entry node;
    quarantine::impose(node.state, request_named("r"), base::seconds(60), entry::at(0), rules);
    CHECK(node.judge("r", 10) == verdict::quarantined);
    CHECK(quarantine::may_be_suspect(node.state, 1));
    CHECK_FALSE(quarantine::may_be_suspect(node.state, 2));

    SECTION("a notice with an earlier end does not shorten it") {
        quarantine::impose(node.state, request_named("r"), base::seconds(1), entry::at(10), rules);
        CHECK(node.judge("r", 30000) == verdict::quarantined);
    }
    SECTION("nor does a complete response to a copy in flight") {
        quarantine::clear_suspicion(node.state, request_named("r").digest, entry::at(10));
        CHECK(node.judge("r", 20) == verdict::quarantined);
    }
    SECTION("and no notice extends it beyond the maximum") {
        quarantine::impose(node.state, request_named("r"), base::minutes(1000000), entry::at(20),
                           rules);
        const auto left =
            quarantine::evaluate(node.state, request_named("r").digest, entry::at(20), rules)
                .retry_after;
        CHECK(left <= rules.max_duration);
    }
}

// Guards against a client that sends many different requests, each of which crashes an upstream,
// until memory is exhausted or a quarantined request is forgotten.
TEST_CASE("the number of suspects is bounded and quarantined requests are kept", "[quarantine]") {
    entry node;
    quarantine::impose(node.state, request_named("held"), base::seconds(60), entry::at(0), rules);
    for (int each = 0; each < 5000; ++each) {
        const std::string name = std::to_string(each);
        node.crash("i-" + name, each, {entry::victim("r-" + name, each - 1)});
    }
    CHECK(node.state.suspects.size() <= rules.max_suspects);
    CHECK(node.state.crashes.size() <= rules.max_crashes);
    CHECK(node.judge("held", 5000) == verdict::quarantined);

    SECTION("and all state expires") {
        quarantine::expire(node.state, entry::at(4000000), rules);
        quarantine::expire(node.state, entry::at(9000000), rules);
        CHECK(node.state.suspects.empty());
        CHECK(node.state.crashes.empty());
    }
}

namespace {

// Three entries in front of eighteen engines. Two fatal requests are sent repeatedly among harmless
// ones, which are lost with the engines and retried. The entries receive each other's crash reports
// late.
struct crash_simulation {
    explicit crash_simulation(std::uint64_t seed) : random{seed} {}

    static constexpr int engines = 18;
    static constexpr int report_delay_ms = 30;
    static constexpr int runs_ms = 400;
    static constexpr int crash_after_ms = 60;

    struct run {
        std::string name;
        std::size_t entry = 0;
        int sent_ms = 0;
        int ends_ms = 0;
        bool fatal = false;
        bool trial = false;
    };
    struct pending_report {
        int at_ms = 0;
        std::size_t entry = 0;
        quarantine::crash_report report;
    };

    base::random_source random;
    std::array<entry, 3> entries;
    std::array<std::vector<run>, engines> running;
    std::array<int, engines> starts{};
    std::vector<pending_report> pending_reports;
    int crashes = 0;
    int harmless = 0;
    int harmless_rejected = 0;

    void submit(const std::string& name, int now, bool fatal) {
        const std::size_t at = base::random_below(this->random, this->entries.size());
        auto& node = this->entries.at(at);
        const auto verdict = node.judge(name, now);
        this->harmless += fatal ? 0 : 1;
        if (verdict == verdict::quarantined || verdict == verdict::deferred) {
            this->harmless_rejected += fatal ? 0 : 1;
            return;
        }
        const bool trial = verdict == verdict::trial;
        const std::size_t engine =
            trial ? this->least_busy() : base::random_below(this->random, engines);
        const int span = fatal ? crash_after_ms : runs_ms;
        this->running.at(engine).push_back({name, at, now, now + span, fatal, trial});
        if (trial) {
            quarantine::begin_trial(node.state, request_named(name).digest, {"e"}, entry::at(now),
                                    rules);
        }
    }

    std::size_t least_busy() {
        std::size_t best = base::random_below(this->random, engines);
        for (int draw = 0; draw < 6; ++draw) {
            const std::size_t other = base::random_below(this->random, engines);
            if (this->running.at(other).size() < this->running.at(best).size()) {
                best = other;
            }
        }
        return best;
    }

    void crash(std::size_t engine, int now) {
        ++this->crashes;
        const base::upstream_instance upstream{
            {"i-" + std::to_string(engine) + "-" + std::to_string(++this->starts.at(engine))}, {}};
        std::array<std::vector<quarantine::crash_victim>, 3> victims;
        std::vector<std::string> retried;
        for (const auto& each : this->running.at(engine)) {
            victims.at(each.entry).push_back(entry::victim(each.name, each.sent_ms));
            if (!each.fatal) {
                retried.push_back(each.name);
            }
            if (each.trial) {
                quarantine::end_trial(this->entries.at(each.entry).state,
                                      request_named(each.name).digest);
            }
        }
        this->running.at(engine).clear();
        for (std::size_t at = 0; at < this->entries.size(); ++at) {
            if (victims.at(at).empty()) {
                continue;
            }
            const quarantine::crash_report report{upstream, entry::at(now), victims.at(at)};
            quarantine::record_crash(this->entries.at(at).state, report, entry::at(now), rules);
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (to != at) {
                    this->pending_reports.push_back({now + report_delay_ms, to, report});
                }
            }
        }
        for (const auto& name : retried) {
            this->submit(name, now, false);
        }
    }

    void step(int now) {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            auto& all = this->running.at(engine);
            const bool fatal = std::any_of(all.begin(), all.end(), [now](const run& each) {
                return each.fatal && now >= each.ends_ms;
            });
            if (fatal) {
                this->crash(engine, now);
                continue;
            }
            for (const auto& each : all) {
                if (now >= each.ends_ms) {
                    quarantine::clear_suspicion(this->entries.at(each.entry).state,
                                                request_named(each.name).digest, entry::at(now));
                }
            }
            std::erase_if(all, [now](const run& each) { return now >= each.ends_ms; });
        }
        for (auto& each : this->pending_reports) {
            if (now >= each.at_ms) {
                quarantine::record_crash(this->entries.at(each.entry).state, each.report,
                                         entry::at(now), rules);
            }
        }
        std::erase_if(this->pending_reports,
                      [now](const pending_report& each) { return now >= each.at_ms; });
        if (now % 100 == 0) {
            for (auto& node : this->entries) {
                node.decide(now);
            }
        }
    }

    void simulate() {
        for (int now = 0; now < 20000; now += 5) {
            this->step(now);
            if (base::random_unit(this->random) < 0.8) {
                this->submit("harmless-" + std::to_string(now), now, false);
            }
            if (now % 200 == 0) {
                this->submit("fatal-a", now, true);
            }
            if (now % 700 == 0) {
                this->submit("fatal-b", now, true);
            }
        }
    }
};

} // namespace

// Guards against repeats of a fatal request that crash engine after engine, while harmless requests
// lose their responses or are rejected instead of the fatal one.
TEST_CASE("three entries tell a fatal request from the requests lost with it",
          "[quarantine][fleet]") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        crash_simulation simulation(seed);
        simulation.simulate();
        // Two requests, each quarantined after at most three sequential crashes; copies that are in
        // flight when that is decided may add further crashes.
        CHECK(simulation.crashes <= 2 * 6);
        CHECK(simulation.harmless > 3000);
        CHECK(simulation.harmless_rejected <= 5);
    }
}

namespace {

// Three entries in front of eight engines. One harmless request has nine copies in flight all the
// time. Five engines fail at the same moment, twice, and are replaced a while later. A lost copy is
// resent at once, before the entry has detected which other engines have failed.
struct rack_failure_simulation {
    explicit rack_failure_simulation(std::uint64_t seed) : random{seed} {}

    static constexpr int engines = 8;
    static constexpr int lost_at_once = 5;
    static constexpr int copies = 9;
    static constexpr int runs_ms = 600;
    static constexpr int report_delay_ms = 30;
    static constexpr int refuses_after_ms = 5;
    static constexpr int replaced_after_ms = 1500;
    static constexpr int first_loss_ms = 5000;
    static constexpr int second_loss_ms = 9000;
    static constexpr int end_ms = 14000;
    static constexpr int retry_after_ms = 300;

    struct copy {
        std::size_t entry = 0;
        std::size_t engine = 0;
        int sent_ms = 0;
        bool trial = false;
    };
    struct pending_report {
        int at_ms = 0;
        std::size_t entry = 0;
        quarantine::crash_report report;
    };

    base::random_source random;
    std::array<entry, 3> entries;
    std::array<int, engines> incarnations{};
    std::array<int, engines> down_until{};
    // Engines that the entry has detected as failed.
    std::array<std::set<std::size_t>, 3> known_down;
    std::vector<copy> running;
    std::vector<int> arrivals;
    std::vector<pending_report> pending_reports;
    int requests_after_loss = 0;
    int served_after_loss = 0;

    [[nodiscard]] bool is_down(std::size_t engine, int now) const {
        return now < this->down_until.at(engine);
    }

    [[nodiscard]] bool refuses(std::size_t engine, int now) const {
        return this->is_down(engine, now) &&
               now >= this->down_until.at(engine) - replaced_after_ms + refuses_after_ms;
    }

    void send(std::size_t at, int now) {
        auto& node = this->entries.at(at);
        const auto outcome = node.judge("popular", now);
        const bool refused = outcome == verdict::quarantined || outcome == verdict::deferred;
        this->requests_after_loss += now > second_loss_ms + 1000 ? 1 : 0;
        if (refused) {
            this->arrivals.push_back(now + retry_after_ms);
            return;
        }
        std::size_t engine = base::random_below(this->random, engines);
        while (this->known_down.at(at).count(engine) > 0 || this->refuses(engine, now)) {
            engine = base::random_below(this->random, engines);
        }
        const bool trial = outcome == verdict::trial;
        if (trial) {
            quarantine::begin_trial(node.state, request_named("popular").digest, {"e"},
                                    entry::at(now), rules);
        }
        this->running.push_back({at, engine, now, trial});
    }

    void handle_lost_copy(const copy& lost, int now) {
        auto& node = this->entries.at(lost.entry);
        this->known_down.at(lost.entry).insert(lost.engine);
        if (lost.trial) {
            quarantine::end_trial(node.state, request_named("popular").digest);
        }
        const base::upstream_instance upstream{{"i-" + std::to_string(lost.engine) + "-" +
                                                std::to_string(this->incarnations.at(lost.engine))},
                                               {}};
        const quarantine::crash_report report{
            upstream, entry::at(now), {entry::victim("popular", lost.sent_ms)}};
        quarantine::record_crash(node.state, report, entry::at(now), rules);
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
            if (to != lost.entry) {
                this->pending_reports.push_back({now + report_delay_ms, to, report});
            }
        }
        this->send(lost.entry, now);
    }

    void lose_engines(int now) {
        for (std::size_t engine = 0; engine < lost_at_once; ++engine) {
            this->down_until.at(engine) = now + replaced_after_ms;
        }
    }

    void restore_engines(int now) {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            if (this->down_until.at(engine) == now) {
                ++this->incarnations.at(engine);
                for (auto& each : this->known_down) {
                    each.erase(engine);
                }
            }
        }
    }

    void step(int now) {
        if (now == first_loss_ms || now == second_loss_ms) {
            this->lose_engines(now);
        }
        this->restore_engines(now);
        const auto before = std::exchange(this->running, {});
        for (const auto& each : before) {
            if (this->is_down(each.engine, now)) {
                this->handle_lost_copy(each, now);
            } else if (now >= each.sent_ms + runs_ms) {
                quarantine::clear_suspicion(this->entries.at(each.entry).state,
                                            request_named("popular").digest, entry::at(now));
                this->served_after_loss += now > second_loss_ms + 1000 ? 1 : 0;
                this->arrivals.push_back(now);
            } else {
                this->running.push_back(each);
            }
        }
        for (auto& each : this->pending_reports) {
            if (now >= each.at_ms) {
                quarantine::record_crash(this->entries.at(each.entry).state, each.report,
                                         entry::at(now), rules);
            }
        }
        std::erase_if(this->pending_reports,
                      [now](const pending_report& each) { return now >= each.at_ms; });
        const auto due = std::exchange(this->arrivals, {});
        for (const int at_ms : due) {
            if (now >= at_ms) {
                this->send(base::random_below(this->random, this->entries.size()), now);
            } else {
                this->arrivals.push_back(at_ms);
            }
        }
        if (now % 100 == 0) {
            for (auto& node : this->entries) {
                node.decide(now);
            }
        }
    }

    void simulate() {
        this->arrivals.assign(copies, 0);
        for (int now = 0; now < end_ms; ++now) {
            this->step(now);
        }
    }
};

} // namespace

// Guards against quarantining a popular harmless request on all entries after several engines
// failed at the same moment.
TEST_CASE("a popular request is served after many engines fail at the same moment",
          "[quarantine][fleet]") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        rack_failure_simulation simulation(seed);
        simulation.simulate();
        CHECK(simulation.requests_after_loss > 20);
        CHECK(simulation.served_after_loss >
              0.95 * simulation.requests_after_loss - rack_failure_simulation::copies);
        for (const auto& node : simulation.entries) {
            CHECK(node.judge("popular", rack_failure_simulation::end_ms) != verdict::quarantined);
        }
    }
}

TEST_CASE("a copy sent to an upstream that had already crashed is no evidence", "[quarantine]") {
    entry node;
    node.crash("i-1", 100, {entry::victim("r", 50)});
    // A late report of another entry shows that the upstream had crashed before the copy was sent.
    node.crash("i-2", 300, {entry::victim("r", 250)});
    node.crash("i-2", 200, {entry::victim("stranger", 20)});
    CHECK(node.decide(600) == 0);
    CHECK(node.judge("r", 600) == verdict::trial);
}
