#include "quota/quota.h"

#include "base/hash.h"
#include "base/random.h"
#include "quota/reserves.h"

#include <algorithm>
#include <utility>

namespace camphorrail::quota {

namespace {

using seconds = std::chrono::duration<double>;

// Callers that were refused come back spread over a span of at least, and at most, this length.
constexpr seconds least_spread{0.2};
constexpr seconds longest_spread{10.0};

bool looks_at_windows(const tolerance& allowed) {
    return allowed.excess > 0.0 || allowed.slack > 0.0;
}

// What a team may use in a window beyond its rate.
double beyond_rate(const routes::team_quota& limit, const quota_rules& rules) {
    const double in_window = limit.rate_per_s * seconds(rules.allowed.window).count();
    const double tolerated = (in_window + limit.burst) * rules.allowed.excess + rules.allowed.slack;
    return limit.burst + rules.tolerance_used * tolerated;
}

double given_rate(const routes::team_quota& limit, const quota_rules& rules) {
    if (!looks_at_windows(rules.allowed)) {
        return limit.rate_per_s;
    }
    return limit.rate_per_s +
           rules.steady_part * beyond_rate(limit, rules) / seconds(rules.allowed.window).count();
}

double bucket_size(const routes::team_quota& limit, const quota_rules& rules) {
    const bool windows = looks_at_windows(rules.allowed);
    return windows ? (1.0 - rules.steady_part) * beyond_rate(limit, rules) : limit.burst;
}

// No bucket ever holds what a larger request asks for. It must not count as demand either, or a
// single one would have all others of its team refused.
double most_of_one_request(const routes::team_quota& limit, const quota_rules& rules) {
    return bucket_size(limit, rules) + limit.rate_per_s * seconds(rules.longest_debt).count();
}

void fill(team_account& account, double share, base::instant now, const quota_rules& rules) {
    const seconds passed = now - account.filled_at;
    account.filled_at = now;
    const double rate = given_rate(account.limit, rules);
    const double most = bucket_size(account.limit, rules) * share;
    const double debt = rate * seconds(rules.longest_debt).count();
    account.balance += rate * share * std::max(0.0, passed.count());
    account.balance = std::clamp(account.balance, -debt, std::max(most, 0.0));
}

void note_start(ledger& state, base::instant now) {
    if (!state.started_at) {
        state.started_at = now;
    }
}

// Numbered by its time: an entry that starts again under its id must not seem to go on with a count
// of before.
void begin_count(team_account& account, base::instant now) {
    account.number = now.time_since_epoch().count();
    account.began = now;
    account.used = 0;
    account.asked = 0;
}

// Where a process has just started, others may have let through a whole bucket before it.
team_account open_account(ledger& state, const routes::team_quota& limit, base::instant now,
                          const quota_rules& rules) {
    team_account account;
    account.limit = limit;
    account.filled_at = now;
    account.balance = uptime(state, now) > rules.allowed.window ? bucket_size(limit, rules) : 0.0;
    begin_count(account, now);
    return account;
}

void change_limit(team_account& account, const routes::team_quota& limit,
                  const quota_rules& rules) {
    const double before = bucket_size(account.limit, rules);
    const double after = bucket_size(limit, rules);
    account.balance = std::min(account.balance + std::max(0.0, after - before), after);
    account.limit = limit;
}

// A count begins with the first request that it holds: entries that were there by then have missed
// nothing of it, however long this one had been running before.
void note_asked(team_account& account, units cost, base::instant now, const quota_rules& rules) {
    if (account.asked == 0) {
        begin_count(account, now);
    }
    account.asked += cost.value;
    account.asked_untold += cost.value;
    account.untold = true;
    account.changed_at = now;
    account.own_demand = decayed(account.own_demand, account.own_demand_at, now, rules) +
                         static_cast<double>(cost.value) / seconds(rules.demand_time).count();
    account.own_demand_at = now;
}

void charge(team_account& account, units cost, base::instant now, const quota_rules& rules) {
    account.used += cost.value;
    account.balance -= static_cast<double>(cost.value);
    std::erase_if(account.recent,
                  [&](const recent_use& each) { return now - each.at > rules.news_delay; });
    account.recent.push_back({now, cost.value});
}

// What the others are likely to have let through since they last told: as much as this entry, for
// their parts of the demand. The last request says nothing: it may have come here by chance.
double likely_untold(const team_account& account, double demand, std::size_t entries,
                     base::instant now, const quota_rules& rules) {
    double own = 0.0;
    double largest = 0.0;
    for (const auto& each : account.recent) {
        if (now - each.at <= rules.news_delay) {
            own += static_cast<double>(each.cost);
            largest = std::max(largest, static_cast<double>(each.cost));
        }
    }
    const double own_demand = decayed(account.own_demand, account.own_demand_at, now, rules);
    const double least_part = 1.0 / static_cast<double>(entries);
    const double part = demand > 0.0 ? std::max(own_demand / demand, least_part) : 1.0;
    return std::max(0.0, own - largest) * std::max(0.0, 1.0 / part - 1.0);
}

// The part of all that is asked for that may pass.
double passing_part(double rate, double balance, double demand, const quota_rules& rules) {
    const double wanted = rate + balance / seconds(rules.balance_time).count();
    if (wanted >= demand) {
        return 1.0;
    }
    return std::max(0.0, wanted / demand);
}

// From 0 up to 1, the same for the same lot.
double draw(std::uint64_t lot, std::uint64_t salt) {
    base::random_source source{base::combine_hashes(lot, salt)};
    return base::random_unit(source);
}

// When the team has room again, and then as long as it takes to let through what was refused within
// one second: all that are refused at once would else come back at once.
base::micros come_back(const decision& taken, double passing, units cost, std::uint64_t lot) {
    const double rate = std::max(taken.rate, 1e-9);
    const seconds room{std::max(0.0, (static_cast<double>(cost.value) - taken.balance) / rate)};
    const seconds refused{(1.0 - passing) * taken.demand / rate};
    const seconds spread = std::clamp(refused, least_spread, longest_spread);
    const seconds wait = std::min(room, longest_spread) + draw(lot, 2) * spread;
    return std::chrono::duration_cast<base::micros>(wait);
}

told_count& count_from(team_account& account, std::uint32_t entry) {
    const auto at = place_of(account, entry);
    if (is_count_of(account, at, entry)) {
        return account.told[static_cast<std::size_t>(at - account.told.cbegin())];
    }
    return *account.told.insert(at, told_count{.entry = entry});
}

// What was told before that which is known, and came after it by another way.
bool is_overtaken(const told_count& known, const usage_count& count, base::instant at) {
    return known.number == count.number ? count.age < known.age : at < known.at;
}

// Takes one team's count. Of a count that began before this entry did, what it held at first is
// from before.
void take_count(ledger& state, const peer_entry& from, const usage_count& count, base::instant at,
                base::instant now, const quota_rules& rules) {
    const auto team = state.teams.find(count.team);
    if (team == state.teams.end()) {
        return;
    }
    auto& account = team->second;
    fill(account, share_of(state, account, rules), now, rules);
    auto& known = count_from(account, from.index);
    if (is_overtaken(known, count, at)) {
        return;
    }
    if (known.number != count.number) {
        const bool all_new = count.age <= uptime(state, now);
        known.number = count.number;
        known.used = all_new ? 0 : count.used.value;
        known.asked = all_new ? 0 : count.asked.value;
    }
    account.balance -= static_cast<double>(count.used.value - known.used);
    known.demand = decayed(known.demand, known.at, at, rules) +
                   std::max(0.0, static_cast<double>(count.asked.value - known.asked)) /
                       seconds(rules.demand_time).count();
    known.age = count.age;
    known.used = count.used.value;
    known.asked = count.asked.value;
    known.at = at;
}

bool is_gone(const peer_entry& peer, base::instant now, const quota_rules& rules) {
    const base::instant last = peer.heard_at.value_or(peer.known_since);
    return !peer.listed && now - last > rules.longest_unlisted;
}

void forget_gone(ledger& state, base::instant now, const quota_rules& rules) {
    std::set<std::uint32_t> gone;
    for (const auto& [id, peer] : state.peers) {
        if (is_gone(peer, now, rules)) {
            gone.insert(peer.index);
        }
    }
    if (gone.empty()) {
        return;
    }
    std::erase_if(state.peers,
                  [&gone](const auto& each) { return gone.count(each.second.index) > 0; });
    for (const auto index : gone) {
        state.heard.erase(index);
    }
    for (auto& [team, account] : state.teams) {
        std::erase_if(account.told,
                      [&gone](const told_count& each) { return gone.count(each.entry) > 0; });
    }
}

peer_entry& peer_of(ledger& state, const base::entry_id& id, base::instant now) {
    const auto [found, is_new] = state.peers.try_emplace(id);
    if (is_new) {
        found->second.index = ++state.last_index;
        found->second.known_since = now;
    }
    return found->second;
}

void look_for_silence(ledger& state, base::instant now, const quota_rules& rules) {
    if (now - state.silence_checked_at < rules.silence_period) {
        return;
    }
    state.silence_checked_at = now;
    const bool knows_all = state.listed_at && now - *state.listed_at >= rules.list_delay;
    state.settled = state.settled || knows_all || uptime(state, now) > rules.longest_settling;
    const auto entries = static_cast<std::int64_t>(state.peers.size());
    const base::micros span = std::max(rules.silence, rules.silence_an_entry * entries);
    for (auto& [id, peer] : state.peers) {
        const bool silent = !peer.heard_at || now - *peer.heard_at > span;
        if (silent == peer.silent) {
            continue;
        }
        peer.silent = silent;
        if (silent) {
            reserve_for(state, peer, now, rules);
            state.heard.erase(peer.index);
        } else {
            state.heard.insert(peer.index);
        }
        state.changes.push_back({id, silent});
    }
}

bool is_to_be_told(const team_account& account, std::size_t entries, base::instant now,
                   const quota_rules& rules) {
    const base::micros age = now - account.told_at;
    if (!account.untold) {
        return account.asked > 0 && age > rules.told_again;
    }
    const double own_part =
        rules.told_part * bucket_size(account.limit, rules) / static_cast<double>(entries);
    return age > rules.told_late || static_cast<double>(account.asked_untold) > own_part;
}

} // namespace

base::micros uptime(const ledger& state, base::instant now) {
    return state.started_at ? now - *state.started_at : base::micros(0);
}

void set_limits(ledger& state, const std::vector<routes::team>& teams, base::instant now,
                const quota_rules& rules) {
    note_start(state, now);
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
            change_limit(known->second, team.quota, rules);
        } else {
            state.teams[team.id] = open_account(state, team.quota, now, rules);
        }
    }
    std::erase_if(state.teams,
                  [&limited](const auto& each) { return limited.count(each.first) == 0; });
}

