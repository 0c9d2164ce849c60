#include "quota/quota.h"

#include "base/hash.h"
#include "base/random.h"
#include "quota/reserved_shares.h"

#include <algorithm>
#include <utility>

namespace camphorrail::quota {

namespace {

using seconds = std::chrono::duration<double>;

// Bounds of the time span over which the retries of rejected clients are spread.
constexpr seconds min_retry_spread{0.2};
constexpr seconds max_retry_spread{10.0};

bool is_windowed(const tolerance& limits) {
    return limits.excess > 0.0 || limits.slack > 0.0;
}

// The amount beyond its rate that a team may use in a window.
double extra_allowance(const routes::team_quota& limit, const quota_rules& rules) {
    const double in_window = limit.rate_per_s * seconds(rules.window_tolerance.window).count();
    const double tolerated =
        (in_window + limit.burst) * rules.window_tolerance.excess + rules.window_tolerance.slack;
    return limit.burst + rules.tolerance_fraction * tolerated;
}

double effective_rate(const routes::team_quota& limit, const quota_rules& rules) {
    if (!is_windowed(rules.window_tolerance)) {
        return limit.rate_per_s;
    }
    return limit.rate_per_s + rules.steady_fraction * extra_allowance(limit, rules) /
                                  seconds(rules.window_tolerance.window).count();
}

double bucket_capacity(const routes::team_quota& limit, const quota_rules& rules) {
    const bool windows = is_windowed(rules.window_tolerance);
    return windows ? (1.0 - rules.steady_fraction) * extra_allowance(limit, rules) : limit.burst;
}

// No bucket ever holds the cost of a larger request. Such a request must not count as demand, or a
// single one would cause all others of its team to be rejected.
double max_request_cost(const routes::team_quota& limit, const quota_rules& rules) {
    return bucket_capacity(limit, rules) + limit.rate_per_s * seconds(rules.max_debt_time).count();
}

void refill(team_account& account, double share, base::instant now, const quota_rules& rules) {
    const seconds passed = now - account.refilled_at;
    account.refilled_at = now;
    const double rate = effective_rate(account.limit, rules);
    const double most = bucket_capacity(account.limit, rules) * share;
    const double debt = rate * seconds(rules.max_debt_time).count();
    account.balance += rate * share * std::max(0.0, passed.count());
    account.balance = std::clamp(account.balance, -debt, std::max(most, 0.0));
}

void record_start(ledger& state, base::instant now) {
    if (!state.started_at) {
        state.started_at = now;
    }
}

// The count is identified by its start time, so that an entry that restarts under the same id does
// not appear to continue an earlier count.
void start_count(team_account& account, base::instant now) {
    account.count_id = now.time_since_epoch().count();
    account.count_started_at = now;
    account.used = 0;
    account.requested = 0;
}

// Starts with an empty bucket if this process has just started, since other entries may have
// admitted a whole burst before.
team_account make_account(ledger& state, const routes::team_quota& limit, base::instant now,
                          const quota_rules& rules) {
    team_account account;
    account.limit = limit;
    account.refilled_at = now;
    account.balance =
        uptime(state, now) > rules.window_tolerance.window ? bucket_capacity(limit, rules) : 0.0;
    start_count(account, now);
    return account;
}

void update_limit(team_account& account, const routes::team_quota& limit,
                  const quota_rules& rules) {
    const double before = bucket_capacity(account.limit, rules);
    const double after = bucket_capacity(limit, rules);
    account.balance = std::min(account.balance + std::max(0.0, after - before), after);
    account.limit = limit;
}

// A count starts with its first request. Entries that were running by then have missed none of it,
// however long this entry had been running before.
void record_demand(team_account& account, units cost, base::instant now, const quota_rules& rules) {
    if (account.requested == 0) {
        start_count(account, now);
    }
    account.requested += cost.value;
    account.unreported_requested += cost.value;
    account.unreported = true;
    account.changed_at = now;
    account.own_demand = decayed_demand(account.own_demand, account.own_demand_at, now, rules) +
                         static_cast<double>(cost.value) / seconds(rules.demand_window).count();
    account.own_demand_at = now;
}

void charge(team_account& account, units cost, base::instant now, const quota_rules& rules) {
    account.used += cost.value;
    account.balance -= static_cast<double>(cost.value);
    std::erase_if(account.recent_uses,
                  [&](const recent_use& each) { return now - each.at > rules.report_delay; });
    account.recent_uses.push_back({now, cost.value});
}

// Estimates what the other entries have admitted since their last reports: as much as this entry,
// in proportion to their part of the demand. The largest request is left out, since it may have
// arrived here by chance.
double estimate_unreported_use(const team_account& account, double demand, std::size_t entries,
                               base::instant now, const quota_rules& rules) {
    double own = 0.0;
    double largest = 0.0;
    for (const auto& each : account.recent_uses) {
        if (now - each.at <= rules.report_delay) {
            own += static_cast<double>(each.cost);
            largest = std::max(largest, static_cast<double>(each.cost));
        }
    }
    const double own_demand = decayed_demand(account.own_demand, account.own_demand_at, now, rules);
    const double least_part = 1.0 / static_cast<double>(entries);
    const double part = demand > 0.0 ? std::max(own_demand / demand, least_part) : 1.0;
    return std::max(0.0, own - largest) * std::max(0.0, 1.0 / part - 1.0);
}

// The fraction of all requested units that may be admitted.
double pass_probability(double rate, double balance, double demand, const quota_rules& rules) {
    const double wanted = rate + balance / seconds(rules.rebalance_time).count();
    if (wanted >= demand) {
        return 1.0;
    }
    return std::max(0.0, wanted / demand);
}

// Uniform in [0, 1), the same for the same key.
double random_draw(std::uint64_t draw_key, std::uint64_t salt) {
    base::random_source source{base::combine_hashes(draw_key, salt)};
    return base::random_unit(source);
}

// Time until the team has room again, plus a random part of the time needed to admit what is
// rejected within one second; otherwise all rejected clients would retry at once.
base::micros retry_delay(const decision& result, double probability, units cost,
                         std::uint64_t draw_key) {
    const double rate = std::max(result.rate, 1e-9);
    const seconds room{std::max(0.0, (static_cast<double>(cost.value) - result.balance) / rate)};
    const seconds backlog{(1.0 - probability) * result.demand / rate};
    const seconds spread = std::clamp(backlog, min_retry_spread, max_retry_spread);
    const seconds wait = std::min(room, max_retry_spread) + random_draw(draw_key, 2) * spread;
    return std::chrono::duration_cast<base::micros>(wait);
}

remote_count& find_or_add_count(team_account& account, std::uint32_t entry) {
    const auto at = find_count_position(account, entry);
    if (is_count_of(account, at, entry)) {
        return account.remote_counts[static_cast<std::size_t>(at - account.remote_counts.cbegin())];
    }
    return *account.remote_counts.insert(at, remote_count{.entry = entry});
}

// Whether a newer count is known already; reports may overtake each other on different paths.
bool is_outdated(const remote_count& known, const usage_count& count, base::instant at) {
    return known.count_id == count.count_id ? count.age < known.age : at < known.at;
}

// Applies another entry's count of one team. If the count started before this entry did, its first
// value is older usage and only serves as the base for later ones.
void apply_count(ledger& state, const peer_entry& from, const usage_count& count, base::instant at,
                 base::instant now, const quota_rules& rules) {
    const auto team = state.teams.find(count.team);
    if (team == state.teams.end()) {
        return;
    }
    auto& account = team->second;
    refill(account, available_share(state, account, rules), now, rules);
    auto& known = find_or_add_count(account, from.index);
    if (is_outdated(known, count, at)) {
        return;
    }
    if (known.count_id != count.count_id) {
        const bool is_all_new = count.age <= uptime(state, now);
        known.count_id = count.count_id;
        known.used = is_all_new ? 0 : count.used.value;
        known.requested = is_all_new ? 0 : count.requested.value;
    }
    account.balance -= static_cast<double>(count.used.value - known.used);
    known.demand = decayed_demand(known.demand, known.at, at, rules) +
                   std::max(0.0, static_cast<double>(count.requested.value - known.requested)) /
                       seconds(rules.demand_window).count();
    known.age = count.age;
    known.used = count.used.value;
    known.requested = count.requested.value;
    known.at = at;
}

bool has_departed(const peer_entry& peer, base::instant now, const quota_rules& rules) {
    const base::instant last = peer.last_report_at.value_or(peer.known_since);
    return !peer.listed && now - last > rules.unlisted_timeout;
}

void remove_departed(ledger& state, base::instant now, const quota_rules& rules) {
    std::set<std::uint32_t> departed;
    for (const auto& [id, peer] : state.peers) {
        if (has_departed(peer, now, rules)) {
            departed.insert(peer.index);
        }
    }
    if (departed.empty()) {
        return;
    }
    std::erase_if(state.peers,
                  [&departed](const auto& each) { return departed.count(each.second.index) > 0; });
    for (const auto index : departed) {
        state.reachable.erase(index);
    }
    for (auto& [team, account] : state.teams) {
        std::erase_if(account.remote_counts, [&departed](const remote_count& each) {
            return departed.count(each.entry) > 0;
        });
    }
}

peer_entry& find_or_add_peer(ledger& state, const base::entry_id& id, base::instant now) {
    const auto [found, is_new] = state.peers.try_emplace(id);
    if (is_new) {
        found->second.index = ++state.last_index;
        found->second.known_since = now;
    }
    return found->second;
}

void update_silence(ledger& state, base::instant now, const quota_rules& rules) {
    if (now - state.silence_checked_at < rules.silence_check_interval) {
        return;
    }
    state.silence_checked_at = now;
    const bool is_list_complete = state.listed_at && now - *state.listed_at >= rules.list_delay;
    state.settled =
        state.settled || is_list_complete || uptime(state, now) > rules.max_settling_time;
    const auto entries = static_cast<std::int64_t>(state.peers.size());
    const base::micros span =
        std::max(rules.silence_timeout, rules.silence_timeout_per_entry * entries);
    for (auto& [id, peer] : state.peers) {
        const bool silent = !peer.last_report_at || now - *peer.last_report_at > span;
        if (silent == peer.silent) {
            continue;
        }
        peer.silent = silent;
        if (silent) {
            reserve_share(state, peer, now, rules);
            state.reachable.erase(peer.index);
        } else {
            state.reachable.insert(peer.index);
        }
        state.changes.push_back({id, silent});
    }
}

bool needs_report(const team_account& account, std::size_t entries, base::instant now,
                  const quota_rules& rules) {
    const base::micros age = now - account.reported_at;
    if (!account.unreported) {
        return account.requested > 0 && age > rules.report_refresh_interval;
    }
    const double report_threshold = rules.report_fraction * bucket_capacity(account.limit, rules) /
                                    static_cast<double>(entries);
    return age > rules.max_report_delay ||
           static_cast<double>(account.unreported_requested) > report_threshold;
}

} // namespace

base::micros uptime(const ledger& state, base::instant now) {
    return state.started_at ? now - *state.started_at : base::micros(0);
}

void set_limits(ledger& state, const std::vector<routes::team>& teams, base::instant now,
                const quota_rules& rules) {
    record_start(state, now);
    std::set<base::team_id> limited;
    for (const auto& team : teams) {
        if (!routes::is_limited(team.quota)) {
            continue;
        }
        limited.insert(team.id);
        const auto known = state.teams.find(team.id);
        const bool same_unit =
            known != state.teams.end() && known->second.limit.unit == team.quota.unit;
        if (same_unit) {
            update_limit(known->second, team.quota, rules);
        } else {
            state.teams[team.id] = make_account(state, team.quota, now, rules);
        }
    }
    std::erase_if(state.teams,
                  [&limited](const auto& each) { return limited.count(each.first) == 0; });
}

void set_entries(ledger& state, const listed_entries& listed, base::instant now,
                 const quota_rules& rules) {
    record_start(state, now);
    if (listed.includes_self && !state.listed_at) {
        state.listed_at = now;
    }
    for (auto& [id, peer] : state.peers) {
        peer.listed = listed.others.count(id) > 0;
    }
    for (const auto& id : listed.others) {
        find_or_add_peer(state, id, now).listed = true;
    }
    remove_departed(state, now, rules);
}

decision admit(ledger& state, const base::team_id& team, units cost, std::uint64_t draw_key,
               base::instant now, const quota_rules& rules) {
    const auto found = state.teams.find(team);
    if (found == state.teams.end()) {
        return {};
    }
    update_silence(state, now, rules);
    auto& account = found->second;
    if (static_cast<double>(cost.value) > max_request_cost(account.limit, rules)) {
        ++account.refused;
        return {.admitted = false, .retry_after = rules.unservable_retry_after};
    }
    decision result;
    result.share = available_share(state, account, rules);
    refill(account, result.share, now, rules);
    record_demand(account, cost, now, rules);
    result.rate = effective_rate(account.limit, rules) * result.share;
    result.demand = total_demand(state, account, now, rules);
    result.balance = account.balance - estimate_unreported_use(account, result.demand,
                                                               state.peers.size() + 1, now, rules);
    const double probability = pass_probability(result.rate, result.balance, result.demand, rules);
    result.admitted = random_draw(draw_key, 1) < probability;
    if (result.admitted) {
        charge(account, cost, now, rules);
    } else {
        ++account.refused;
        result.retry_after = retry_delay(result, probability, cost, draw_key);
    }
    return result;
}

void adjust_charge(ledger& state, const base::team_id& team, units charged, units ran,
                   base::instant now) {
    const auto found = state.teams.find(team);
    if (found == state.teams.end() || charged == ran) {
        return;
    }
    auto& account = found->second;
    account.used += ran.value - charged.value;
    account.balance -= static_cast<double>(ran.value - charged.value);
    account.unreported = true;
    account.changed_at = now;
}

void apply_report(ledger& state, const usage_report& report, base::instant now,
                  const quota_rules& rules) {
    record_start(state, now);
    auto& peer = find_or_add_peer(state, report.from, now);
    const base::instant at = base::estimate_sent_at(peer.clock, report.uptime, now - report.age);
    peer.last_report_at = std::max(peer.last_report_at.value_or(at), at);
    state.settled = state.settled || report.uptime > rules.max_settling_time;
    for (const auto& count : report.counts) {
        apply_count(state, peer, count, at, now, rules);
    }
}

std::vector<usage_count> collect_counts(ledger& state, base::instant now,
                                        const quota_rules& rules) {
    std::vector<usage_count> counts;
    for (auto& [team, account] : state.teams) {
        const bool idle = now - account.changed_at > rules.idle_timeout;
        if (idle && account.requested > 0) {
            start_count(account, now);
        }
        std::erase_if(account.remote_counts, [&](const remote_count& each) {
            return now - each.at > 2 * rules.idle_timeout;
        });
        if (needs_report(account, state.peers.size() + 1, now, rules)) {
            counts.push_back({team,
                              account.count_id,
                              now - account.count_started_at,
                              {account.used},
                              {account.requested}});
            account.unreported = false;
            account.unreported_requested = 0;
            account.reported_at = now;
        }
    }
    return counts;
}

std::vector<silence_change> silence_changes(ledger& state, base::instant now,
                                            const quota_rules& rules) {
    update_silence(state, now, rules);
    return std::exchange(state.changes, {});
}

std::vector<team_quota_status> quota_statuses(const ledger& state, base::instant now,
                                              const quota_rules& rules) {
    std::vector<team_quota_status> all;
    for (const auto& [team, account] : state.teams) {
        const double share = available_share(state, account, rules);
        auto refilled = account;
        refill(refilled, share, now, rules);
        all.push_back({team, account.limit, refilled.balance,
                       total_demand(state, account, now, rules), share, account.used,
                       account.refused});
    }
    return all;
}

} // namespace camphorrail::quota
