#include "fleet/workload.h"

namespace camphorrail::fleet {

workload& workload::operator+=(const workload& other) {
    this->in_flight += other.in_flight;
    this->pending_prefill_tokens += other.pending_prefill_tokens;
    this->kv_tokens += other.kv_tokens;
    this->non_retryable += other.non_retryable;
    this->short_prompts += other.short_prompts;
    return *this;
}

void add_request(workload& load, const request_work& work) {
    ++load.in_flight;
    load.non_retryable += work.non_retryable ? 1 : 0;
    load.short_prompts += work.short_prompt ? 1 : 0;
    load.pending_prefill_tokens += work.uncached_tokens;
    load.kv_tokens += work.prompt_tokens;
}

void record_first_byte(workload& load, const request_work& work) {
    load.pending_prefill_tokens -= work.uncached_tokens;
}

void remove_request(workload& load, const request_work& work, bool first_byte_received) {
    if (!first_byte_received) {
        record_first_byte(load, work);
    }
    --load.in_flight;
    load.non_retryable -= work.non_retryable ? 1 : 0;
    load.short_prompts -= work.short_prompt ? 1 : 0;
    load.kv_tokens -= work.prompt_tokens;
}

} // namespace camphorrail::fleet
