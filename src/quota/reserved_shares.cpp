#include "quota/reserved_shares.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::quota {

namespace {

double entry_count(const ledger& state) {
    return static_cast<double>(state.peers.size() + 1);
}

} // namespace

std::vector<remote_count>::const_iterator find_count_position(const team_account& account,
                                                              std::uint32_t entry) {
    return std::lower_bound(
        account.remote_counts.begin(), account.remote_counts.end(), entry,
        [](const remote_count& each, std::uint32_t wanted) { return each.entry < wanted; });
}

bool is_count_of(const team_account& account, std::vector<remote_count>::const_iterator at,
                 std::uint32_t entry) {
    return at != account.remote_counts.end() && at->entry == entry;
}

double decayed_demand(double demand, base::instant at, base::instant now,
                      const quota_rules& rules) {
    const std::chrono::duration<double> passed = now - at;
    const std::chrono::duration<double> span = rules.demand_window;
    return demand * std::exp(-std::max(0.0, passed.count()) / span.count());
}

double total_demand(const ledger& state, const team_account& account, base::instant now,
                    const quota_rules& rules) {
    double all = decayed_demand(account.own_demand, account.own_demand_at, now, rules);
    for (const auto& each : account.remote_counts) {
        const bool is_reachable = state.reachable.count(each.entry) > 0;
        all += is_reachable ? decayed_demand(each.demand, each.at, now, rules) : 0.0;
    }
    return all;
}

double available_share(const ledger& state, const team_account& account, const quota_rules& rules) {
    const double entries = entry_count(state);
    if (!state.settled) {
        return std::min(rules.unsettled_share, 1.0 / entries);
    }
    double reserved = 0.0;
    for (const auto& [id, peer] : state.peers) {
        if (!peer.silent) {
            continue;
        }
        const auto count = find_count_position(account, peer.index);
        const double unknown = peer.last_report_at ? rules.even_fraction / entries : 1.0 / entries;
        reserved += is_count_of(account, count, peer.index) ? count->reserved : unknown;
    }
    return std::clamp(1.0 - reserved, rules.even_fraction / entries, 1.0);
}

void reserve_share(ledger& state, const peer_entry& silent, base::instant now,
                   const quota_rules& rules) {
    const double entries = entry_count(state);
    for (auto& [team, account] : state.teams) {
        double all = decayed_demand(account.own_demand, account.own_demand_at, now, rules);
        for (const auto& each : account.remote_counts) {
            all += each.demand;
        }
        for (auto& each : account.remote_counts) {
            if (each.entry == silent.index) {
                const double part = all > 0.0 ? each.demand / all : 1.0 / entries;
                each.reserved = (1.0 - rules.even_fraction) * part + rules.even_fraction / entries;
            }
        }
    }
}

} // namespace camphorrail::quota
