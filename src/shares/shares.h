#pragma once

#include "base/ids.h"
#include "base/sender_clock.h"
#include "base/units.h"
#include "routes/operators_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Shares of teams in overloaded pools, without a central counter.
//
// The unit is slot time: a team that keeps one slot of an upstream busy uses one slot. Each entry
// counts the slot time that it was asked for and that it admitted, by team and pool, and reports it
// to the others. Each computes all teams' shares from these counts by weighted max-min fairness.
// While a pool is overloaded, every entry admits the same fraction of the requests of a team that
// asks for more than its share. Time is passed in; nothing here does I/O.
namespace camphorrail::shares {

struct share_rules {
    // In-flight requests per usable slot at which a pool becomes overloaded, that teams beyond
    // their shares are held to meanwhile, and at which overload ends if demand has dropped, or even
    // if it has not. Below the first, no request waits for a slot; the second keeps over nine
    // tenths of the pool used in spite of late reports.
    double enter_load = 1.0;
    double target_load = 0.98;
    double leave_load = 0.9;
    double always_leave_load = 0.7;
    // The rate granted to teams beyond their shares changes by this factor for each unit that the
    // load is off the target.
    double load_gain = 1.5;
    double min_grant = 0.25;
    double max_grant = 2.0;
    // A pool may complete less than one second of expected slot time in a second and slot, since
    // requests get longer, or since other resources bind. If the load does not fall below its
    // average over the window although teams beyond their shares get the least, the capacity is
    // corrected at this rate per second for each unit that the load is off the target.
    double correction_gain = 0.1;
    base::micros load_window = base::seconds(1);
    double min_correction = 0.5;
    // Teams' weights are at least this fraction of the mean.
    double min_weight = 0.25;
    // Demand is averaged over this time. Lent capacity has to be returned within a second.
    base::micros demand_window = base::milliseconds(500);
    // An entry that has just started divides its counts by the time since then, but by no less than
    // this.
    base::micros min_demand_time = base::milliseconds(50);
    // What a team has used beyond its share counts for up to this time, and is worked off within
    // it. What it has not used counts for longer, since the requests of a team within its share
    // arrive at random.
    base::micros balance_time = base::milliseconds(500);
    base::micros credit_time = base::milliseconds(1000);
    // Shares and overload are computed at most this often, since that reads all counts.
    base::micros update_interval = base::milliseconds(20);
    // They are computed earlier if this entry has admitted requests for this fraction of the slots
    // since, or many that arrive at once would all be admitted.
    double early_update_fraction = 0.02;
    // An entry without a report for this long is treated as silent. Reports are rarer with more
    // entries. The part of a pool that this entry uses is remembered while all reports are recent.
    base::micros silence_timeout = base::milliseconds(600);
    base::micros recent_report_age = base::milliseconds(200);
    // This entry's part of a pool is averaged over this time, so that it hardly changes until an
    // entry that has been partitioned notices that.
    base::micros part_window = base::seconds(2);
    base::micros timeout_per_entry = base::milliseconds(5);
    // Listed entries that have sent no counts this long after this entry started do not take part:
    // they are of an older build. Until then this entry uses no more than an even part of a pool,
    // since reports lag behind what entries that start together admit at once.
    base::micros settling_time = base::seconds(1);
    // The least part of a pool that a partitioned entry may use, as a fraction of an even part.
    double min_part = 0.25;
    // Counts are reported this often, and repeated in case a report was lost.
    base::micros report_interval = base::milliseconds(140);
    base::micros report_refresh_interval = base::seconds(1);
    // Counts that have not changed for this long are dropped.
    base::micros idle_timeout = base::seconds(5);
    // Bounds the memory for other entries' counts, to 0.8 MB. Counts beyond it are ignored.
    std::size_t max_remote_counts = 25'000;
    // Bounds of the time over which the retries of refused clients are spread, and the largest part
    // of the client's time left that a retry may wait.
    base::micros min_retry_spread = base::milliseconds(100);
    base::micros max_retry_spread = base::seconds(10);
    double max_retry_part = 1.0 / 3;
};

// A cumulative amount of slot time in milliseconds, which wraps around.
using cumulative_ms = std::uint32_t;

// One entry's slot time of one team in one pool since its count started.
struct usage_count {
    base::team_id team;
    base::pool_id pool;
    // Uptime of the entry in milliseconds at which the count started.
    std::uint32_t count_id = 0;
    cumulative_ms requested = 0;
    cumulative_ms admitted = 0;

