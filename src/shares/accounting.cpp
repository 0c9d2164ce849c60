#include "shares/accounting.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::shares {

namespace {

using millis = std::chrono::duration<double, std::milli>;

// The average of a count that is older says little, and it may have wrapped around.
constexpr base::micros max_counted_time = base::seconds(60);

base::micros timeout(base::micros base, const share_table& state, const share_rules& rules) {
    return base + rules.timeout_per_entry * static_cast<std::int64_t>(state.peers.size());
}

// The difference of two cumulative amounts, which may have wrapped around.
double difference(cumulative_ms later, cumulative_ms earlier) {
    return static_cast<double>(static_cast<std::int32_t>(later - earlier));
}

peer_entry& find_or_add_peer(share_table& state, const base::entry_id& id, base::instant now) {
    const auto [found, is_new] = state.peers.try_emplace(id);
    if (is_new) {
        found->second.index = ++state.last_index;
        found->second.last_report_at = now;
    }
    return found->second;
}

auto find_position(std::vector<remote_count>& counts, std::uint32_t entry) {
    return std::lower_bound(
        counts.begin(), counts.end(), entry,
        [](const remote_count& each, std::uint32_t index) { return each.entry < index; });
}

remote_count* find_or_add_count(share_table& state, team_account& account, std::uint32_t entry,
                                const share_rules& rules) {
    const auto at = find_position(account.remote_counts, entry);
    if (at != account.remote_counts.end() && at->entry == entry) {
        return &*at;
    }
    if (state.remote_count_total >= rules.max_remote_counts) {
        return nullptr;
    }
    ++state.remote_count_total;
    remote_count added;
    added.entry = entry;
    return &*account.remote_counts.insert(at, added);
}

// What a report adds to a count, and the time within which it was added.
struct added_usage {
    slot_amounts amounts;
    base::micros within{0};
};

// A report holds all counts that have changed, so its increments were added since the previous one.
// `known` is an earlier count, or the same one.
added_usage added_since(const remote_count& known, const usage_count& count, const peer_entry& peer,
                        base::instant at, base::micros counted) {
    const base::micros since_report = std::max(base::micros(0), at - peer.last_report_at);
    if (known.count_id == count.count_id && known.at != base::instant{}) {
        return {{difference(count.requested, known.requested),
                 difference(count.admitted, known.admitted)},
                std::min(since_report, at - known.at)};
    }
    return {{static_cast<double>(count.requested), static_cast<double>(count.admitted)},
            std::min(since_report, counted)};
}

// The average rate since a count started: the best estimate if its entry was not heard then.
usage_rate average_rate(const usage_count& count, base::micros counted, const share_rules& rules) {
    if (counted > max_counted_time) {
        return {};
    }
    const double ms = millis(std::max(counted, rules.min_demand_time)).count();
    return {static_cast<float>(count.requested / ms), static_cast<float>(count.admitted / ms)};
}

void apply_count(share_table& state, const peer_entry& peer, const usage_count& count,
                 base::instant at, base::micros uptime, const share_rules& rules) {
    auto& account = state.pools[count.pool].teams[count.team];
    auto* known = find_or_add_count(state, account, peer.index, rules);
    // Reports may overtake each other on different paths.
    if (known == nullptr || at < known->at) {
        return;
    }
    const base::micros started_at = base::milliseconds(count.count_id);
    const base::micros counted = std::max(base::micros(0), uptime - started_at);
    const bool is_known = known->count_id == count.count_id && known->at != base::instant{};
    const bool is_new = peer.uptime > base::micros(0) && started_at >= peer.uptime;
    if (!is_known && !is_new) {
        known->rate = average_rate(count, counted, rules);
    } else {
        const auto added = added_since(*known, count, peer, at, counted);
        const base::micros unchanged = std::max(base::micros(0), at - known->at - added.within);
        known->rate = advance_rate(known->rate, {}, unchanged, rules);
        known->rate = advance_rate(known->rate, added.amounts, added.within, rules);
        account.balance -= added.amounts.admitted;
    }
    known->count_id = count.count_id;
    known->requested = count.requested;
    known->admitted = count.admitted;
    known->at = at;
}

void clear_rates(share_table& state, std::uint32_t entry) {
    for (auto& [pool, pool_state] : state.pools) {
        for (auto& [team, account] : pool_state.teams) {
            const auto at = find_position(account.remote_counts, entry);
            if (at != account.remote_counts.end() && at->entry == entry) {
                at->rate = {};
            }
        }
    }
}

// The factor by which this entry's own rates are too low after its start, since they average over a
// longer time.
double start_factor(const share_table& state, base::instant now, const share_rules& rules) {
    const base::micros counted = std::max<base::micros>(uptime(state, now), rules.min_demand_time);
    return 1.0 / (1.0 - std::exp(-millis(counted) / millis(rules.demand_window)));
}

bool needs_report(const team_account& account, base::instant now, const share_rules& rules) {
    const bool has_count = account.requested != 0;
    return account.unreported ||
           (has_count && now - account.reported_at >= rules.report_refresh_interval);
}

// Drops counts that are idle. Returns whether the account holds none any more.
bool drop_idle(share_table& state, team_account& account, base::instant now,
               const share_rules& rules) {
    state.remote_count_total -= std::erase_if(account.remote_counts, [&](const remote_count& each) {
        return now - each.at > 2 * rules.idle_timeout;
    });
    if (now - account.changed_at > rules.idle_timeout) {
        account.requested = 0;
        account.admitted = 0;
        return account.remote_counts.empty();
    }
    return false;
}

} // namespace