void set_entries(ledger& state, const listed_entries& listed, base::instant now,
                 const quota_rules& rules) {
    note_start(state, now);
    if (listed.self && !state.listed_at) {
        state.listed_at = now;
    }
    for (auto& [id, peer] : state.peers) {
        peer.listed = listed.others.count(id) > 0;
    }
    for (const auto& id : listed.others) {
        peer_of(state, id, now).listed = true;
    }
    forget_gone(state, now, rules);
}

decision take(ledger& state, const base::team_id& team, units cost, std::uint64_t lot,
              base::instant now, const quota_rules& rules) {
    const auto found = state.teams.find(team);
    if (found == state.teams.end()) {
        return {};
    }
    look_for_silence(state, now, rules);
    auto& account = found->second;
    if (static_cast<double>(cost.value) > most_of_one_request(account.limit, rules)) {
        ++account.refused;
        return {.admitted = false, .retry_after = rules.longest_unservable};
    }
    decision taken;
    taken.share = share_of(state, account, rules);
    fill(account, taken.share, now, rules);
    note_asked(account, cost, now, rules);
    taken.rate = given_rate(account.limit, rules) * taken.share;
    taken.demand = demand_of(state, account, now, rules);
    taken.balance =
        account.balance - likely_untold(account, taken.demand, state.peers.size() + 1, now, rules);
    const double passing = passing_part(taken.rate, taken.balance, taken.demand, rules);
    taken.admitted = draw(lot, 1) < passing;
    if (taken.admitted) {
        charge(account, cost, now, rules);
    } else {
        ++account.refused;
        taken.retry_after = come_back(taken, passing, cost, lot);
    }
    return taken;
}

