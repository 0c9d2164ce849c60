#pragma once

#include "queueing/rank_queue.h"

#include <cstdint>
#include <optional>

namespace camphorrail::fleet {

// The load that one request puts on an upstream.
struct request_work {
    // Prompt tokens, and how many of them are probably not cached at the upstream.
    std::int64_t prompt_tokens = 0;
    std::int64_t uncached_tokens = 0;
    // The request would be lost if the upstream interrupted it.
    bool non_retryable = false;
    // The request belongs to the lane for short prompts; see kvcache/lanes.h.
    bool short_prompt = false;
    // Empty if upstreams do not admit by rank as far as this entry is concerned.
    std::optional<queueing::rank> rank;
};

// The load that all requests of one entry put on an upstream.
struct workload {
    std::int64_t in_flight = 0;
    // Prompt tokens that wait for prefill.
    std::int64_t pending_prefill_tokens = 0;
    // Prompt tokens that the upstream's KV memory holds or is about to hold.
    std::int64_t kv_tokens = 0;
    std::int64_t non_retryable = 0;
    std::int64_t short_prompts = 0;
    // The requests that wait for their first byte, by rank.
    queueing::rank_queue queue;

    workload& operator+=(const workload& other);
};

// Adds a request that is sent to the upstream.
void add_request(workload& load, const request_work& work);

// Records the first response byte, by which the prompt has been read.
void record_first_byte(workload& load, const request_work& work);

// Removes a request that has ended or was cancelled.
void remove_request(workload& load, const request_work& work, bool first_byte_received);

// The work that a new request of the given rank waits for; all of it if the request has none.
queueing::work_ahead work_ahead(const workload& load, std::optional<queueing::rank> rank);

} // namespace camphorrail::fleet