base::milliseconds uptime(const share_table& state, base::instant now) {
    return state.started_at ? std::chrono::floor<base::milliseconds>(now - *state.started_at)
                            : base::milliseconds(0);
}

usage_rate advance_rate(const usage_rate& rate, const slot_amounts& added, base::micros passed,
                        const share_rules& rules) {
    const double windows = millis(passed) / millis(rules.demand_window);
    const double decay = std::exp(-windows);
    const double per_window = windows > 0.0 ? (1.0 - decay) / windows : 1.0;
    const double scale = per_window / millis(rules.demand_window).count();
    const auto advance = [&](float before, double amount) {
        return static_cast<float>(std::max(0.0, before * decay + amount * scale));
    };
    return {advance(rate.requested, added.requested), advance(rate.admitted, added.admitted)};
}

void add_own(share_table& state, team_account& account, const slot_amounts& added,
             base::instant now, const share_rules& rules) {
    if (account.requested == 0) {
        account.count_id = static_cast<std::uint32_t>(uptime(state, now).count());
    }
    account.requested += static_cast<cumulative_ms>(static_cast<std::int32_t>(added.requested));
    account.admitted += static_cast<cumulative_ms>(static_cast<std::int32_t>(added.admitted));
    account.unreported = true;
    account.changed_at = now;
    account.own_rate = advance_rate(account.own_rate, {}, now - account.own_rate_at, rules);
    account.own_rate = advance_rate(account.own_rate, added, base::micros(0), rules);
    account.own_rate_at = now;
    account.balance -= added.admitted;
}

usage_total total_usage(const share_table& state, const team_account& account, base::instant now,
                        const share_rules& rules) {
    const auto own = advance_rate(account.own_rate, {}, now - account.own_rate_at, rules);
    const double factor = start_factor(state, now, rules);
    usage_total total{own.requested * factor, own.admitted * factor, own.admitted * factor};
    for (const auto& each : account.remote_counts) {
        const auto rate =
            advance_rate(each.rate, {}, std::max(base::micros(0), now - each.at), rules);
        total.requested += rate.requested;
        total.admitted += rate.admitted;
    }
    return total;
}

void update_silence(share_table& state, base::instant now, const share_rules& rules) {
    for (auto each = state.peers.begin(); each != state.peers.end();) {
        auto& peer = each->second;
        const bool silent =
            now - peer.last_report_at > timeout(rules.silence_timeout, state, rules);
        if (silent && !peer.silent) {
            clear_rates(state, peer.index);
        }
        peer.silent = silent;
        const bool has_left = silent && state.listed.count(each->first) == 0;
        each = has_left ? state.peers.erase(each) : std::next(each);
    }
}

bool has_recent_reports(const share_table& state, base::instant now, const share_rules& rules) {
    const base::micros recent = timeout(rules.recent_report_age, state, rules);
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& each) {
        return each.second.silent || now - each.second.last_report_at <= recent;
    });
}

bool is_settling(const share_table& state, base::instant now, const share_rules& rules) {
    return state.started_at && now - *state.started_at < rules.settling_time;
}

double even_part(const share_table& state) {
    const auto entries = std::max(state.listed.size(), state.peers.size()) + 1;
    return 1.0 / static_cast<double>(entries);
}

std::size_t heard_entries(const share_table& state) {
    return static_cast<std::size_t>(
        std::count_if(state.peers.begin(), state.peers.end(),
                      [](const auto& each) { return !each.second.silent; }));
}

bool is_partitioned(const share_table& state, base::instant now, const share_rules& rules) {
    const auto expected = is_settling(state, now, rules)
                              ? std::max(state.listed.size(), state.peers.size())
                              : state.peers.size();
    return 2 * heard_entries(state) < expected;
}

double usable_part(const share_table& state, const pool_account& pool, base::instant now,
                   const share_rules& rules) {
    if (!is_partitioned(state, now, rules)) {
        return 1.0;
    }
    const double even = even_part(state);
    return pool.part ? std::max(*pool.part, rules.min_part * even) : even;
}

void apply_report(share_table& state, const usage_report& report, base::instant now,
                  const share_rules& rules) {
    state.started_at = state.started_at.value_or(now);
    auto& peer = find_or_add_peer(state, report.from, now);
    const base::instant at = base::estimate_sent_at(peer.clock, report.uptime, now - report.age);
    if (report.uptime < peer.uptime && at > peer.last_report_at) {
        // The entry has started again.
        peer.uptime = base::micros(0);
    }
    for (const auto& count : report.counts) {
        apply_count(state, peer, count, at, report.uptime, rules);
    }
    peer.last_report_at = std::max(peer.last_report_at, at);
    peer.uptime = std::max(peer.uptime, report.uptime);
}

std::vector<usage_count> collect_counts(share_table& state, base::instant now,
                                        const share_rules& rules) {
    std::vector<usage_count> counts;
    if (now < state.next_report) {
        return counts;
    }
    state.next_report = now + rules.report_interval;
    for (auto& [pool, pool_state] : state.pools) {
        for (auto each = pool_state.teams.begin(); each != pool_state.teams.end();) {
            auto& [team, account] = *each;
            if (drop_idle(state, account, now, rules)) {
                each = pool_state.teams.erase(each);
                continue;
            }
            if (needs_report(account, now, rules)) {
                counts.push_back(
                    {team, pool, account.count_id, account.requested, account.admitted});
                account.unreported = false;
                account.reported_at = now;
            }
            ++each;
        }
    }
    return counts;
}

} // namespace camphorrail::shares
