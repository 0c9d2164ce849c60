#include "base/hash.h"
#include "base/random.h"
#include "quota/quota.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using base::milliseconds;

namespace {

const base::team_id busy{"busy"};
const base::team_id calm{"calm"};

constexpr int step_ms = 10;
constexpr int report_period_ms = 50;
constexpr int window_ms = 8000;
// A reduced limit must hold in every window that begins this long after the change.
constexpr int config_ms = 3000;
constexpr double excess = 0.1;

// Entries that report usage to each other over links that are delayed or stall, with entries that
// are partitioned, paused, restarted, added and removed, and clients of two teams whose demand
// differs between entries and changes over time. The seed determines the whole run.
struct quota_simulation {
    struct node {
        quota::ledger state;
        base::entry_id id;
        int started_ms = 0;
        int paused_until = 0;
        int down_until = 0;
        int partitioned_until = 0;
        // The platform lists the entry from this time on.
        int listed_from = -100'000;
        // Relative part of the clients that connect to this entry.
        double weight = 1.0;
        // Times at which this entry's configuration is replaced.
        std::vector<std::pair<int, double>> limits;
    };
    struct message {
        int at_ms = 0;
        std::size_t to = 0;
        quota::usage_report report;
    };
    // A request that reached an engine.
    struct run {
        int at_ms = 0;
        std::int64_t cost = 0;
    };

    base::random_source random;
    quota::quota_rules rules;
    std::vector<node> nodes;
    std::vector<message> pending_messages;
    std::map<std::pair<std::size_t, std::size_t>, int> link_stalled_until;
    std::map<base::team_id, std::vector<run>> runs;
    std::map<base::team_id, std::vector<std::pair<int, double>>> limits;
    std::map<base::team_id, double> demand;
    std::int64_t request_size = 0;
    bool faults = true;
    std::uint64_t requests = 0;
    std::int64_t requested = 0;
    std::int64_t admitted = 0;
    std::int64_t refused_calm = 0;
    std::int64_t requested_calm = 0;

