#pragma once

#include "queueing/admission.h"
#include "queueing/retry_schedule.h"
#include "queueing/service_record.h"
#include "queueing/slot_times.h"

#include <string>

namespace camphorrail::queueing {

// What an entry keeps for admission by rank to one pool. Each entry has its own; nothing of it is
// sent to others.
struct pool_state {
    slot_times times;
    service_record service;
    retry_schedule returns;
};

// A request to one pool, with the expected times at its best upstream.
struct pool_request {
    rank of;
    double wait_ms = 0.0;
    double first_byte_ms = 0.0;
    caller_terms caller;
    std::string route;
    // It would be accepted by its wait and its size alone.
    bool acceptable = false;
};

// The upstreams of a pool that may get requests, and this entry's share of them.
struct pool_size {
    std::int64_t slots = 0;
    std::int64_t upstreams = 0;
    // How long one of them reads the prompt of the request in question.
    double read_ms = 0.0;
    double share = 1.0;
};

// Decides on a request, and records the decision.
ranked_decision admit(pool_state& state, const pool_request& request, base::instant now);

// Schedules the return of a request that is refused.
scheduled_return refuse(pool_state& state, const pool_request& request, const pool_size& size,
                        base::instant now, std::uint64_t draw);

} // namespace camphorrail::queueing