void settle(ledger& state, const base::team_id& team, units charged, units ran, base::instant now) {
    const auto found = state.teams.find(team);
    if (found == state.teams.end() || charged == ran) {
        return;
    }
    auto& account = found->second;
    account.used += ran.value - charged.value;
    account.balance -= static_cast<double>(ran.value - charged.value);
    account.untold = true;
    account.changed_at = now;
}

void take_report(ledger& state, const usage_report& report, base::instant now,
                 const quota_rules& rules) {
    note_start(state, now);
    auto& peer = peer_of(state, report.from, now);
    const base::instant at = base::estimate_sent_at(peer.clock, report.uptime, now - report.age);
    peer.heard_at = std::max(peer.heard_at.value_or(at), at);
    state.settled = state.settled || report.uptime > rules.longest_settling;
    for (const auto& count : report.counts) {
        take_count(state, peer, count, at, now, rules);
    }
}

std::vector<usage_count> collect(ledger& state, base::instant now, const quota_rules& rules) {
    std::vector<usage_count> counts;
    for (auto& [team, account] : state.teams) {
        const bool idle = now - account.changed_at > rules.idle_count;
        if (idle && account.asked > 0) {
            begin_count(account, now);
        }
        std::erase_if(account.told,
                      [&](const told_count& each) { return now - each.at > 2 * rules.idle_count; });
        if (is_to_be_told(account, state.peers.size() + 1, now, rules)) {
            counts.push_back(
                {team, account.number, now - account.began, {account.used}, {account.asked}});
            account.untold = false;
            account.asked_untold = 0;
            account.told_at = now;
        }
    }
    return counts;
}

std::vector<silence_change> silence_changes(ledger& state, base::instant now,
                                            const quota_rules& rules) {
    look_for_silence(state, now, rules);
    return std::exchange(state.changes, {});
}

std::vector<team_standing> standings(const ledger& state, base::instant now,
                                     const quota_rules& rules) {
    std::vector<team_standing> all;
    for (const auto& [team, account] : state.teams) {
        const double share = share_of(state, account, rules);
        auto filled = account;
        fill(filled, share, now, rules);
        all.push_back({team, account.limit, filled.balance, demand_of(state, account, now, rules),
                       share, account.used, account.refused});
    }
    return all;
}

} // namespace camphorrail::quota
