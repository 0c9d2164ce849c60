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

// One entry's quarantine, with the time in milliseconds.
struct entry {
    quarantine::quarantine state;

    static base::instant at(int ms) { return base::instant(milliseconds(ms)); }

    void crash(const std::string& upstream, int ms, std::vector<quarantine::crash_victim> victims) {
        quarantine::note_crash(this->state, {{{upstream}, {}}, at(ms), std::move(victims)}, at(ms),
                               rules);
    }

    static quarantine::crash_victim victim(const std::string& name, int sent_ms) {
        return {request_named(name), at(sent_ms), {}};
    }

    [[nodiscard]] verdict judge(const std::string& name, int ms) const {
        return quarantine::judge(this->state, request_named(name).digest, at(ms), rules).what;
    }

    std::size_t decide(int ms) {
        return quarantine::take_decisions(this->state, at(ms), rules).size();
    }
};

} // namespace

TEST_CASE("a request under which two upstreams crash one after the other is held back",
          "[quarantine]") {
    entry one;
    CHECK(one.judge("fatal", 0) == verdict::free);
    one.crash("i-1", 100, {entry::victim("fatal", 50), entry::victim("bystander", 20)});
    CHECK(one.judge("fatal", 110) == verdict::trial);
    CHECK(one.judge("stranger", 110) == verdict::free);
    one.crash("i-2", 300, {entry::victim("fatal", 200)});

    SECTION("as soon as other entries have told of the crash") {
        CHECK(one.judge("fatal", 310) == verdict::wait);
        CHECK(one.decide(400) == 0);
        CHECK(one.decide(460) == 1);
        CHECK(one.judge("fatal", 470) == verdict::held);
        CHECK(one.judge("bystander", 470) == verdict::trial);
    }
    SECTION("which is said once, with how long it lasts") {
        const auto begun = quarantine::take_decisions(one.state, entry::at(500), rules);
        REQUIRE(begun.size() == 1);
        CHECK(begun[0].span == rules.first_hold);
        CHECK(begun[0].crashes == 2);
        CHECK(one.decide(600) == 0);
        CHECK(quarantine::held(one.state, entry::at(600)).size() == 1);
    }
    SECTION("for twice as long when it does so again after its time") {
        one.decide(500);
        const int over = 500 + 600000;
        quarantine::expire(one.state, entry::at(over), rules);
        CHECK(one.judge("fatal", over) == verdict::trial);
        one.crash("i-3", over + 100, {entry::victim("fatal", over + 50)});
        const auto again = quarantine::take_decisions(one.state, entry::at(over + 300), rules);
        REQUIRE(again.size() == 1);
        CHECK(again[0].span == 2 * rules.first_hold);
    }
}

TEST_CASE("a whole answer acquits", "[quarantine]") {
    entry one;
    one.crash("i-1", 100, {entry::victim("r", 50)});
    quarantine::acquit(one.state, request_named("r").digest, entry::at(150));
    CHECK(one.judge("r", 160) == verdict::free);
    one.crash("i-2", 300, {entry::victim("r", 200)});
    CHECK(one.decide(600) == 0);
}

// The failure: of two requests that died together twice, the harmless one is held back with the
// other.
TEST_CASE("of two that were at both crashes neither is held back before they have run apart",
          "[quarantine]") {
    entry one;
    one.crash("i-1", 100, {entry::victim("fatal", 50), entry::victim("harmless", 50)});
    one.crash("i-2", 300, {entry::victim("fatal", 200)});
    // Another entry tells of its own request on the same upstream.
    one.crash("i-2", 340, {entry::victim("harmless", 200)});
    CHECK(one.decide(600) == 0);
    CHECK(one.judge("harmless", 600) == verdict::trial);

    SECTION("since one of them crashes a third, alone") {
        one.crash("i-3", 700, {entry::victim("fatal", 650)});
        CHECK(one.decide(900) == 1);
        CHECK(one.judge("fatal", 900) == verdict::held);
        CHECK(one.judge("harmless", 900) == verdict::trial);
    }
    SECTION("or the other is answered") {
        quarantine::acquit(one.state, request_named("harmless").digest, entry::at(650));
        CHECK(one.decide(660) == 1);
    }
}

// The failure: upstreams crash by themselves, several at once and again and again, and a request
// that callers send all the while is held back for it.
TEST_CASE("crashes of many upstreams at once speak against no request", "[quarantine]") {
    entry one;
    for (int round = 0; round < 4; ++round) {
        const int now = 3000 * round;
        for (int each = 0; each < 5; ++each) {
            std::vector<quarantine::crash_victim> victims{
                entry::victim("bystander-" + std::to_string(each), now - 30)};
            if (each == round) {
                victims.push_back(entry::victim("popular", now - 20));
            }
            const std::string upstream = "i-" + std::to_string(10 * round + each);
            one.crash(upstream, now + 20 * each, victims);
        }
        CHECK(one.decide(now + 500) == 0);
        CHECK(one.judge("popular", now + 500) == verdict::trial);
    }
}

