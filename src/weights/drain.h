#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::weights {

// An upstream that is about to change its weights and receives no new requests.
struct drain_progress {
    // Time since the upstream last received new requests.
    base::micros elapsed{0};
    // Requests in flight that would be lost if the upstream aborted them, since they can't be
    // retried.
    std::int64_t non_retryable = 0;
};

struct drain_rules {
    // Minimum drain time. Most requests whose duration is dominated by prefill complete within it.
    base::micros min_duration = base::milliseconds(400);
    // Maximum wait for requests that can't be retried; after that, the upstream itself completes
    // them before it changes its weights.
    base::micros max_duration = base::milliseconds(1200);
    // Above this share of taken slots, the remaining upstreams can't take over the requests that
    // one of them aborts.
    double crowded_utilization = 0.5;
};

// Whether the change of weights may be ordered now.
//
// Responses that can be continued on another upstream are not waited for. They take several
// seconds, and a draining upstream gets no new requests: a pool that has lost some of its upstreams
// would lose a third of the remaining ones for the duration of the rollout.
bool is_drained(const drain_progress& one, const drain_rules& rules);

// Load of a pool in which one upstream is about to change its weights.
struct pool_load {
    // Requests in flight at all of the pool's upstreams.
    std::int64_t in_flight = 0;
    // Slots of the other upstreams, without those that are changing weights or out of service.
    std::int64_t slots = 0;
};

// Whether the pool is so loaded that the upstream should change its weights without draining, so
// that its running requests continue on the new weights. If the upstreams of a pool with hardly any
// free slots were drained one after the other, requests would wait at the remaining ones until they
// are late or rejected.
bool is_crowded(const pool_load& pool, const drain_rules& rules);

} // namespace camphorrail::weights
