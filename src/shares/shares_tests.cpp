#include "shares/max_min.h"
#include "shares/shares.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace camphorrail;
using base::milliseconds;

namespace {

const base::pool_id pool{"pool"};
const shares::share_rules rules;

base::instant at(int ms) {
    return base::instant(milliseconds(100'000 + ms));
}

shares::share_request request_of(const std::string& team, std::uint64_t number) {
    return {{team}, pool, milliseconds(100), number, milliseconds(3000)};
}

// Sends requests of a team for some time.
void send(shares::share_table& state, const std::string& team, int per_10_ms, int from_ms,
          int until_ms) {
    for (int now = from_ms; now < until_ms; now += 10) {
        for (int each = 0; each < per_10_ms; ++each) {
            const auto number =
                static_cast<std::uint64_t>(now) * 100 + static_cast<std::uint64_t>(each);
            shares::admit(state, request_of(team, number), at(now), rules);
        }
    }
}

} // namespace

TEST_CASE("capacity is divided by weighted max-min fairness", "[shares]") {
    using demands = std::vector<shares::weighted_demand>;
    CHECK_FALSE(shares::max_min_level(demands{}, 10));
    CHECK_FALSE(shares::max_min_level(demands{{1, 4}, {1, 6}}, 10));
    CHECK(shares::max_min_level(demands{{1, 100}, {1, 2}, {1, 50}}, 10).value() == Approx(4));
    CHECK(shares::max_min_level(demands{{3, 100}, {1, 100}}, 8).value() == Approx(2));
    CHECK(shares::max_min_level(demands{{1, 5}}, 0).value() == Approx(0));

    SECTION("and no weight is far below the mean") {
        demands several{{0.01, 1}, {0.01, 1}, {8, 1}, {2, 1}};
        shares::raise_small_weights(several, 0.25);
        const double others = several[1].weight + several[2].weight + several[3].weight;
        CHECK(several[0].weight >= 0.25 * (several[0].weight + others) / 4);
    }
}

TEST_CASE("teams' weights follow their quotas", "[shares]") {
    shares::share_table state;
    std::vector<routes::team> teams(3);
    teams[0].id = {"large"};
    teams[0].quota = {routes::quota_unit::tokens, 3000, 1, 1};
    teams[1].id = {"small"};
    teams[1].quota = {routes::quota_unit::tokens, 1000, 1, 1};
    teams[2].id = {"free"};
    shares::set_teams(state, teams);
    CHECK(state.weights.at({"large"}) == Approx(1.5));
    CHECK(state.weights.at({"small"}) == Approx(0.5));
    CHECK(state.weights.count({"free"}) == 0);
}

// Guards against refusing requests although the pool has room.
TEST_CASE("a team is only kept to its share while the pool is overloaded", "[shares]") {
    shares::share_table state;
    for (int now = 0; now < 2000; now += 10) {
        shares::update_pool(state, pool, {100, 99}, at(now), rules);
        for (std::uint64_t each = 0; each < 50; ++each) {
            REQUIRE(shares::admit(state, request_of("busy", each), at(now), rules).admitted);
        }
    }
    CHECK_FALSE(state.pools.at(pool).overloaded);
    CHECK(shares::update_pool(state, pool, {100, 100}, at(2000), rules));
    // Overload does not end as soon as one request has ended.
    CHECK_FALSE(shares::update_pool(state, pool, {100, 97}, at(2020), rules));
    CHECK(state.pools.at(pool).overloaded);
    int refused = 0;
    for (std::uint64_t each = 0; each < 100; ++each) {
        auto request = request_of("busy", each);
        const auto decision = shares::admit(state, request, at(2021), rules);
        refused += decision.admitted ? 0 : 1;
        CHECK(decision.retry_after <= milliseconds(1000));
        CHECK(decision.demand > decision.share);
        request.resumes = true;
        CHECK(shares::admit(state, request, at(2021), rules).admitted);
    }
    CHECK(refused > 50);
    CHECK(shares::update_pool(state, pool, {100, 60}, at(2040), rules));
    const auto charged = state.pools.at(pool).teams.at({"busy"}).admitted;
    CHECK(shares::admit(state, request_of("busy", 7), at(2041), rules).admitted);
    CHECK(state.pools.at(pool).teams.at({"busy"}).admitted == charged + 100);
    shares::return_charge(state, request_of("busy", 7), at(2042), rules);
    CHECK(state.pools.at(pool).teams.at({"busy"}).admitted == charged);
}

TEST_CASE("counts of other entries", "[shares]") {
    shares::share_table one;
    shares::share_table other;
    const auto report_at = [&other](int now) {
        return shares::usage_report{{"entry-2"},
                                    {},
                                    shares::uptime(other, at(now)),
                                    shares::collect_counts(other, at(now), rules)};
    };
    const auto demand_at = [&one](int now) {
        shares::update_pool(one, pool, {100, 150}, at(now), rules);
        const auto& teams = one.pools.at(pool).teams;
        return teams.count({"north"}) > 0 ? teams.at({"north"}).demand : 0.0;
    };
    send(other, "north", 5, 0, 1000);
    const auto first = report_at(1000);
    CHECK(report_at(1150).counts.empty());
    CHECK(report_at(2010).counts == first.counts);
    // 5 requests of 100 ms each 10 ms.
    shares::apply_report(one, first, at(1000), rules);
    CHECK(demand_at(1000) == Approx(50).margin(10));
    send(other, "north", 5, 2010, 2500);
    // This report is lost.
    CHECK(report_at(2500).counts.size() == 1);
    send(other, "north", 5, 2500, 3000);
    shares::apply_report(one, report_at(3000), at(3000), rules);
    CHECK(demand_at(3000) == Approx(25).margin(10));

    SECTION("expire in less than a second if the entry is silent") {
        CHECK(demand_at(3700) == 0.0);
    }
    SECTION("do not grow again by a report that was delayed") {
        shares::apply_report(one, first, at(3010), rules);
        CHECK(demand_at(3010) <= 30);
    }
    SECTION("are missing from entries of an older build, which count for nothing") {
        shares::share_table alone;
        shares::set_entries(alone, {{"entry-2"}, {"entry-3"}}, at(0), rules);
        CHECK(shares::is_partitioned(alone, at(500), rules));
        CHECK_FALSE(shares::is_partitioned(alone, at(1500), rules));
    }
}

// Guards against costs and memory that grow too large at the largest size of a deployment.
TEST_CASE("shares of 320 teams at 31 entries need little memory and time", "[shares]") {
    shares::share_table state;
    constexpr int teams = 320;
    constexpr int pools = 2;
    for (int report_ms = 0; report_ms < 1000; report_ms += 140) {
        for (int entry = 0; entry < 30; ++entry) {
            shares::usage_report report{
                {"entry-" + std::to_string(entry)}, {}, milliseconds(5000 + report_ms), {}};
            for (int each = 0; each < teams * pools; ++each) {
                const auto amount = static_cast<shares::cumulative_ms>(report_ms);
                const base::pool_id of_pool{"pool-" + std::to_string(each / teams)};
                report.counts.push_back(
                    {{"team-" + std::to_string(each % teams)}, of_pool, 1, amount, amount});
            }
            shares::apply_report(state, report, at(report_ms), rules);
        }
    }
    std::size_t bytes = 0;
    for (const auto& [id, account] : state.pools) {
        for (const auto& [team, each] : account.teams) {
            constexpr std::size_t map_node = 100;
            bytes += sizeof(each) + map_node +
                     each.remote_counts.capacity() * sizeof(shares::remote_count);
        }
    }
    CHECK(bytes < 1'000'000);
    const auto begin = std::chrono::steady_clock::now();
    constexpr int updates = 20;
    for (int each = 0; each < updates; ++each) {
        shares::update_pool(state, {"pool-0"}, {64'000, 70'000}, at(1000 + each * 20), rules);
    }
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - begin;
    // One update serves all decisions of 20 ms.
    CHECK(spent.count() / updates < 10.0);
}