    bool operator==(const usage_count&) const = default;
};

// The counts that one entry reports to the others.
struct usage_report {
    base::entry_id from;
    // How long relaying entries held the report.
    base::micros age{0};
    // Uptime of the sender when it wrote the report.
    base::micros uptime{0};
    // Counts that have changed.
    std::vector<usage_count> counts;
};

// Slot time per time, that is slots, with exponential decay.
struct usage_rate {
    float requested = 0.0F;
    float admitted = 0.0F;
};

// Another entry's count of one team.
struct remote_count {
    std::uint32_t entry = 0;
    std::uint32_t count_id = 0;
    cumulative_ms requested = 0;
    cumulative_ms admitted = 0;
    usage_rate rate;
    base::instant at{};
};

// One team in one pool, as seen by this entry.
struct team_account {
    // This entry's own count.
    std::uint32_t count_id = 0;
    cumulative_ms requested = 0;
    cumulative_ms admitted = 0;
    base::instant changed_at{};
    base::instant reported_at{};
    bool unreported = false;
    usage_rate own_rate;
    base::instant own_rate_at{};
    // Other entries' counts, ordered by entry index.
    std::vector<remote_count> remote_counts;
    // Figures over all entries in slots, as last computed. The share is empty if the capacity
    // covers all demands.
    double demand = 0.0;
    double use = 0.0;
    std::optional<double> share;
    // What the team may use at present, which differs from the share if it asks for more: less
    // while the pool works off a backlog, more while slots are free.
    double granted = 0.0;
    // Slot time in milliseconds that the team has not used of what it was granted; negative if it
    // has used more.
    double balance = 0.0;
    std::int64_t refused = 0;
};

struct pool_account {
    std::map<base::team_id, team_account> teams;
    base::instant updated_at{};
    // Usable slots, and requests that this entry has admitted since the update.
    double slots = 0.0;
    double admitted_since = 0.0;
    bool overloaded = false;
    // In-flight requests per usable slot.
    double load = 0.0;
    double average_load = 0.0;
    double correction = 1.0;
    // The part of the admitted slot time over all entries that this entry admits; empty if unknown.
    std::optional<double> part;
};

// Another entry that takes part.
struct peer_entry {
    std::uint32_t index = 0;
    base::sender_clock clock;
    base::instant last_report_at{};
    base::micros uptime{0};
    bool silent = false;
};

// One entry's state of all teams' shares.
struct share_table {
    std::optional<base::instant> started_at;
    std::map<base::pool_id, pool_account> pools;
    std::map<base::entry_id, peer_entry> peers;
    std::set<base::entry_id> listed;
    std::uint32_t last_index = 0;
    std::size_t remote_count_total = 0;
    base::instant next_report{};
    // By team; 1 if missing.
    std::map<base::team_id, double> weights;
};

// Derives teams' weights from their quotas, each relative to the mean of the quotas in its unit.
// Teams without a quota have the weight 1.
void set_teams(share_table& state, const std::vector<routes::team>& teams);

// How long this entry has been counting.
base::milliseconds uptime(const share_table& state, base::instant now);

// The other entries that the platform lists.
void set_entries(share_table& state, const std::set<base::entry_id>& others, base::instant now,
                 const share_rules& rules);

// The usable slots of a pool and the requests of all entries that are in flight there.
struct pool_load {
    std::int64_t slots = 0;
    std::int64_t in_flight = 0;
    // Those of this entry.
    std::int64_t own_in_flight = 0;
};

// Whether the pool's shares have to be computed again before a decision, by `update_pool`.
bool is_update_due(const share_table& state, const base::pool_id& pool, base::instant now,
                   const share_rules& rules);

// Computes whether the pool is overloaded and all shares of it. Returns whether the former changed.
bool update_pool(share_table& state, const base::pool_id& pool, const pool_load& load,
                 base::instant now, const share_rules& rules);

struct share_request {
    base::team_id team;
    base::pool_id pool;
    // The time in a slot that the request is expected to take.
    base::milliseconds slot_time{0};
    // Any number that differs between requests; determines which of them are refused.
    std::uint64_t draw_key = 0;
    base::micros time_left{0};
    // The request continues an earlier one, so it is counted and never refused.
    bool resumes = false;
};

// Whether a request is admitted, and the figures behind the decision, in slots.
struct decision {
    bool admitted = true;
    base::micros retry_after{0};
    double share = 0.0;
    double use = 0.0;
    double demand = 0.0;
    double load = 0.0;
};

// Decides on a request and charges the team if it is admitted.
decision admit(share_table& state, const share_request& request, base::instant now,
               const share_rules& rules);

// Returns the charge of an admitted request that no upstream has run.
void return_charge(share_table& state, const share_request& request, base::instant now,
                   const share_rules& rules);

// Applies a report received from another entry directly or through a relay.
void apply_report(share_table& state, const usage_report& report, base::instant now,
                  const share_rules& rules);

// Returns the counts that are due for a report, and drops idle ones.
std::vector<usage_count> collect_counts(share_table& state, base::instant now,
                                        const share_rules& rules);

// Whether so many entries have become silent that this one has probably been partitioned from them.
bool is_partitioned(const share_table& state, base::instant now, const share_rules& rules);

// The number of other entries that take part and are not silent.
std::size_t heard_entries(const share_table& state);

// A team's status in a pool as shown to operators, in slots. The share is negative if there is
// none, since the pool covers all demands.
struct share_status {
    base::team_id team;
    base::pool_id pool;
    double share = -1.0;
    double use = 0.0;
    double demand = 0.0;
};
std::vector<share_status> share_statuses(const share_table& state);

} // namespace camphorrail::shares
