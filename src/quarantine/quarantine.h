#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "quarantine/request_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Quarantine of requests that crash every upstream that runs them ("queries of death"), and of
// parts of prompts that crash every upstream that begins to respond to a prompt with them.
//
// Every request in flight at an upstream when it crashes becomes a suspect. A suspect may run
// again, but only one copy at a time and on the upstream where a crash would affect the fewest
// other requests; a complete response clears it. A request under which several upstreams crash in
// turn is quarantined for a while.
//
// Different requests may share a prompt part that crashes upstreams. The parts of each request that
// had not begun to respond at a crash become suspects as well, and any response that begins clears
// the parts of its prompt. What several different requests have in common that crash upstreams in
// turn is quarantined; a request that was in flight alone is not enough to blame its parts.
//
// A part that most prompts share, or a popular request, is in flight at most crashes, whatever
// their cause. Crashes count less against what upstreams have survived before, and a quarantined
// part is tried once more after a pause, since nothing else could show that it is harmless.
//
// The caller passes the current time; nothing here does I/O.
namespace camphorrail::quarantine {

struct quarantine_rules {
    // Evidence at which a request is quarantined if it alone explains the last crash.
    double evidence_threshold = 2.0;
    // Evidence at which it is quarantined although another request has as much evidence against it.
    double ambiguous_evidence_threshold = 3.0;
    // A response that had been running for longer than this when the upstream crashed is less
    // likely to be the cause: the crash counts with `stable_weight` instead of 1.
    base::micros stable_after = base::seconds(1);
    double stable_weight = 0.5;
    // Time within which the entries have received each other's reports of a crash.
    base::micros report_delay = base::milliseconds(150);
    // If more than this many other upstreams crash without the request within the window below, the
    // cause lies elsewhere: a host, a power supply or another request.
    std::size_t max_unrelated_crashes = 2;
    base::micros unrelated_crash_window = base::milliseconds(500);
    // Upstreams that fail together are detected as failed within this time. A copy that is resent
    // within it may reach another upstream that has already failed.
    base::micros simultaneous_window = base::milliseconds(50);
    // A copy that ran for at least this long had reached a live upstream.
    base::micros min_live_run = base::milliseconds(20);
    // A suspicion expires after this time without a further crash.
    base::micros suspicion_lifetime = base::minutes(10);
    // Longest time that a trial of one copy defers other copies of the same request.
    base::micros max_trial = base::seconds(2);
    // The quarantine lasts twice as long each further time the request crashes an upstream.
    base::micros initial_duration = base::minutes(10);
    base::micros max_duration = base::minutes(24 * 60);
    // A response that an upstream has begun and survived for this long shows that the parts of its
    // prompt crash no upstream.
    base::micros survival_time = base::milliseconds(200);
    // A crash counts by this factor against a request that upstreams have completed, or a part that
    // they have survived, for the last time no longer than `survival_memory` before.
    double survived_factor = 0.5;
    base::micros survival_memory = base::minutes(10);
    // A quarantined part is tried after this pause if no more upstreams than
    // `max_crashes_before_trial` have crashed under it. The number is divided by `survived_factor`
    // for a part that upstreams have survived before.
    base::micros trial_pause = base::seconds(2);
    std::size_t max_crashes_before_trial = 2;
    // Parts whose survival is remembered, and requests whose completion is, at least; up to twice
    // as many are.
    std::size_t max_survivals = 1024;
    std::size_t max_suspects = 512;
    std::size_t max_crashes_per_suspect = 8;
    std::size_t max_crashes = 64;
    // Requests and prompt parts that are remembered of one crash, over all entries.
    std::size_t max_in_flight = 1024;
};

// A request that was in flight at an upstream when the upstream crashed.
struct crash_victim {
    request_identity request;
    base::instant sent_at{};
    // Empty if no response byte had arrived.
    std::optional<base::instant> response_started_at;
    // The parts of its prompt that other requests may share.
    std::vector<request_identity> parts;
    // Upstreams had completed the same request before.
    bool has_completed = false;
};

// A crash as one entry observed it, with that entry's requests only.
struct crash_report {
    base::upstream_instance upstream;
    base::instant at{};
    std::vector<crash_victim> victims;
    // The victims, and parts of their prompts, that upstreams had survived before.
    std::vector<base::request_digest> survived = {};
};

// A crash with the requests, and the parts of their prompts, of all entries that have reported it.
struct upstream_crash {
    base::instant at{};
    std::set<base::request_digest> in_flight;
};

// A crash counted as evidence against a request, with its weight.
struct counted_crash {
    base::upstream_instance upstream;
    base::instant at{};
    // When the copy that was in flight at the crash was sent, and which request it was.
    base::instant sent_at{};
    base::request_digest request;
    double weight = 1.0;
};

// The evidence against one request or prompt part, and the state of its trial and quarantine.
struct suspect {
    request_identity request;
    // Independent crashes: each under a copy that was sent after the previous crash, and under a
    // different request if the suspect is a prompt part.
    std::vector<counted_crash> crashes;
    // Evidence carried over from before its last quarantine.
    double prior_evidence = 0.0;
    // The last crash, or the end of the last quarantine.
    base::instant last_event_at{};
    // A copy sent earlier than this could not be counted as independent evidence.
    base::instant retry_not_before{};
    // End of the trial in progress, and the upstream that runs it.
    base::instant trial_until{};
    base::upstream_id trial_upstream;
    // End of the quarantine, empty if there is none, and the duration of the current or last one.
    std::optional<base::instant> quarantined_until;
    base::micros duration{0};
    // When this entry learned of the last quarantine.
    base::instant quarantined_at{};
    // The quarantine is known only from a stored record, which has its duration but not its start,
    // so `quarantined_until` is an upper bound.
    bool end_unknown = false;
};

// When upstreams last survived something. Once there are many, the older half is forgotten.
template <class Key>
struct survival_times {
    std::map<Key, base::instant> recent;
    std::map<Key, base::instant> older;
};

struct quarantine {
    std::map<base::request_digest, suspect> suspects;
    std::map<base::upstream_instance, upstream_crash> crashes;
    // Prompt parts, and requests that crash reports have named as completed before.
    survival_times<base::request_digest> survivals;
    // Requests that this entry has seen completed.
    survival_times<request_fingerprint> completions;
    // How much later than the first entry this one tries quarantined parts, so that a part that is
    // to blame crashes one upstream more and not one at each entry.
    base::micros trial_turn{0};
};

// A quarantined request with the remaining time of its quarantine.
struct quarantined_request {
    request_identity request;
    base::micros span{0};
    std::size_t crashes = 0;
    // The quarantine may end earlier than after `span`.
    bool end_unknown = false;
};

// Records a crash report of this or another entry.
void record_crash(quarantine& state, const crash_report& report, base::instant now,
                  const quarantine_rules& rules);

// Decides which suspects to quarantine and returns the newly quarantined requests. To be called
// periodically.
std::vector<quarantined_request> decide_quarantines(quarantine& state, base::instant now,
                                                    const quarantine_rules& rules);

// Applies a quarantine decided by another entry, which lasts for `span` from now.
void impose(quarantine& state, const request_identity& request, base::micros span,
            base::instant now, const quarantine_rules& rules);

// Applies a quarantine from a stored record, which lasts for `span` from the time of writing. If
// the request is not already quarantined, the quarantine lasts for `span` from now or until another
// entry reports its end.
void impose_from_record(quarantine& state, const request_identity& request, base::micros span,
                        base::instant now, const quarantine_rules& rules);

// Whether a request with a body of this size may be a suspect. If not, its identity need not be
// computed.
bool may_be_suspect(const quarantine& state, std::size_t body_bytes);

// Whether any prompt part is a suspect. If not, those of a request need not be identified.
bool has_suspected_parts(const quarantine& state);

// Whether there is any evidence against a request or a part of its prompt.
bool is_suspect(const quarantine& state, const request_suspects& request);

enum class verdict {
    // There is no evidence against the request.
    allowed,
    // The request may run as a trial.
    trial,
    // A copy of the request is on trial, or reports about its last crash are still due.
    deferred,
    quarantined,
};

struct evaluation {
    verdict what = verdict::allowed;
    // When to ask again; set for `deferred` and `quarantined`.
    base::micros retry_after{0};
    // The suspect that decides, if the request is not allowed.
    base::request_digest suspect;
};

evaluation evaluate(const quarantine& state, const base::request_digest& request, base::instant now,
                    const quarantine_rules& rules);

// Evaluates a request together with the parts of its prompt; the strictest verdict counts. Where
// another quarantined part or request was in flight at all crashes of a quarantined part, a request
// that lacks it may run as a trial: it shows whether the part is to blame.
evaluation evaluate(const quarantine& state, const request_suspects& request, base::instant now,
                    const quarantine_rules& rules);

// Marks that a suspect is sent to an upstream, and that its attempt there has ended.
void begin_trial(quarantine& state, const base::request_digest& request,
                 const base::upstream_id& upstream, base::instant now,
                 const quarantine_rules& rules);
void begin_trial(quarantine& state, const request_suspects& request,
                 const base::upstream_id& upstream, base::instant now,
                 const quarantine_rules& rules);
void end_trial(quarantine& state, const base::request_digest& request);
void end_trial(quarantine& state, const request_suspects& request);

// Removes the suspicion after a complete response. A quarantine that has begun stays until it ends.
void clear_suspicion(quarantine& state, const base::request_digest& request, base::instant now);

// How a prompt part was cleared.
enum class clearance { none, suspicion_removed, quarantine_lifted };

// Removes the suspicion against a prompt part after an upstream has survived the begin of a
// response to it, and remembers that. It also ends the part's quarantine, which was a mistake.
clearance clear_prompt_part(quarantine& state, const base::request_digest& part, base::instant now,
                            const quarantine_rules& rules);

// Remembers that an upstream has completed a request, and tells whether one has lately.
void record_completion(quarantine& state, const request_fingerprint& request, base::instant now,
                       const quarantine_rules& rules);
bool has_completed(const quarantine& state, const request_fingerprint& request, base::instant now,
                   const quarantine_rules& rules);

// Whether upstreams have survived the begin of a response to a prompt part lately, or completed a
// request, as far as crash reports have said so.
bool has_survived(const quarantine& state, const base::request_digest& digest, base::instant now,
                  const quarantine_rules& rules);

// The upstreams that currently run a trial.
std::vector<base::upstream_id> upstreams_with_trials(const quarantine& state, base::instant now);

// All quarantined requests with their remaining time.
std::vector<quarantined_request> quarantined_requests(const quarantine& state, base::instant now);

// Ends quarantines that are over and removes suspects and crashes that have expired.
void expire(quarantine& state, base::instant now, const quarantine_rules& rules);

} // namespace camphorrail::quarantine
