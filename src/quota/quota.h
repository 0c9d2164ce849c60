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

// Distributed rate limiting: one token bucket per team over all entries, without a central counter.
//
// Each entry counts the usage that it admits and reports it to the others, and each computes the
// bucket's level from all counts. If a team requests more than its rate, every entry admits the
// same fraction of the requests it receives, so that the bucket neither overflows nor stays empty.
// A share of the limit is reserved for entries that are silent. The caller passes the current time;
// nothing here does I/O.
namespace camphorrail::quota {

// An amount in the unit of a team's quota: tokens or requests.
struct units {
    std::int64_t value = 0;

    auto operator<=>(const units&) const = default;
};

// How far the usage over all entries may exceed the quota within any window of this length. If both
// excess and slack are 0, no window is checked and the quota is its rate and burst.
struct tolerance {
    base::micros window = base::seconds(8);
    // As a fraction of the quota in the window.
    double excess = 0.0;
    // In units, in addition to the excess.
    double slack = 0.0;
};

struct quota_rules {
    tolerance window_tolerance;
    // Fraction of the tolerance that is granted to teams. The rest covers usage that entries learn
    // about late.
    double tolerance_fraction = 0.4;
    // With a window tolerance, a team may use all that a window allows, its burst included, in each
    // window. This fraction of what exceeds the rate is granted evenly over time, the rest as
    // bucket capacity.
    double steady_fraction = 0.7;
    // A positive or negative balance is worked off within this time.
    base::micros rebalance_time = base::milliseconds(500);
    // A team's debt is limited to what it is granted in this time.
    base::micros max_debt_time = base::seconds(2);
    // Demand is averaged over this time.
    base::micros demand_window = base::seconds(1);
    // Time within which the entries have received each other's usage reports.
    base::micros report_delay = base::milliseconds(150);
    // An entry without a report for this long is treated as silent, since it may be partitioned.
    // The timeout grows with the number of entries, which then report less often.
    base::micros silence_timeout = base::milliseconds(600);
    base::micros silence_timeout_per_entry = base::milliseconds(3);
    // A partitioned entry that is no longer listed stops serving clients after this time.
    base::micros unlisted_timeout = base::seconds(6);
    // Fraction of the limit that is reserved for silent entries in equal shares, whatever their
    // demand was.
    double even_fraction = 0.25;
    // Entries that start at the same time know of each other this long after they are listed
    // themselves. Until then each uses the small share below.
    base::micros list_delay = base::milliseconds(150);
    double unsettled_share = 1.0 / 32;
    // An entry that has run for this long without being listed relies on the list as it is.
    base::micros max_settling_time = base::seconds(10);
    // Interval between checks for silent entries.
    base::micros silence_check_interval = base::milliseconds(20);
    // `Retry-After` of a request that is larger than its team's quota.
    base::micros unservable_retry_after = base::minutes(1);
    // A count is reported once the requested amount exceeds the entry's share of this fraction of
    // the bucket capacity, and after `max_report_delay` for any change. It is repeated after
    // `report_refresh_interval` in case a report was lost.
    double report_fraction = 0.5;
    base::micros max_report_delay = base::milliseconds(500);
    base::micros report_refresh_interval = base::seconds(2);
    // A count that has not changed for this long is dropped.
    base::micros idle_timeout = base::seconds(20);
};

// One entry's admitted and requested amount of one team since its count started.
struct usage_count {
    base::team_id team;
    // Distinguishes this count from earlier ones of the same entry.
    std::int64_t count_id = 0;
    // Time since the count started.
    base::micros age{0};
    units used;
    units requested;
};

// The usage that one entry reports to the others.
struct usage_report {
    base::entry_id from;
    // How long a relaying entry held the report. It may also have waited unread, which this does
    // not include.
    base::micros age{0};
    // Uptime of the sender when it wrote the report.
    base::micros uptime{0};
    // Teams whose count has changed.
    std::vector<usage_count> counts;
};

// Another entry, as known from its reports and the list.
struct peer_entry {
    // Identifies the entry in the accounts.
    std::uint32_t index = 0;
    bool listed = false;
    // When the last report was written; empty if there was none.
    std::optional<base::instant> last_report_at;
    base::sender_clock clock;
    base::instant known_since{};
    bool silent = true;
};

// Another entry's count of one team.
struct remote_count {
    std::uint32_t entry = 0;
    std::int64_t count_id = 0;
    // Age of the count by the sender's clock.
    base::micros age{0};
    std::int64_t used = 0;
    std::int64_t requested = 0;
    // The entry's demand in units per second, and when it was reported.
    double demand = 0.0;
    base::instant at{};
    // Share of the limit that is reserved for the entry while it is silent.
    double reserved = 0.0;
};

// Usage that this entry admitted recently and that other entries may not know of yet.
struct recent_use {
    base::instant at{};
    std::int64_t cost = 0;
};

// A team's bucket as seen by this entry.
struct team_account {
    routes::team_quota limit;
    // Units left in the whole bucket by all known counts; negative if too much was admitted.
    double balance = 0.0;
    base::instant refilled_at{};
    // This entry's own count, and when it started.
    std::int64_t count_id = 0;
    base::instant count_started_at{};
    base::instant changed_at{};
    std::int64_t used = 0;
    std::int64_t requested = 0;
    // Number of requests rejected by this entry.
    std::int64_t refused = 0;
    // Amounts since the last report.
    std::int64_t unreported_requested = 0;
    bool unreported = false;
    base::instant reported_at{};
    double own_demand = 0.0;
    base::instant own_demand_at{};
    std::vector<recent_use> recent_uses;
    // Other entries' counts, ordered by entry index.
    std::vector<remote_count> remote_counts;
};

// Another entry has become silent or reachable.
struct silence_change {
    base::entry_id entry;
    bool silent = false;
};

// One entry's state of all teams' quotas.
struct ledger {
    // When this entry started to count; empty before its first call.
    std::optional<base::instant> started_at;
    // When this entry first appeared on the list of entries, and whether the list can be relied on.
    std::optional<base::instant> listed_at;
    bool settled = false;
    std::uint32_t last_index = 0;
    base::instant silence_checked_at{};
    // Changes not yet returned by `silence_changes`.
    std::vector<silence_change> changes;
    // Indices of the entries that are not silent.
    std::set<std::uint32_t> reachable;
    std::map<base::entry_id, peer_entry> peers;
    std::map<base::team_id, team_account> teams;
};

// Applies the limits of a configuration. Teams without a limit have no account.
void set_limits(ledger& state, const std::vector<routes::team>& teams, base::instant now,
                const quota_rules& rules);

// The entries listed by the platform.
struct listed_entries {
    std::set<base::entry_id> others;
    // Whether this entry is listed, in this incarnation or an earlier one.
    bool includes_self = false;
};
void set_entries(ledger& state, const listed_entries& listed, base::instant now,
                 const quota_rules& rules);

// Whether a request is admitted, and the figures behind the decision.
struct decision {
    bool admitted = true;
    // When the client may retry a rejected request.
    base::micros retry_after{0};
    // Units left over all entries, the team's demand and granted rate in units per second, and the
    // share of its limit that this entry and those reachable from it may use.
    double balance = 0.0;
    double demand = 0.0;
    double rate = 0.0;
    double share = 1.0;
};

// Decides on a request and charges the team if it is admitted. `draw_key`, any number that differs
// between requests, determines which of them are rejected. Teams without an account are always
// admitted.
decision admit(ledger& state, const base::team_id& team, units cost, std::uint64_t draw_key,
               base::instant now, const quota_rules& rules);

// Corrects a charge once it is known how much of the request upstreams ran.
void adjust_charge(ledger& state, const base::team_id& team, units charged, units ran,
                   base::instant now);

// Applies a usage report received from another entry directly or through a relay.
void apply_report(ledger& state, const usage_report& report, base::instant now,
                  const quota_rules& rules);

// How long this entry has been counting.
base::micros uptime(const ledger& state, base::instant now);

// Returns the counts that are due for a report: those that changed by enough to matter, or whose
// last report is long ago. Drops counts that have been idle.
std::vector<usage_count> collect_counts(ledger& state, base::instant now, const quota_rules& rules);

// Updates which entries are silent and returns the changes since the last call. To be called
// periodically.
std::vector<silence_change> silence_changes(ledger& state, base::instant now,
                                            const quota_rules& rules);

// A team's quota status as shown to operators.
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