TEST_CASE("copies that were on their way together count once", "[quarantine]") {
    entry one;
    for (int each = 0; each < 5; ++each) {
        one.crash("i-" + std::to_string(each), 100 + 40 * each, {entry::victim("r", 90)});
    }
    CHECK(one.decide(1000) == 0);
    CHECK(one.judge("r", 1000) == verdict::trial);
}

TEST_CASE("a request that had run well for a while weighs less", "[quarantine]") {
    entry one;
    const auto streaming = [](int sent_ms) {
        return quarantine::crash_victim{request_named("long"), entry::at(sent_ms),
                                        entry::at(sent_ms + 50)};
    };
    one.crash("i-1", 2000, {streaming(100)});
    one.crash("i-2", 6000, {streaming(3000)});
    CHECK(one.decide(7000) == 0);
    one.crash("i-3", 10000, {streaming(7000)});
    one.crash("i-4", 14000, {streaming(11000)});
    CHECK(one.decide(15000) == 1);
}

TEST_CASE("a suspect is tried one copy at a time", "[quarantine]") {
    entry one;
    one.crash("i-1", 100, {entry::victim("r", 50)});
    const auto digest = request_named("r").digest;
    quarantine::begin_trial(one.state, digest, {"i-2"}, entry::at(200), rules);
    CHECK(one.judge("r", 210) == verdict::wait);
    CHECK(quarantine::trials_at(one.state, entry::at(210)) ==
          std::vector<base::upstream_id>{{"i-2"}});

    SECTION("until that one has ended") {
        quarantine::end_trial(one.state, digest);
        CHECK(one.judge("r", 220) == verdict::trial);
    }
    SECTION("or has taken long") {
        CHECK(one.judge("r", 2300) == verdict::trial);
    }
}

TEST_CASE("another entry's word holds a request back that never crashed anything here",
          "[quarantine]") {
    entry one;
    quarantine::hold_back(one.state, request_named("r"), base::seconds(60), entry::at(0), rules);
    CHECK(one.judge("r", 10) == verdict::held);
    CHECK(quarantine::may_be_suspect(one.state, 1));
    CHECK_FALSE(quarantine::may_be_suspect(one.state, 2));

    SECTION("an older word does not shorten it") {
        quarantine::hold_back(one.state, request_named("r"), base::seconds(1), entry::at(10),
                              rules);
        CHECK(one.judge("r", 30000) == verdict::held);
    }
    SECTION("nor a whole answer to a copy that was on its way") {
        quarantine::acquit(one.state, request_named("r").digest, entry::at(10));
        CHECK(one.judge("r", 20) == verdict::held);
    }
    SECTION("and no word holds it back for ever") {
        quarantine::hold_back(one.state, request_named("r"), base::minutes(1000000), entry::at(20),
                              rules);
        const auto left =
            quarantine::judge(one.state, request_named("r").digest, entry::at(20), rules).left;
        CHECK(left <= rules.longest_hold);
    }
}

// The failure: somebody sends many requests, each of which crashes an upstream, until the entry's
// memory is full, or until one that is held back is forgotten.
TEST_CASE("a flood of suspects takes bounded room, and those held back stay", "[quarantine]") {
    entry one;
    quarantine::hold_back(one.state, request_named("held"), base::seconds(60), entry::at(0), rules);
    for (int each = 0; each < 5000; ++each) {
        const std::string name = std::to_string(each);
        one.crash("i-" + name, each, {entry::victim("r-" + name, each - 1)});
    }
    CHECK(one.state.suspects.size() <= rules.most_suspects);
    CHECK(one.state.crashes.size() <= rules.most_crashes);
    CHECK(one.judge("held", 5000) == verdict::held);

    SECTION("and all of it is forgotten in time") {
        quarantine::expire(one.state, entry::at(4000000), rules);
        quarantine::expire(one.state, entry::at(9000000), rules);
        CHECK(one.state.suspects.empty());
        CHECK(one.state.crashes.empty());
    }
}

namespace {

// Three entries before eighteen engines: two fatal requests that come again and again, among
// others that die with the engines and come again, too. Entries hear of each other's crashes late.
struct fleet_day {
    explicit fleet_day(std::uint64_t seed) : random{seed} {}

    static constexpr int engines = 18;
    static constexpr int news_ms = 30;
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
    struct news {
        int at_ms = 0;
        std::size_t entry = 0;
        quarantine::crash_report report;
    };

