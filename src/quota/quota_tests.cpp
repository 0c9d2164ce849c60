#include "base/hash.h"
#include "quota/quota.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace camphorrail;
using base::milliseconds;

namespace {

const base::team_id north{"north"};

// The ledger of one entry, with times in milliseconds.
struct entry {
    quota::ledger state;
    quota::quota_rules rules;
    std::uint64_t draw_keys = 0;

    static base::instant at(int ms) { return base::instant(milliseconds(1000 + ms)); }

    void limit(double rate, double burst, int ms) {
        routes::team team;
        team.id = north;
        team.quota = {routes::quota_unit::tokens, rate, burst, 200};
        quota::set_limits(this->state, {team}, at(ms), this->rules);
    }

    quota::decision admit(std::int64_t cost, int ms) {
        return quota::admit(this->state, north, {cost}, base::stable_hash("r", ++this->draw_keys),
                            at(ms), this->rules);
    }

    // Sends the same request repeatedly and returns the admitted amount.
    std::int64_t request_repeatedly(std::int64_t cost, int from_ms, int to_ms, int every_ms) {
        std::int64_t admitted_cost = 0;
        for (int now = from_ms; now < to_ms; now += every_ms) {
            admitted_cost += this->admit(cost, now).admitted ? cost : 0;
        }
        return admitted_cost;
    }

    void receive_report(const std::string& from, int ms, std::int64_t used, std::int64_t checks,
                        int began_ms = 0) {
        this->receive_late_report(from, ms, ms, used, checks, began_ms);
    }

    // Receives at `ms` a report that was sent at `sent_ms` and waited unread.
    void receive_late_report(const std::string& from, int sent_ms, int ms, std::int64_t used,
                             std::int64_t checks, int began_ms = 0) {
        quota::apply_report(this->state,
                            {{from},
                             base::micros(0),
                             base::seconds(100) + milliseconds(sent_ms),
                             {{north, 1, milliseconds(sent_ms - began_ms), {used}, {checks}}}},
                            at(ms), this->rules);
    }
};

} // namespace

TEST_CASE("a team without a quota is admitted and has no account", "[quota]") {
    entry node;
    node.limit(0, 0, 0);
    CHECK(node.request_repeatedly(1'000'000, 0, 1000, 10) == 100'000'000);
    CHECK(node.state.teams.empty());
}

