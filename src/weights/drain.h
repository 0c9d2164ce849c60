#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::weights {

// An upstream that is about to change its weights and gets nothing new any more.
struct drain_progress {
    // For how long it has been getting nothing new.
    base::micros elapsed{0};
    // Calls under way there that would be lost if it cut them off.
    std::int64_t non_retryable = 0;
};

struct drain_rules {
    // Most of what takes about as long as a prompt's reading ends within this time.
    base::micros min_duration = base::milliseconds(400);
    // Calls that may not be cut off are waited for up to this time; from then on the upstream
    // itself finishes them before it changes.
    base::micros max_duration = base::milliseconds(1200);
    // From this part of their slots on, the upstreams that go on serving can't take over what one
    // of them cuts off.
    double crowded_utilization = 0.5;
};

// Whether the change may be ordered now.
//
// Answers that may go on elsewhere are not waited for. They take several seconds, and an upstream
// that finishes them serves nobody else meanwhile: a pool that has lost some of its upstreams would
// lose a third of the rest for as long as the new weights go through it.
bool is_drained(const drain_progress& one, const drain_rules& rules);

// A pool of which one upstream is about to change its weights.
struct pool_load {
    // Requests under way at all of its upstreams.
    std::int64_t in_flight = 0;
    // Requests that the others can run at once, without those that are in change or out of order.
    std::int64_t slots = 0;
};

// Whether an upstream's running requests had better go on under the new weights. Drained one after
// the other, the upstreams of a pool that has hardly any slots left would have requests wait at the
// rest until they are late, or be refused.
bool is_crowded(const pool_load& pool, const drain_rules& rules);

} // namespace camphorrail::weights
