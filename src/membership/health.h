#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::membership {

// What an entry knows of one upstream's fitness. Everything here only ever adds caution: whether an
// upstream exists and serves is said by the configuration alone.
struct health {
    int consecutive_failures = 0;
    int consecutive_ejections = 0;
    // Share of the newest attempts that failed, the newest weighing most.
    double failure_rate = 0.0;
    base::instant ejected_until{};
    // When the engine last came back with an empty cache.
    base::instant restarted_at{};
    std::int64_t engine_incarnation = 0;
    // Its agent, or the platform's list of VMs, says that it is leaving.
    bool draining = false;
    bool listed_draining = false;
};

struct health_rules {
    int failures_to_eject = 3;
    base::micros base_ejection = base::seconds(1);
    base::micros max_ejection = base::seconds(30);
    base::micros slow_start = base::seconds(5);
    // An upstream that fails every second call never fails many in a row. With a weight of 0.15,
    // three failures among four calls reach 0.3; a service that fails one call in ten does not.
    // Above 1: off.
    double ejection_failure_rate = 2.0;
    double smoothing_factor = 0.15;
    // What is left of the share after an ejection: one more failure then ejects again.
    double probation_failure_rate = 0.2;
};

void record_success(health& state, const health_rules& rules = {});

// A failed attempt. After several in a row the upstream gets nothing for a while, twice as long
// each time.
void record_failure(health& state, base::instant now, const health_rules& rules);

// An answer that says the call failed. A sound service may fail some calls, several in a row among
// them, so only the share counts.
void record_error(health& state, base::instant now, const health_rules& rules);

// The engine's life as reported; true when it came back, so that all cache hints of it are void.
bool record_incarnation(health& state, std::int64_t engine_incarnation, base::instant now);

// Whether new work may be sent.
bool is_usable(const health& state, base::instant now);

// From 0 (just back) to 1 (warmed up): how much of its usual load an upstream should get.
double slow_start_factor(const health& state, base::instant now, const health_rules& rules);

} // namespace camphorrail::membership
