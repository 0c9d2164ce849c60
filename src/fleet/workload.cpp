#include "fleet/workload.h"

namespace camphorrail::fleet {

workload& workload::operator+=(const workload& more) {
    this->in_flight += more.in_flight;
    this->unread_tokens += more.unread_tokens;
    this->held_tokens += more.held_tokens;
    this->unrepeatable += more.unrepeatable;
    this->short_prompts += more.short_prompts;
    return *this;
}

void begin_work(workload& load, const request_work& work) {
    ++load.in_flight;
    load.unrepeatable += work.unrepeatable ? 1 : 0;
    load.short_prompts += work.short_prompt ? 1 : 0;
    load.unread_tokens += work.to_read;
    load.held_tokens += work.prompt_tokens;
}

void note_begun(workload& load, const request_work& work) {
    load.unread_tokens -= work.to_read;
}

void end_work(workload& load, const request_work& work, bool begun) {
    if (!begun) {
        note_begun(load, work);
    }
    --load.in_flight;
    load.unrepeatable -= work.unrepeatable ? 1 : 0;
    load.short_prompts -= work.short_prompt ? 1 : 0;
    load.held_tokens -= work.prompt_tokens;
}

} // namespace camphorrail::fleet