    base::random_source random;
    std::array<entry, 3> entries;
    std::array<std::vector<run>, engines> running;
    std::array<int, engines> starts{};
    std::vector<news> on_its_way;
    int crashes = 0;
    int harmless = 0;
    int harmless_held = 0;

    void arrive(const std::string& name, int now, bool fatal) {
        const std::size_t at = base::random_below(this->random, this->entries.size());
        auto& one = this->entries.at(at);
        const auto verdict = one.judge(name, now);
        this->harmless += fatal ? 0 : 1;
        if (verdict == verdict::held || verdict == verdict::wait) {
            this->harmless_held += fatal ? 0 : 1;
            return;
        }
        const bool trial = verdict == verdict::trial;
        const std::size_t engine =
            trial ? this->least_busy() : base::random_below(this->random, engines);
        const int span = fatal ? crash_after_ms : runs_ms;
        this->running.at(engine).push_back({name, at, now, now + span, fatal, trial});
        if (trial) {
            quarantine::begin_trial(one.state, request_named(name).digest, {"e"}, entry::at(now),
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
        std::vector<std::string> again;
        for (const auto& each : this->running.at(engine)) {
            victims.at(each.entry).push_back(entry::victim(each.name, each.sent_ms));
            if (!each.fatal) {
                again.push_back(each.name);
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
            quarantine::note_crash(this->entries.at(at).state, report, entry::at(now), rules);
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (to != at) {
                    this->on_its_way.push_back({now + news_ms, to, report});
                }
            }
        }
        for (const auto& name : again) {
            this->arrive(name, now, false);
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
                    quarantine::acquit(this->entries.at(each.entry).state,
                                       request_named(each.name).digest, entry::at(now));
                }
            }
            std::erase_if(all, [now](const run& each) { return now >= each.ends_ms; });
        }
        for (auto& each : this->on_its_way) {
            if (now >= each.at_ms) {
                quarantine::note_crash(this->entries.at(each.entry).state, each.report,
                                       entry::at(now), rules);
            }
        }
        std::erase_if(this->on_its_way, [now](const news& each) { return now >= each.at_ms; });
        if (now % 100 == 0) {
            for (auto& one : this->entries) {
                one.decide(now);
            }
        }
    }

    void play() {
        for (int now = 0; now < 20000; now += 5) {
            this->step(now);
            if (base::random_unit(this->random) < 0.8) {
                this->arrive("harmless-" + std::to_string(now), now, false);
            }
            if (now % 200 == 0) {
                this->arrive("fatal-a", now, true);
            }
            if (now % 700 == 0) {
                this->arrive("fatal-b", now, true);
            }
        }
    }
};

} // namespace

// The failure: repeats of a fatal request crash engine after engine, and callers of others lose
// their answers, or are refused in its place.
TEST_CASE("over three entries a fatal request is found among those that die with it",
          "[quarantine][fleet]") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        fleet_day day(seed);
        day.play();
        // Two requests, each held back after three sequential crashes at the latest; copies that
        // are on their way already when it is decided may add to them.
        CHECK(day.crashes <= 2 * 6);
        CHECK(day.harmless > 3000);
        CHECK(day.harmless_held <= 5);
    }
}

namespace {

// Three entries before eight engines. One harmless request has nine copies under way all the time;
// five engines are lost in one moment, twice, and others take their places a while later. A copy
// that breaks goes on at once, before the entry knows which other engines are gone.
struct lost_rack_day {
    explicit lost_rack_day(std::uint64_t seed) : random{seed} {}

    static constexpr int engines = 8;
    static constexpr int lost_at_once = 5;
    static constexpr int copies = 9;
    static constexpr int runs_ms = 600;
    static constexpr int news_ms = 30;
    static constexpr int refuses_after_ms = 5;
    static constexpr int replaced_after_ms = 1500;
    static constexpr int first_loss_ms = 5000;
    static constexpr int second_loss_ms = 9000;
    static constexpr int end_ms = 14000;
    static constexpr int come_back_ms = 300;

    struct copy {
        std::size_t entry = 0;
        std::size_t engine = 0;
        int sent_ms = 0;
        bool trial = false;
    };
    struct news {
        int at_ms = 0;
        std::size_t entry = 0;
        quarantine::crash_report report;
    };

    base::random_source random;
    std::array<entry, 3> entries;
    std::array<int, engines> life{};
    std::array<int, engines> gone_until{};
    // Engines that an entry has found to be gone.
    std::array<std::set<std::size_t>, 3> known_gone;
    std::vector<copy> running;
    std::vector<int> arrivals;
    std::vector<news> on_its_way;
    int asked_afterwards = 0;
    int served_afterwards = 0;

    [[nodiscard]] bool is_gone(std::size_t engine, int now) const {
        return now < this->gone_until.at(engine);
    }

