#pragma once

#include "quota/quota.h"

// What of the limits belongs to entries that are not heard. They may be gone, or cut off and
// serving callers all the same.
namespace camphorrail::quota {

// Where the count of an entry stands among a team's, or would stand.
std::vector<remote_count>::const_iterator find_count_position(const team_account& account,
                                                              std::uint32_t entry);
bool is_count_of(const team_account& account, std::vector<remote_count>::const_iterator at,
                 std::uint32_t entry);

// Demand that decays from when it was last told.
double decayed_demand(double demand, base::instant at, base::instant now, const quota_rules& rules);

// What a team asks for, in units a second: here and at all entries that are heard.
double total_demand(const ledger& state, const team_account& account, base::instant now,
                    const quota_rules& rules);

// Part of a team's limit that this entry and those it hears may use together.
double available_share(const ledger& state, const team_account& account, const quota_rules& rules);

// Reserves parts for an entry that has just fallen silent, as large as its part of the demand was
// when it was last heard. Both sides of a cut work with the figures of that moment, so their parts
// add up to no more than the whole.
void reserve_share(ledger& state, const peer_entry& silent, base::instant now,
                   const quota_rules& rules);

} // namespace camphorrail::quota
