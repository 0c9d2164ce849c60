#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "quarantine/request_identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

// Containment of requests that crash each upstream that runs them ("queries of death").
//
// Whatever was under way at an upstream when it crashed is suspect. A suspect runs again, but one
// copy at a time and where it hurts the fewest; a whole answer acquits it. One under which upstream
// after upstream crashes is held back for a while. Time is handed in; nothing here does I/O.
namespace camphorrail::quarantine {

struct quarantine_rules {
    // A request is held back from this much evidence on, where it alone explains the last crash.
    double evidence_threshold = 2.0;
    // The same where another request has as much evidence against it.
    double ambiguous_evidence_threshold = 3.0;
    // An attempt that had been answering for longer than this has run well for a while. Its
    // upstream's crash is half the evidence.
    base::micros stable_after = base::seconds(1);
    double stable_weight = 0.5;
    // Entries have told each other of a crash within this time.
    base::micros report_delay = base::milliseconds(150);
    // Where several other upstreams crash without the request at about the same time, the cause is
    // another one: a host, a power supply, another request.
    std::size_t max_unrelated_crashes = 2;
    base::micros unrelated_crash_window = base::milliseconds(500);
    // Upstreams that are lost together are found to be gone within this time. A copy that is sent
    // on meanwhile may meet another one that is gone already.
    base::micros simultaneous_window = base::milliseconds(50);
    // One that lasted for this long had met an upstream that was alive.
    base::micros min_live_run = base::milliseconds(20);
    // Without a further crash a suspicion ends after this time.
    base::micros suspicion_lifetime = base::minutes(10);
    // A copy that is being tried keeps others waiting for at most this long.
    base::micros max_trial = base::seconds(2);
    // Each further time that it crashes an upstream it is held back for twice as long.
    base::micros initial_duration = base::minutes(10);
    base::micros max_duration = base::minutes(24 * 60);
    std::size_t max_suspects = 512;
    std::size_t max_crashes_per_suspect = 8;
    std::size_t max_crashes = 64;
};

// A request that was under way at an upstream when it crashed.
struct crash_victim {
    request_identity request;
    base::instant sent_at{};
    // When its answer began; nothing where it had not.
    std::optional<base::instant> response_started_at;
};

// A crash as one entry saw it, with its own requests.
struct crash_report {
    base::upstream_instance upstream;
    base::instant at{};
    std::vector<crash_victim> victims;
};

// A crash, with the requests of all entries that have told of it.
struct upstream_crash {
    base::instant at{};
    std::set<base::request_digest> in_flight;
};

// A crash that speaks against a request, and how much.
struct counted_crash {
    base::upstream_instance upstream;
    base::instant at{};
    // When the copy that was there was sent.
    base::instant sent_at{};
    double weight = 1.0;
};

// What is known of one suspect.
struct suspect {
    request_identity request;
    // Each under a copy that was sent later than the moment of the crash before.
    std::vector<counted_crash> crashes;
    // What is left against it of the time before it was last held back.
    double prior_evidence = 0.0;
    // Its last crash, or when it was last let go.
    base::instant last_event_at{};
    // A copy that is sent before this would prove nothing.
    base::instant retry_not_before{};
    // Until when a copy of it is being tried, and where.
    base::instant trial_until{};
    base::upstream_id trial_upstream;
    // Until when it is held back, if it is, and for how long in all, also the last time.
    std::optional<base::instant> quarantined_until;
    base::micros duration{0};
    // It is known from a record alone, which says for how long and not since when: it ends then at
    // the latest.
    bool end_unknown = false;
};

struct quarantine {
    std::map<base::request_digest, suspect> suspects;
    std::map<base::upstream_instance, upstream_crash> crashes;
};

// A request that is held back from now on.
struct quarantined_request {
    request_identity request;
    base::micros span{0};
    std::size_t crashes = 0;
    // It may end before that.
    bool end_unknown = false;
};

// Takes what an entry saw of a crash, this one or another.
void record_crash(quarantine& state, const crash_report& report, base::instant now,
                  const quarantine_rules& rules);

// Decides whom to hold back; to be asked every so often. Gives those that are held back from now
// on.
std::vector<quarantined_request> decide_quarantines(quarantine& state, base::instant now,
                                                    const quarantine_rules& rules);

// Takes another's word that a request is held back, for as long as `span` from now on.
void impose(quarantine& state, const request_identity& request, base::micros span,
            base::instant now, const quarantine_rules& rules);

// Takes a record that a request is held back, for as long as `span` from when it was written. Where
// nothing else is known of it, it holds for that long from now, or until another's word of its end.
void impose_from_record(quarantine& state, const request_identity& request, base::micros span,
                        base::instant now, const quarantine_rules& rules);

// Whether a request with a body of this size may be a suspect; if not, it needs no identity.
bool may_be_suspect(const quarantine& state, std::size_t body_bytes);

enum class verdict {
    // Nothing is known against it.
    allowed,
    // It may run, as a trial.
    trial,
    // A copy of it is being tried, or its last crash is not decided yet.
    deferred,
    quarantined,
};

struct evaluation {
    verdict what = verdict::allowed;
    // When it may be worth to ask again; for `wait` and `held`.
    base::micros retry_after{0};
};

evaluation evaluate(const quarantine& state, const base::request_digest& request, base::instant now,
                    const quarantine_rules& rules);

// A suspect is sent to an upstream; `end_trial` where it has left it again.
void begin_trial(quarantine& state, const base::request_digest& request,
                 const base::upstream_id& upstream, base::instant now,
                 const quarantine_rules& rules);
void end_trial(quarantine& state, const base::request_digest& request);

// An upstream has answered it whole. One that is held back stays so until its time is over.
void clear_suspicion(quarantine& state, const base::request_digest& request, base::instant now);

// Upstreams at which a suspect is being tried.
std::vector<base::upstream_id> upstreams_with_trials(const quarantine& state, base::instant now);

// Requests that are held back, with what is left of their time.
std::vector<quarantined_request> quarantined_requests(const quarantine& state, base::instant now);

// Lets go those whose time is over, and forgets what is too old to matter.
void expire(quarantine& state, base::instant now, const quarantine_rules& rules);

} // namespace camphorrail::quarantine