    [[nodiscard]] bool refuses(std::size_t engine, int now) const {
        return this->is_gone(engine, now) &&
               now >= this->gone_until.at(engine) - replaced_after_ms + refuses_after_ms;
    }

    void send(std::size_t at, int now) {
        auto& one = this->entries.at(at);
        const auto judged = one.judge("popular", now);
        const bool refused = judged == verdict::held || judged == verdict::wait;
        this->asked_afterwards += now > second_loss_ms + 1000 ? 1 : 0;
        if (refused) {
            this->arrivals.push_back(now + come_back_ms);
            return;
        }
        std::size_t engine = base::random_below(this->random, engines);
        while (this->known_gone.at(at).count(engine) > 0 || this->refuses(engine, now)) {
            engine = base::random_below(this->random, engines);
        }
        const bool trial = judged == verdict::trial;
        if (trial) {
            quarantine::begin_trial(one.state, request_named("popular").digest, {"e"},
                                    entry::at(now), rules);
        }
        this->running.push_back({at, engine, now, trial});
    }

    void broken(const copy& lost, int now) {
        auto& one = this->entries.at(lost.entry);
        this->known_gone.at(lost.entry).insert(lost.engine);
        if (lost.trial) {
            quarantine::end_trial(one.state, request_named("popular").digest);
        }
        const base::upstream_instance upstream{
            {"i-" + std::to_string(lost.engine) + "-" + std::to_string(this->life.at(lost.engine))},
            {}};
        const quarantine::crash_report report{
            upstream, entry::at(now), {entry::victim("popular", lost.sent_ms)}};
        quarantine::note_crash(one.state, report, entry::at(now), rules);
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
            if (to != lost.entry) {
                this->on_its_way.push_back({now + news_ms, to, report});
            }
        }
        this->send(lost.entry, now);
    }

    void lose_engines(int now) {
        for (std::size_t engine = 0; engine < lost_at_once; ++engine) {
            this->gone_until.at(engine) = now + replaced_after_ms;
        }
    }

    void take_back(int now) {
        for (std::size_t engine = 0; engine < engines; ++engine) {
            if (this->gone_until.at(engine) == now) {
                ++this->life.at(engine);
                for (auto& each : this->known_gone) {
                    each.erase(engine);
                }
            }
        }
    }

    void step(int now) {
        if (now == first_loss_ms || now == second_loss_ms) {
            this->lose_engines(now);
        }
        this->take_back(now);
        const auto before = std::exchange(this->running, {});
        for (const auto& each : before) {
            if (this->is_gone(each.engine, now)) {
                this->broken(each, now);
            } else if (now >= each.sent_ms + runs_ms) {
                quarantine::acquit(this->entries.at(each.entry).state,
                                   request_named("popular").digest, entry::at(now));
                this->served_afterwards += now > second_loss_ms + 1000 ? 1 : 0;
                this->arrivals.push_back(now);
            } else {
                this->running.push_back(each);
            }
        }
        for (auto& each : this->on_its_way) {
            if (now >= each.at_ms) {
                quarantine::note_crash(this->entries.at(each.entry).state, each.report,
                                       entry::at(now), rules);
            }
        }
        std::erase_if(this->on_its_way, [now](const news& each) { return now >= each.at_ms; });
        const auto due = std::exchange(this->arrivals, {});
        for (const int at_ms : due) {
            if (now >= at_ms) {
                this->send(base::random_below(this->random, this->entries.size()), now);
            } else {
                this->arrivals.push_back(at_ms);
            }
        }
        if (now % 100 == 0) {
            for (auto& one : this->entries) {
                one.decide(now);
            }
        }
    }

    void play() {
        this->arrivals.assign(copies, 0);
        for (int now = 0; now < end_ms; ++now) {
            this->step(now);
        }
    }
};

} // namespace

// The failure: a harmless request that is popular is held back on all entries after several engines
// were lost in the same moment.
TEST_CASE("a popular request is served after a loss of many engines in one moment",
          "[quarantine][fleet]") {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        CAPTURE(seed);
        lost_rack_day day(seed);
        day.play();
        CHECK(day.asked_afterwards > 20);
        CHECK(day.served_afterwards > 0.95 * day.asked_afterwards - lost_rack_day::copies);
        for (const auto& one : day.entries) {
            CHECK(one.judge("popular", lost_rack_day::end_ms) != verdict::held);
        }
    }
}

TEST_CASE("a copy proves nothing of an upstream that was lost before it was sent", "[quarantine]") {
    entry one;
    one.crash("i-1", 100, {entry::victim("r", 50)});
    // Another entry's word comes late: that upstream had been lost all along.
    one.crash("i-2", 300, {entry::victim("r", 250)});
    one.crash("i-2", 200, {entry::victim("stranger", 20)});
    CHECK(one.decide(600) == 0);
    CHECK(one.judge("r", 600) == verdict::trial);
}
