#pragma once

#include "quota/quota.h"

// Shares of the limits that are reserved for silent entries, which may have failed, or may be
// partitioned and still serving clients.
namespace camphorrail::quota {

// Position of an entry's count in a team's sorted counts, or the position to insert it at.
std::vector<remote_count>::const_iterator find_count_position(const team_account& account,
                                                              std::uint32_t entry);
bool is_count_of(const team_account& account, std::vector<remote_count>::const_iterator at,
                 std::uint32_t entry);

// Demand that decays exponentially from its last report.
double decayed_demand(double demand, base::instant at, base::instant now, const quota_rules& rules);

// A team's demand in units per second at this entry and all reachable ones.
double total_demand(const ledger& state, const team_account& account, base::instant now,
                    const quota_rules& rules);

// Share of a team's limit that this entry and the reachable ones may use together.
double available_share(const ledger& state, const team_account& account, const quota_rules& rules);

// Reserves shares for an entry that has just become silent, in proportion to its part of the demand
// at its last report. Both sides of a partition use the figures of that moment, so their shares add
// up to at most the whole limit.
void reserve_share(ledger& state, const peer_entry& silent, base::instant now,
                   const quota_rules& rules);

} // namespace camphorrail::quota