TEST_CASE("a single entry grants a team its rate and its burst", "[quota]") {
    entry node;
    node.limit(1000, 2000, 0);
    CHECK(node.request_repeatedly(50, 10'000, 11'000, 100) == 500);

    SECTION("and no more, whatever the demand") {
        const auto admitted_cost = node.request_repeatedly(50, 20'000, 30'000, 5);
        CHECK(admitted_cost <= 10 * 1000 + 2000 + 600);
        CHECK(admitted_cost >= 10 * 1000 + 2000 - 600);
    }
    SECTION("and gives rejected clients differing retry delays") {
        node.request_repeatedly(50, 20'000, 30'000, 5);
        std::set<std::int64_t> hints;
        for (int each = 0; each < 40; ++each) {
            const auto result = node.admit(50, 30'000 + each);
            if (!result.admitted) {
                hints.insert(result.retry_after.count());
                CHECK(result.retry_after > base::micros(0));
                CHECK(result.retry_after <= base::seconds(20));
            }
        }
        CHECK(hints.size() > 20);
    }
    SECTION("which is available again after an idle time") {
        node.request_repeatedly(50, 20'000, 30'000, 5);
        CHECK(node.request_repeatedly(50, 40'000, 40'100, 5) == 1000);
        CHECK(node.request_repeatedly(50, 40'100, 40'300, 5) <= 1000 + 300 + 500);
    }
}

// Guards against an entry that grants a whole burst just after its start although other entries
// have granted it already.
TEST_CASE("a process that has just started has an empty bucket", "[quota]") {
    entry node;
    node.limit(1000, 5000, 0);
    CHECK(node.request_repeatedly(50, 3000, 4000, 5) <= 3000 + 1000 + 600);
}

// Guards against entries that start at the same time and each use the whole limit, since the
// platform's list does not name the others yet.
TEST_CASE("an entry uses a small share until the list of entries is reliable", "[quota]") {
    entry node;
    node.limit(64'000, 64'000, 0);
    CHECK(node.admit(50, 10).share <= 1.0 / 32);

    SECTION("unless it hears from an entry that has been running") {
        node.receive_report("entry-2", 20, 0, 0);
        CHECK(node.admit(50, 60).share > 0.9);
    }
    SECTION("until it has been listed for longer than the list delay") {
        quota::set_entries(node.state, {{{"entry-2"}, {"entry-3"}}, true}, entry::at(20),
                           node.rules);
        CHECK(node.admit(50, 60).share <= 1.0 / 32);
        CHECK(node.admit(50, 200).share == Approx(1.0 / 3));
    }
    SECTION("until the settling time has passed") {
        CHECK(node.admit(50, 10'100).share == 1.0);
    }
}

TEST_CASE("usage admitted by other entries counts", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    quota::set_entries(node.state, {{{"entry-2"}}, true}, entry::at(0), node.rules);
    for (int now = 0; now <= 10'000; now += 100) {
        node.receive_report("entry-2", now, now, now);
    }
    CHECK(node.request_repeatedly(10, 10'000, 10'100, 1) < 1000);

    SECTION("once, however often it is reported") {
        const auto before = node.admit(10, 10'100).balance;
        node.receive_report("entry-2", 10'101, 10'000, 10'000);
        node.receive_report("entry-2", 10'102, 10'000, 10'000);
        CHECK(node.admit(10, 10'103).balance > before - 50);
    }
    SECTION("and refunded usage is available again") {
        const auto before = node.admit(1, 10'100).balance;
        node.receive_report("entry-2", 10'101, 9'000, 10'000);
        CHECK(node.admit(1, 10'102).balance > before + 900);
    }
    SECTION("also after a restart with a new count") {
        const auto before = node.admit(1, 11'100).balance;
        quota::apply_report(
            node.state,
            {{"entry-2"}, {}, base::seconds(1), {{north, 7, milliseconds(500), {600}, {600}}}},
            entry::at(11'101), node.rules);
        const auto after = node.admit(1, 11'102).balance;
        CHECK(after < before - 500);
        CHECK(after > before - 700);
    }
}

// Guards against entries that miss the first usage admitted by an entry that started before them,
// and grant it once more.
TEST_CASE("the whole first count of an entry is new to entries that are already running",
          "[quota]") {
    entry reporter;
    entry receiver;
    reporter.limit(1000, 1000, 0);
    receiver.limit(1000, 1000, 5);
    const auto send_report = [&](int ms) {
        quota::apply_report(receiver.state,
                            {{"entry-2"},
                             base::micros(0),
                             milliseconds(ms),
                             quota::collect_counts(reporter.state, entry::at(ms), reporter.rules)},
                            entry::at(ms), receiver.rules);
    };
    send_report(11'000);
    const auto before = receiver.admit(1, 11'000).balance;
    CHECK(reporter.request_repeatedly(100, 11'000, 11'009, 1) == 900);
    send_report(11'010);
    CHECK(receiver.admit(1, 11'010).balance < before - 800);

    SECTION("also when a new count starts after an idle time") {
        send_report(60'000);
        const auto rested = receiver.admit(1, 60'000).balance;
        CHECK(reporter.request_repeatedly(100, 60'000, 60'009, 1) == 900);
        send_report(60'010);
        CHECK(receiver.admit(1, 60'010).balance < rested - 800);
    }
}

// Guards against granting the share of a partitioned entry that still serves clients.
TEST_CASE("a share of the limit is reserved for a silent entry", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    quota::set_entries(node.state, {{{"entry-2"}, {"entry-3"}}, true}, entry::at(0), node.rules);

    SECTION("an equal share if it never reported") {
        CHECK(node.admit(10, 10'000).share == Approx(1.0 / 3));
    }
    SECTION("in proportion to its last part of the demand") {
        for (int now = 0; now <= 5000; now += 50) {
            node.receive_report("entry-2", now, now, now);
            node.receive_report("entry-3", now, 0, 0);
            node.admit(10, now);
        }
        CHECK(node.admit(10, 5010).share == 1.0);
        for (int now = 5050; now <= 6000; now += 50) {
            node.receive_report("entry-3", now, 0, 0);
        }
        const double left = node.admit(10, 6000).share;
        CHECK(left < 0.3);
        CHECK(left > 0.1);
        CHECK(quota::silence_changes(node.state, entry::at(6000), node.rules).back().silent);

        SECTION("until it reports again") {
            node.receive_report("entry-2", 6100, 6000, 6000);
            CHECK(node.admit(10, 6150).share == 1.0);
        }
        SECTION("or it has been unlisted for so long that it serves no clients") {
            quota::set_entries(node.state, {{{"entry-3"}}, true}, entry::at(6200), node.rules);
            CHECK(node.admit(10, 6200).share < 0.3);
            for (int now = 6200; now <= 13'000; now += 50) {
                node.receive_report("entry-3", now, 0, 0);
            }
            quota::set_entries(node.state, {{{"entry-3"}}, true}, entry::at(13'000), node.rules);
            CHECK(node.admit(10, 13'000).share == 1.0);
        }
    }
}

// Guards against a process that resumes after a pause and admits all waiting requests on its
// outdated state.
TEST_CASE("an entry that resumes treats the others as silent before it admits requests",
          "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    for (int now = 0; now <= 5000; now += 50) {
        node.receive_report("entry-2", now, now, now);
        node.admit(1, now);
    }
    CHECK(node.request_repeatedly(50, 12'000, 12'050, 1) <= 450);
}

// Guards against dating reports by the time at which they are read: usage reserved meanwhile for a
// partitioned entry would be granted here as well.
TEST_CASE("reports that waited unread are not evidence of the present", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    quota::set_entries(node.state, {{{"entry-2"}}, true}, entry::at(0), node.rules);
    for (int now = 0; now <= 5000; now += 50) {
        node.receive_report("entry-2", now, now, now);
        node.admit(1, now);
    }

    SECTION("they do not make an entry reachable") {
        for (int reported = 5050; reported <= 6000; reported += 50) {
            node.receive_late_report("entry-2", reported, 12'000, reported, reported);
        }
        CHECK(node.admit(1, 12'000).share < 0.5);
        CHECK(quota::silence_changes(node.state, entry::at(12'000), node.rules).back().silent);

        SECTION("until newer reports arrive") {
            node.receive_report("entry-2", 12'050, 12'050, 12'050);
            CHECK(node.admit(1, 12'100).share == 1.0);
        }
    }
    SECTION("older reports that arrive after newer ones change no count") {
        const double before = node.admit(1, 5010).balance;
        node.receive_late_report("entry-2", 4000, 5010, 4000, 4000);
        CHECK(node.admit(1, 5010).balance <= before);
        CHECK(node.admit(1, 5010).demand >= 900);
    }
    SECTION("reports of an earlier incarnation leave the present one reachable") {
        quota::apply_report(node.state, {{"entry-2"}, {}, milliseconds(300), {}}, entry::at(7000),
                            node.rules);
        node.receive_late_report("entry-2", 5050, 7010, 5050, 5050);
        for (int now = 7050; now <= 9000; now += 50) {
            quota::apply_report(node.state, {{"entry-2"}, {}, milliseconds(now - 6700), {}},
                                entry::at(now), node.rules);
        }
        CHECK(node.admit(1, 9000).share == 1.0);
    }
}

// Guards against entries that treat each other as silent forever because their clocks drift or stop
// with their VM.
TEST_CASE("an entry stays reachable whatever its clock does", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    quota::set_entries(node.state, {{{"entry-2"}}, true}, entry::at(0), node.rules);
    const auto receive_from = [&node](int uptime_ms, int ms) {
        quota::apply_report(node.state, {{"entry-2"}, {}, milliseconds(uptime_ms), {}},
                            entry::at(ms), node.rules);
    };

    SECTION("its clock runs slow") {
        constexpr int hour_ms = 3'600'000;
        int reachable_checks = 0;
        int checks = 0;
        for (int now = 0; now <= hour_ms; now += 100) {
            receive_from(now - now / 2000, now);
            reachable_checks += now > 1000 && node.admit(1, now).share == 1.0 ? 1 : 0;
            checks += now > 1000 ? 1 : 0;
        }
        CHECK(reachable_checks == checks);
    }
    SECTION("its clock stopped with its VM") {
        for (int now = 0; now <= 60'000; now += 100) {
            receive_from(now, now);
        }
        for (int now = 65'000; now <= 95'000; now += 100) {
            receive_from(now - 5000, now);
        }
        CHECK(node.admit(1, 95'000).share == 1.0);
    }
    SECTION("it restarted, also after a short run") {
        const int first_run_ms = GENERATE(400, 3000, 60'000);
        for (int now = 0; now <= first_run_ms; now += 100) {
            receive_from(now, now);
        }
        for (int now = first_run_ms + 800; now <= first_run_ms + 2000; now += 100) {
            receive_from(now - first_run_ms - 500, now);
        }
        CHECK(node.admit(1, first_run_ms + 2000).share == 1.0);
    }
}

TEST_CASE("a changed quota applies at once", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    CHECK(node.request_repeatedly(10, 10'000, 10'010, 5) == 20);

    SECTION("a lower quota") {
        node.limit(100, 100, 10'020);
        CHECK(node.request_repeatedly(10, 10'020, 14'020, 5) <= 4 * 100 + 100 + 100);
    }
    SECTION("a higher quota, with its burst") {
        node.request_repeatedly(50, 10'020, 14'000, 5);
        node.limit(4000, 4000, 14'000);
        CHECK(node.request_repeatedly(50, 14'000, 15'000, 5) >= 5500);
    }
    SECTION("several changes in a row") {
        node.limit(100, 100, 10'020);
        node.limit(5000, 5000, 10'030);
        node.limit(200, 200, 10'040);
        CHECK(node.request_repeatedly(10, 10'050, 14'050, 5) <= 4 * 200 + 200 + 200);
    }
    SECTION("and a removed quota leaves no account") {
        node.limit(0, 0, 10'020);
        CHECK(node.state.teams.empty());
        CHECK(node.admit(1'000'000, 10'030).admitted);
    }
}

// Guards against a single request with a huge claimed cost that causes all others of its team to be
// rejected.
TEST_CASE("a request larger than its team's quota is rejected and not counted", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    const auto refused = node.admit(std::int64_t{1} << 41, 10'000);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retry_after >= base::minutes(1));
    CHECK(node.admit(100, 10'001).admitted);
}

TEST_CASE("the charge of requests that did not run is refunded", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    const double before = node.admit(100, 10'000).balance;
    quota::adjust_charge(node.state, north, {100}, {0}, entry::at(10'000));
    CHECK(node.admit(100, 10'000).balance == Approx(before));
    quota::adjust_charge(node.state, north, {100}, {200}, entry::at(10'000));
    CHECK(node.admit(1, 10'000).balance == Approx(before - 200));
}

// Guards against starving the large requests of a team over its quota, because many small ones take
// all the available units.
TEST_CASE("large and small requests of a team over its quota are admitted at the same rate",
          "[quota]") {
    entry node;
    node.limit(20'000, 20'000, 0);
    int small = 0;
    int large = 0;
    int rounds = 0;
    for (int now = 10'000; now < 70'000; now += 20) {
        ++rounds;
        small += node.admit(400, now).admitted ? 1 : 0;
        large += node.admit(900, now + 1).admitted ? 1 : 0;
    }
    const double small_part = static_cast<double>(small) / rounds;
    const double large_part = static_cast<double>(large) / rounds;
    CHECK(small_part < 0.5);
    CHECK(large_part == Approx(small_part).epsilon(0.15));
}

TEST_CASE("counts are reported when they have changed by enough to matter", "[quota]") {
    entry node;
    node.limit(1000, 1000, 0);
    const auto reported = [&node](int ms) {
        return quota::collect_counts(node.state, entry::at(ms), node.rules).size();
    };
    CHECK(reported(0) == 0);
    node.admit(600, 10'000);
    CHECK(reported(10'010) == 1);
    CHECK(reported(10'020) == 0);

    SECTION("or after a delay, however small the change") {
        node.admit(1, 10'030);
        CHECK(reported(10'040) == 0);
        CHECK(reported(10'600) == 1);
    }
    SECTION("and repeated at intervals, in case a report was lost") {
        CHECK(reported(12'500) == 1);
    }
    SECTION("and restarted after a long idle time, so that old counts can be dropped") {
        node.receive_report("entry-2", 10'000, 5, 5);
        reported(90'000);
        CHECK(reported(92'500) == 0);
        CHECK(node.state.teams.at(north).remote_counts.empty());
    }
}
