#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Upstreams that several entries have found to be failing.
namespace camphorrail::outliers {

struct outlier_rules {
    // A report counts towards a quorum for this long, unless a byte refutes it. Entries notice a
    // silent upstream at times that differ by up to one stall limit, which is 1.25 times a route's
    // target of up to 2 s. An entry that has missed reports must get a quorum together from those
    // of the probes, one each second; with 2.5 s it did not where 30% of the messages were lost.
    base::micros report_lifetime = base::milliseconds(4000);
    // How long each entry in turn is the one that probes. Also bounds how long an upstream goes
    // without a probe if the entry whose turn it is has failed.
    base::micros probe_turn = base::seconds(1);
    // A common suspicion ends if nobody has reported a failure for this long: several probes have
    // found nothing wrong, or the message that ended it was lost.
    base::micros suspicion_lifetime = base::seconds(10);
    // The times of bytes that other entries report in their loads are estimated too late by the
    // transit of the report, so a byte must be later than a report by this much to refute it.
    base::micros byte_time_margin = base::milliseconds(250);
    // An entry that reports more upstreams than this, and more than this many times as many as
    // others do, is disregarded.
    std::size_t min_excessive_reports = 4;
    std::size_t excessive_report_factor = 3;
    // The oldest reports are dropped beyond this number.
    std::size_t max_reports = 8192;
};

// Several entries have reported failures of one incarnation of an upstream.
struct common_suspicion {
    base::upstream_incarnation incarnation;
    // When the report that completed the quorum was written, and the latest report since.
    base::instant since{};
    base::instant last_report_at{};
    // The upstream gets no requests; otherwise it is only a second choice.
    bool is_excluded = false;
};

// What one entry knows of the failures that entries report.
struct outlier_state {
    // When each entry last reported a failure of the upstream.
    std::map<base::upstream_instance, std::map<base::entry_id, base::instant>> reports;
    std::map<base::upstream_id, common_suspicion> suspicions;
    // Entries whose reports do not count at present.
    std::set<base::entry_id> disregarded;
};

// An upstream that may be suspected at present.
struct listed_upstream {
    base::upstream_instance instance;
    base::pool_id pool;
    // When a byte of it was last received by any entry, as far as this entry knows.
    base::instant last_byte_at{};
};

struct surroundings {
    base::instant now{};
    // The listed entries, this one included.
    std::vector<base::entry_id> entries;
    // How many other entries this one has links to.
    std::size_t linked_entries = 0;
    std::vector<listed_upstream> upstreams;
};

// Why a common suspicion began or ended.
enum class cause { quorum, byte_received, restarted_or_unlisted, no_more_reports, cut_off };

struct suspicion_change {
    base::upstream_instance upstream;
    cause why = cause::quorum;
    base::instant since{};
    // The number of entries whose reports count.
    std::size_t reporters = 0;
};

// The number of entries that must report an upstream. Grows with the logarithm of the number of
// entries: a larger fleet has more entries whose own network fails at the same time, but must not
// lose more requests before it acts.
std::size_t quorum(std::size_t entries);

// Records that an entry has reported a failure of an upstream.
void record_report(outlier_state& state, const base::upstream_instance& upstream,
                   const base::entry_id& from, base::instant at, const outlier_rules& rules);

// Records that a byte was received from an upstream at that time. Returns the change if that ends a
// common suspicion. Discards the reports made until then.
std::vector<suspicion_change>
record_byte(outlier_state& state, const base::upstream_instance& upstream, base::instant at);

// Updates all common suspicions and returns the changes. To be called after reports and
// periodically.
std::vector<suspicion_change> update(outlier_state& state, const surroundings& now_known,
                                     const outlier_rules& rules);

// The number of turns of probing that have ended since the suspicion began.
std::int64_t probe_turn(const common_suspicion& suspicion, base::instant now,
                        const outlier_rules& rules);

// The entry whose turn it is to probe the upstream: all entries take turns in an order that follows
// from their ids and the upstream's, so that entries with the same list agree without messages.
base::entry_id prober(const base::upstream_id& upstream, std::int64_t turn,
                      const std::vector<base::entry_id>& entries);

const char* name_of(cause why);

} // namespace camphorrail::outliers
