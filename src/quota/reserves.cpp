#include "quota/reserves.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::quota {

namespace {

double all_entries(const ledger& state) {
    return static_cast<double>(state.peers.size() + 1);
}

} // namespace

std::vector<told_count>::const_iterator place_of(const team_account& account, std::uint32_t entry) {
    return std::lower_bound(
        account.told.begin(), account.told.end(), entry,
        [](const told_count& each, std::uint32_t wanted) { return each.entry < wanted; });
}

bool is_count_of(const team_account& account, std::vector<told_count>::const_iterator at,
                 std::uint32_t entry) {
    return at != account.told.end() && at->entry == entry;
}

double decayed(double demand, base::instant at, base::instant now, const quota_rules& rules) {
    const std::chrono::duration<double> passed = now - at;
    const std::chrono::duration<double> span = rules.demand_time;
    return demand * std::exp(-std::max(0.0, passed.count()) / span.count());
}

double demand_of(const ledger& state, const team_account& account, base::instant now,
                 const quota_rules& rules) {
    double all = decayed(account.own_demand, account.own_demand_at, now, rules);
    for (const auto& each : account.told) {
        const bool heard = state.heard.count(each.entry) > 0;
        all += heard ? decayed(each.demand, each.at, now, rules) : 0.0;
    }
    return all;
}

double share_of(const ledger& state, const team_account& account, const quota_rules& rules) {
    const double entries = all_entries(state);
    if (!state.settled) {
        return std::min(rules.unsettled_share, 1.0 / entries);
    }
    double reserved = 0.0;
    for (const auto& [id, peer] : state.peers) {
        if (!peer.silent) {
            continue;
        }
        const auto count = place_of(account, peer.index);
        const double unknown = peer.heard_at ? rules.even_part / entries : 1.0 / entries;
        reserved += is_count_of(account, count, peer.index) ? count->reserved : unknown;
    }
    return std::clamp(1.0 - reserved, rules.even_part / entries, 1.0);
}

void reserve_for(ledger& state, const peer_entry& silent, base::instant now,
                 const quota_rules& rules) {
    const double entries = all_entries(state);
    for (auto& [team, account] : state.teams) {
        double all = decayed(account.own_demand, account.own_demand_at, now, rules);
        for (const auto& each : account.told) {
            all += each.demand;
        }
        for (auto& each : account.told) {
            if (each.entry == silent.index) {
                const double part = all > 0.0 ? each.demand / all : 1.0 / entries;
                each.reserved = (1.0 - rules.even_part) * part + rules.even_part / entries;
            }
        }
    }
}

} // namespace camphorrail::quota
