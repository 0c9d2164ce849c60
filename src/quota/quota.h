#pragma once

#include "base/ids.h"
#include "base/sender_clock.h"
#include "base/units.h"
#include "routes/operators_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Distributed rate limiting: one token bucket a team over all entries, without a server that
// counts.
//
// Each entry counts what it lets through and tells the others, and each works out the bucket's
// level from all counts. Where a team asks for more than its rate, every entry lets through the
// same part of what it is asked for, so that the bucket neither overflows nor runs dry. Entries
// that are not heard have a part of the limit reserved for them. Time is handed in; nothing here
// does I/O.
namespace camphorrail::quota {

// An amount in the unit of a team's quota: tokens or requests.
struct units {
    std::int64_t value = 0;

    auto operator<=>(const units&) const = default;
};

// How far operators let the sum over all entries go above the quota, in any window of this length.
// Without an excess or slack no window is looked at, and a quota is its rate and its burst.
struct tolerance {
    base::micros window = base::seconds(8);
    // As a part of the quota in the window.
    double excess = 0.0;
    // In units, on top.
    double slack = 0.0;
};

struct quota_rules {
    tolerance window_tolerance;
    // Part of the tolerance that teams are given; the rest is for what entries learn late.
    double tolerance_fraction = 0.4;
    // Where operators look at windows, a team may use all that a window allows, its burst included,
    // in each of them. This part of what goes beyond its rate is given out evenly, the rest as the
    // size of the bucket.
    double steady_fraction = 0.7;
    // A bucket that is above or below empty is brought back there within this time.
    base::micros rebalance_time = base::milliseconds(500);
    // A team owes at most what it is given in this time.
    base::micros max_debt_time = base::seconds(2);
    // Demand is averaged over this time.
    base::micros demand_window = base::seconds(1);
    // Entries have told each other of what they let through within this time.
    base::micros report_delay = base::milliseconds(150);
    // An entry that has told nothing for this long may have been cut off. The more entries there
    // are, the less often they tell.
    base::micros silence_timeout = base::milliseconds(600);
    base::micros silence_timeout_per_entry = base::milliseconds(3);
    // One that is cut off and no longer listed serves no callers after this time.
    base::micros unlisted_timeout = base::seconds(6);
    // Part of the limit that is reserved for silent entries alike, whatever they were asked for.
    double even_fraction = 0.25;
    // Entries that start at once know of each other this long after they are listed themselves.
    // Until then each takes a small part.
    base::micros list_delay = base::milliseconds(150);
    double unsettled_share = 1.0 / 32;
    // An entry that has run for this long and is not listed goes by the list as it is.
    base::micros max_settling_time = base::seconds(10);
    // Who is silent is looked at this often.
    base::micros silence_check_interval = base::milliseconds(20);
    // Callers of a request that is larger than its team's quota are told to wait for this long.
    base::micros unservable_retry_after = base::minutes(1);
    // A count is told once an entry has been asked for its part of this much of the bucket, and
    // when it has changed at all after the longer time; again after the longest, in case it was
    // lost.
    double report_fraction = 0.5;
    base::micros max_report_delay = base::milliseconds(500);
    base::micros report_refresh_interval = base::seconds(2);
    // A count that has not changed for this long is dropped.
    base::micros idle_timeout = base::seconds(20);
};

// What an entry has let through, and was asked for, of one team since it began to count.
struct usage_count {
    base::team_id team;
    // Tells this count from an earlier one of the same entry.
    std::int64_t count_id = 0;
    // How long ago it began.
    base::micros age{0};
    units used;
    units requested;
};

// What one entry tells the others.
struct usage_report {
    base::entry_id from;
    // How long another entry had it that passed it on. It may have lain unread besides.
    base::micros age{0};
    // How long the entry had been running when it wrote this.
    base::micros uptime{0};
    // Teams whose count has changed.
    std::vector<usage_count> counts;
};

// Another entry, as far as its news have come.
struct peer_entry {
    // Stands for its id in the accounts.
    std::uint32_t index = 0;
    bool listed = false;
    // When what it told last was written; nothing where it has told nothing.
    std::optional<base::instant> last_report_at;
    base::sender_clock clock;
    base::instant known_since{};
    bool silent = true;
};

// What another entry has told of one team.
struct remote_count {
    std::uint32_t entry = 0;
    std::int64_t count_id = 0;
    // How old the count was by the teller's clock.
    base::micros age{0};
    std::int64_t used = 0;
    std::int64_t requested = 0;
    // What it is asked for, in units a second, and when it told so.
    double demand = 0.0;
    base::instant at{};
    // Part of the limit that is reserved for it while it is silent.
    double reserved = 0.0;
};

// Units that this entry let through lately and that others may not know of yet.
struct recent_use {
    base::instant at{};
    std::int64_t cost = 0;
};

// A team's bucket as this entry sees it.
struct team_account {
    routes::team_quota limit;
    // Units left of the whole bucket by all that is known; below 0 where more was let through.
    double balance = 0.0;
    base::instant refilled_at{};
    // This entry's count, and when it began.
    std::int64_t count_id = 0;
    base::instant count_started_at{};
    base::instant changed_at{};
    std::int64_t used = 0;
    std::int64_t requested = 0;
    // Of the requests refused here.
    std::int64_t refused = 0;
    // Since it was last told.
    std::int64_t unreported_requested = 0;
    bool unreported = false;
    base::instant reported_at{};
    double own_demand = 0.0;
    base::instant own_demand_at{};
    std::vector<recent_use> recent_uses;
    // Other entries' counts, in the order of their index.
    std::vector<remote_count> remote_counts;
};

// Another entry has fallen silent, or is heard again.
struct silence_change {
    base::entry_id entry;
    bool silent = false;
};

// All that one entry knows of the teams' quotas.
struct ledger {
    // When this entry began to count; nothing before it was asked for anything.
    std::optional<base::instant> started_at;
    // When this entry was first seen on the list of entries, and whether that can be relied upon.
    std::optional<base::instant> listed_at;
    bool settled = false;
    std::uint32_t last_index = 0;
    base::instant silence_checked_at{};
    // Not yet given by `silence_changes`.
    std::vector<silence_change> changes;
    // Indices of the entries that are heard.
    std::set<std::uint32_t> reachable;
    std::map<base::entry_id, peer_entry> peers;
    std::map<base::team_id, team_account> teams;
};

// Takes the limits of a configuration. Teams without one have no account.
void set_limits(ledger& state, const std::vector<routes::team>& teams, base::instant now,
                const quota_rules& rules);

// The entries that the platform lists.
struct listed_entries {
    std::set<base::entry_id> others;
    // This entry is one of them, in this life or an earlier one.
    bool includes_self = false;
};
void set_entries(ledger& state, const listed_entries& listed, base::instant now,
                 const quota_rules& rules);

// Whether a request is let through, and what that was decided by.
struct decision {
    bool admitted = true;
    // When the caller may come back, if it was refused.
    base::micros retry_after{0};
    // Units left over all entries, what the team asks for and is given in a second, and the part of
    // its limit that this entry and those it hears may use.
    double balance = 0.0;
    double demand = 0.0;
    double rate = 0.0;
    double share = 1.0;
};

// Decides on a request and, where it is admitted, charges the team. `lot`, any number that differs
// between requests, draws which of them are refused. Teams without an account are admitted.
decision admit(ledger& state, const base::team_id& team, units cost, std::uint64_t draw_key,
               base::instant now, const quota_rules& rules);

// Corrects a charge once it is known what upstreams ran of the request.
void adjust_charge(ledger& state, const base::team_id& team, units charged, units ran,
                   base::instant now);

// Takes what another entry told, itself or through a third one.
void apply_report(ledger& state, const usage_report& report, base::instant now,
                  const quota_rules& rules);

// How long this entry has been counting.
base::micros uptime(const ledger& state, base::instant now);

// The counts to tell now: those that have changed by enough to matter, or long ago. Drops those
// that have long been idle.
std::vector<usage_count> collect_counts(ledger& state, base::instant now, const quota_rules& rules);

// Finds out who is heard; to be asked every so often. Gives what has changed since it was last
// asked.
std::vector<silence_change> silence_changes(ledger& state, base::instant now,
                                            const quota_rules& rules);

// One team's quota as operators are shown it.
struct team_quota_status {
    base::team_id team;
    routes::team_quota limit;
    double balance = 0.0;
    double demand = 0.0;
    double share = 1.0;
    std::int64_t used = 0;
    std::int64_t refused = 0;
};
std::vector<team_quota_status> quota_statuses(const ledger& state, base::instant now,
                                              const quota_rules& rules);

} // namespace camphorrail::quota
