#include "fleet/workload.h"

namespace camphorrail::fleet {

workload& workload::operator+=(const workload& other) {
    this->in_flight += other.in_flight;
    this->pending_prefill_tokens += other.pending_prefill_tokens;
    this->kv_tokens += other.kv_tokens;
    this->non_retryable += other.non_retryable;
    this->short_prompts += other.short_prompts;
    this->queue += other.queue;
    return *this;
}

void add_request(workload& load, const request_work& work) {
    ++load.in_flight;
    load.non_retryable += work.non_retryable ? 1 : 0;
    load.short_prompts += work.short_prompt ? 1 : 0;
    load.pending_prefill_tokens += work.uncached_tokens;
    load.kv_tokens += work.prompt_tokens;
    if (work.rank) {
        queueing::add_request(load.queue, *work.rank, work.uncached_tokens);
    }
}

void record_first_byte(workload& load, const request_work& work) {
    load.pending_prefill_tokens -= work.uncached_tokens;
    if (work.rank) {
        queueing::record_first_byte(load.queue, *work.rank, work.uncached_tokens);
    }
}

void remove_request(workload& load, const request_work& work, bool first_byte_received) {
    if (!first_byte_received) {
        record_first_byte(load, work);
    }
    --load.in_flight;
    load.non_retryable -= work.non_retryable ? 1 : 0;
    load.short_prompts -= work.short_prompt ? 1 : 0;
    load.kv_tokens -= work.prompt_tokens;
    if (work.rank) {
        queueing::remove_request(load.queue);
    }
}

queueing::work_ahead work_ahead(const workload& load, std::optional<queueing::rank> rank) {
    const queueing::work_ahead total{load.in_flight, load.pending_prefill_tokens};
    return rank ? queueing::ahead_of(load.queue, total, *rank) : total;
}

} // namespace camphorrail::fleet
