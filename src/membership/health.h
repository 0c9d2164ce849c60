#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::membership {

// An entry's view of the health of one upstream. It can only exclude the upstream from new work;
// whether an upstream exists and serves is defined by the configuration alone.
struct health {
    int consecutive_failures = 0;
    int consecutive_ejections = 0;
    // Exponentially weighted failure rate of recent attempts.
    double failure_rate = 0.0;
    base::instant ejected_until{};
    // When the engine last restarted with an empty cache.
    base::instant restarted_at{};
    std::int64_t engine_incarnation = 0;
    // The upstream is draining according to its agent, or according to the platform's list of VMs.
    bool draining = false;
    bool listed_draining = false;
};

struct health_rules {
    int failures_to_eject = 3;
    base::micros base_ejection = base::seconds(1);
    base::micros max_ejection = base::seconds(30);
    base::micros slow_start = base::seconds(5);
    // Failure rate at which an upstream is ejected, since one that fails every second call never
    // fails many in a row. With a smoothing factor of 0.15, three failures among four calls reach
    // 0.3; a service that fails one call in ten does not reach it. Values above 1 disable this
    // ejection.
    double ejection_failure_rate = 2.0;
    double smoothing_factor = 0.15;
    // The failure rate is lowered to this on ejection, so that one more failure ejects the upstream
    // again.
    double probation_failure_rate = 0.2;
};

void record_success(health& state, const health_rules& rules = {});

// Records a failed attempt. After several consecutive failures the upstream is ejected, for twice
// as long each time.
void record_failure(health& state, base::instant now, const health_rules& rules);

// Records a response that reports an error. A healthy service may fail some calls, several in a row
// among them, so only the failure rate counts.
void record_error(health& state, base::instant now, const health_rules& rules);

// Records the engine incarnation of a report. Returns true if the engine has restarted, so that all
// cache hints of it are invalid.
bool record_incarnation(health& state, std::int64_t engine_incarnation, base::instant now);

// Ends an ejection, after another entry has been served by the upstream.
void end_ejection(health& state, base::instant now);

// Whether new work may be sent to the upstream.
bool is_usable(const health& state, base::instant now);

// Share of its usual load that a restarted upstream should get, from 0 just after the restart to 1
// after the slow start.
double slow_start_factor(const health& state, base::instant now, const health_rules& rules);

} // namespace camphorrail::membership
