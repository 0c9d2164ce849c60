#pragma once

#include <cstdint>

namespace camphorrail::fleet {

// What one request puts on an upstream.
struct request_work {
    // Prompt tokens, and how many of them are probably not cached there.
    std::int64_t prompt_tokens = 0;
    std::int64_t uncached_tokens = 0;
    // It would be lost if the upstream cut it off.
    bool non_retryable = false;
    // It belongs to the lane for short prompts; see kvcache/lanes.h.
    bool short_prompt = false;
};

// What all requests of one entry put on an upstream.
struct workload {
    std::int64_t in_flight = 0;
    // Prompt tokens that wait to be read.
    std::int64_t pending_prefill_tokens = 0;
    // Prompt tokens that the upstream's memory holds or will hold next.
    std::int64_t kv_tokens = 0;
    std::int64_t non_retryable = 0;
    std::int64_t short_prompts = 0;

    workload& operator+=(const workload& other);
};

// A request is sent to the upstream.
void add_request(workload& load, const request_work& work);

// Its first byte has come: the prompt is read.
void record_first_byte(workload& load, const request_work& work);

// It has ended, or is called off; `begun` where its first byte had come.
void remove_request(workload& load, const request_work& work, bool first_byte_received);

} // namespace camphorrail::fleet
