#pragma once

#include "shares/shares.h"

// How requests, and the counts that entries report, are added up.
namespace camphorrail::shares {

// Amounts of slot time in milliseconds; negative for a charge that is returned.
struct slot_amounts {
    double requested = 0.0;
    double admitted = 0.0;
};

// The rate after some time in which these amounts were added evenly.
usage_rate advance_rate(const usage_rate& rate, const slot_amounts& added, base::micros passed,
                        const share_rules& rules);

// Adds to this entry's own count.
void add_own(share_table& state, team_account& account, const slot_amounts& added,
             base::instant now, const share_rules& rules);

// What all entries were asked for and admitted, and what this entry admitted, in slots.
struct usage_total {
    double requested = 0.0;
    double admitted = 0.0;
    double own_admitted = 0.0;
};
usage_total total_usage(const share_table& state, const team_account& account, base::instant now,
                        const share_rules& rules);

// Updates which entries are silent, and no longer counts what silent ones have reported.
void update_silence(share_table& state, base::instant now, const share_rules& rules);

// Whether the reports of all entries that are not silent are recent.
bool has_recent_reports(const share_table& state, base::instant now, const share_rules& rules);

// Whether this entry has just started.
bool is_settling(const share_table& state, base::instant now, const share_rules& rules);

// The part of a pool that each entry may use if all use the same.
double even_part(const share_table& state);

// The part of a pool that this entry may use: all of it together with the others, or the last part
// that it used if it is partitioned from them.
double usable_part(const share_table& state, const pool_account& pool, base::instant now,
                   const share_rules& rules);

} // namespace camphorrail::shares