    // `slack` is a fraction of the rate.
    quota_simulation(std::uint64_t seed, std::size_t entries, double rate, double slack = 1.0)
        : random{seed} {
        this->rules.window_tolerance = {milliseconds(window_ms), excess, rate * slack};
        this->request_size = static_cast<std::int64_t>(rate / 60);
        this->nodes.resize(entries);
        for (std::size_t each = 0; each < entries; ++each) {
            this->nodes[each].id = {"entry-" + std::to_string(each)};
            this->nodes[each].weight = 0.2 + base::random_unit(this->random) * 2;
            this->nodes[each].started_ms = -60'000;
        }
        this->limits[busy] = {{-100'000, rate}};
        this->limits[calm] = {{-100'000, rate}};
        this->demand[busy] = rate * (0.5 + 4 * base::random_unit(this->random));
        this->demand[calm] = rate * 0.5;
        for (auto& each : this->nodes) {
            this->start(each, -60'000);
        }
    }

    static base::instant at(int ms) { return base::instant(milliseconds(200'000 + ms)); }

    int below(int bound) {
        return static_cast<int>(
            base::random_below(this->random, static_cast<std::uint64_t>(bound)));
    }

    [[nodiscard]] double limit_of(const base::team_id& team) const {
        return this->limits.at(team).back().second;
    }

    void set_limits(node& node_state, int now) {
        std::vector<routes::team> teams;
        for (const auto& id : {busy, calm}) {
            routes::team team;
            team.id = id;
            const double rate = this->limit_of(id);
            team.quota = {routes::quota_unit::tokens, rate, rate, 1};
            teams.push_back(team);
        }
        quota::set_limits(node_state.state, teams, at(now), this->rules);
    }

    void start(node& node_state, int now) {
        node_state.state = {};
        node_state.started_ms = now;
        this->set_limits(node_state, now);
        this->list_entries(node_state, now);
    }

    void list_entries(node& node_state, int now) {
        quota::listed_entries listed;
        for (const auto& each : this->nodes) {
            if (now < each.listed_from) {
                continue;
            }
            if (each.id == node_state.id) {
                listed.includes_self = true;
            } else {
                listed.others.insert(each.id);
            }
        }
        quota::set_entries(node_state.state, listed, at(now), this->rules);
    }

    static bool is_running(const node& node_state, int now) {
        return now >= node_state.paused_until && now >= node_state.down_until;
    }

    void send_reports(std::size_t from, int now) {
        auto& node_state = this->nodes[from];
        quota::usage_report report{
            node_state.id, {}, milliseconds(now - node_state.started_ms), {}};
        report.counts = quota::collect_counts(node_state.state, at(now), this->rules);
        for (std::size_t to = 0; to < this->nodes.size(); ++to) {
            if (to != from) {
                // Links keep their order: a lost message arrives late and delays all messages after
                // it.
                auto& stalled_until = this->link_stalled_until[{from, to}];
                const int arrives_ms = std::max(now + 1 + this->below(30), stalled_until);
                stalled_until = arrives_ms;
                this->pending_messages.push_back({arrives_ms, to, report});
            }
        }
    }

    void deliver(int now) {
        std::vector<message> left;
        for (auto& each : this->pending_messages) {
            auto& to = this->nodes[each.to];
            const auto from = std::find_if(
                this->nodes.begin(), this->nodes.end(),
                [&each](const node& node_state) { return node_state.id == each.report.from; });
            const bool partitioned = now < to.partitioned_until || now < from->partitioned_until;
            if (now < each.at_ms || partitioned || now < to.paused_until) {
                left.push_back(std::move(each));
                continue;
            }
            if (now < to.down_until) {
                continue;
            }
            quota::apply_report(to.state, each.report, at(now), this->rules);
        }
        this->pending_messages = std::move(left);
    }

    void submit(const base::team_id& team, node& node_state, int now) {
        const std::int64_t cost =
            this->request_size / 2 + this->below(static_cast<int>(this->request_size));
        const auto result =
            quota::admit(node_state.state, team, {cost},
                         base::stable_hash("request", ++this->requests), at(now), this->rules);
        if (team == calm) {
            this->requested_calm += 1;
            this->refused_calm += result.admitted ? 0 : 1;
        } else {
            this->requested += cost;
        }
        if (!result.admitted) {
            return;
        }
        constexpr int one_in = 12;
        if (this->below(one_in) == 0) {
            quota::adjust_charge(node_state.state, team, {cost}, {0}, at(now));
            return;
        }
        this->admitted += team == busy ? cost : 0;
        this->runs[team].push_back({now, cost});
    }

    void send_requests(int now) {
        std::vector<std::size_t> up;
        double weights = 0.0;
        for (std::size_t each = 0; each < this->nodes.size(); ++each) {
            if (is_running(this->nodes[each], now)) {
                up.push_back(each);
                weights += this->nodes[each].weight;
            }
        }
        for (const auto& [team, rate] : this->demand) {
            double wanted = rate * step_ms / 1000 / static_cast<double>(this->request_size);
            while (!up.empty() && base::random_unit(this->random) < wanted) {
                wanted -= 1.0;
                double drawn = base::random_unit(this->random) * weights;
                std::size_t pick = 0;
                while (pick + 1 < up.size() && drawn > this->nodes[up[pick]].weight) {
                    drawn -= this->nodes[up[pick]].weight;
                    ++pick;
                }
                this->submit(team, this->nodes[up[pick]], now);
            }
        }
    }

    void inject_fault(int now) {
        const auto any = [this]() -> node& {
            return this->nodes[base::random_below(this->random, this->nodes.size())];
        };
        switch (this->below(9)) {
        case 0:
            any().paused_until = now + 500 + this->below(5000);
            break;
        case 1:
            any().partitioned_until = now + 500 + this->below(4000);
            break;
        case 2: {
            auto& node_state = any();
            node_state.down_until = now + 200 + this->below(2000);
            break;
        }
        case 3:
            // All links stall for a while.
            for (std::size_t each = 0; each < this->nodes.size(); ++each) {
                this->link_stalled_until[{each,
                                          base::random_below(this->random, this->nodes.size())}] =
                    now + this->below(3000);
            }
            break;
        case 4:
            // All entries are down for so long that their list entries expire.
            for (auto& each : this->nodes) {
                each.down_until = now + 3000 + this->below(600);
                each.listed_from = each.down_until + 100 + this->below(100);
            }
            break;
        case 5:
            this->demand[busy] = this->limit_of(busy) * (0.3 + 8 * base::random_unit(this->random));
            break;
        case 6:
            for (auto& each : this->nodes) {
                each.weight = this->below(3) == 0 ? 5.0 : 0.1;
            }
            break;
        case 7:
            // Half of the entries can't reach the other half for a while.
            for (std::size_t each = 0; each < this->nodes.size() / 2; ++each) {
                for (std::size_t other = this->nodes.size() / 2; other < this->nodes.size();
                     ++other) {
                    const int until = now + 4000;
                    this->link_stalled_until[{each, other}] = until;
                    this->link_stalled_until[{other, each}] = until;
                }
            }
            break;
        default:
            this->change_limit(now);
            break;
        }
    }

    void change_limit(int now) {
        const double rate = this->limit_of(busy) * (this->below(2) == 0 ? 0.4 : 2.5);
        const double first = this->limits.at(busy).front().second;
        this->limits[busy].emplace_back(now, std::clamp(rate, first / 3, first * 3));
        for (auto& each : this->nodes) {
            // A paused entry applies the change once it runs again.
            this->set_limits(each, std::max(now, 0));
        }
    }

    void simulate(int from_ms, int to_ms) {
        for (int now = from_ms; now < to_ms; now += step_ms) {
            for (auto& each : this->nodes) {
                if (each.down_until != 0 && now >= each.down_until) {
                    each.down_until = 0;
                    this->start(each, now);
                }
            }
            this->deliver(now);
            for (auto& each : this->nodes) {
                if (now % 100 == 0 && is_running(each, now)) {
                    this->list_entries(each, now);
                }
            }
            if (now % report_period_ms == 0) {
                for (std::size_t each = 0; each < this->nodes.size(); ++each) {
                    if (is_running(this->nodes[each], now)) {
                        this->send_reports(each, now);
                    }
                }
            }
            if (this->faults && now % 700 == 0 && now > 5000) {
                this->inject_fault(now);
            }
            this->send_requests(now);
        }
    }

    // The highest limit that may apply to a window that ends at this time.
    [[nodiscard]] double binding_limit(const base::team_id& team, int end_ms) const {
        double highest = 0.0;
        const auto& all = this->limits.at(team);
        for (std::size_t each = 0; each < all.size(); ++each) {
            const int replaced = each + 1 < all.size() ? all[each + 1].first : end_ms + 1;
            if (replaced + window_ms + config_ms >= end_ms && all[each].first <= end_ms) {
                highest = std::max(highest, all[each].second);
            }
        }
        return highest;
    }

    // The highest usage of any window, as a fraction of what it allows.
    [[nodiscard]] double fullest_window(const base::team_id& team) const {
        const auto found = this->runs.find(team);
        if (found == this->runs.end()) {
            return 0.0;
        }
        const auto& all = found->second;
        double fullest = 0.0;
        double sum = 0.0;
        std::size_t first = 0;
        for (const auto& each : all) {
            sum += static_cast<double>(each.cost);
            while (all[first].at_ms <= each.at_ms - window_ms) {
                sum -= static_cast<double>(all[first].cost);
                ++first;
            }
            const double rate = this->binding_limit(team, each.at_ms);
            const double most = (rate * window_ms / 1000 + rate) * (1 + excess) +
                                this->rules.window_tolerance.slack;
            fullest = std::max(fullest, sum / most);
        }
        return fullest;
    }
};

std::uint64_t seed_count(std::uint64_t usual) {
    const char* wanted = std::getenv("CAMPHORRAIL_SCHEDULES");
    return wanted == nullptr ? usual : std::strtoull(wanted, nullptr, 10);
}

} // namespace

// Guards against entries that together admit more than a team's quota while some are partitioned,
// paused, restarted or receive reports late.
TEST_CASE("no window exceeds the quota over all entries under any fault", "[quota][schedule]") {
    const double slack = GENERATE(1.0, 0.1);
    CAPTURE(slack);
    double fullest = 0.0;
    const auto simulate = [&](std::uint64_t seed) {
        CAPTURE(seed);
        base::random_source pick{seed};
        const std::size_t entries = 2 + base::random_below(pick, 12);
        quota_simulation simulation(seed, entries, 60'000, slack);
        simulation.simulate(0, 30'000);
        for (const auto& team : {busy, calm}) {
            CAPTURE(team.value);
            fullest = std::max(fullest, simulation.fullest_window(team));
            CHECK(simulation.fullest_window(team) <= 1.0);
        }
    };

    SECTION("on many random schedules") {
        for (std::uint64_t seed = 1; seed <= seed_count(60); ++seed) {
            simulate(seed);
        }
        UNSCOPED_INFO("fullest window " << fullest);
        CHECK(fullest > 0.5);
    }
    SECTION("on a schedule that once exceeded it") {
        simulate(314);
    }
}

// Guards against granting a team only the equal shares of the few entries that its clients connect
// to.
TEST_CASE("clients distributed unevenly over the entries get the whole quota", "[quota]") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        quota_simulation simulation(seed, 22, 200'000);
        simulation.faults = false;
        simulation.demand[busy] = 600'000;
        for (std::size_t each = 0; each < simulation.nodes.size(); ++each) {
            simulation.nodes[each].weight = each < 2 ? 10.0 : 0.1;
        }
        simulation.simulate(0, 3000);
        simulation.admitted = 0;
        simulation.simulate(3000, 13'000);
        CHECK(simulation.admitted >= 0.9 * 10 * 200'000);
        CHECK(simulation.fullest_window(busy) <= 1.0);
    }
}

// Guards against rejecting clients of a team that requests less than its quota.
TEST_CASE("a team below its quota is not rejected while the entries reach each other", "[quota]") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        quota_simulation simulation(seed, 22, 60'000);
        simulation.faults = false;
        simulation.simulate(0, 20'000);
        CHECK(simulation.requested_calm > 300);
        CHECK(simulation.refused_calm <= simulation.requested_calm / 100);
    }
}
