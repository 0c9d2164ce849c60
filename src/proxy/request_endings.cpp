#include "proxy/request_flow.h"

// Decides whether a response that has ended is complete.
//
// An orderly end of a connection says less than a length or a last chunk: the kernel ends the
// connections of a process that crashes in the same way.
namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr int first_refusal_status = 300;
// A connection to an upstream that is there is established within one round trip, and one to an
// upstream that is about to end does not stand for long.
constexpr adapters::probe_limits end_probe_limits{base::milliseconds(250), base::milliseconds(20)};
// The first connection request may be lost on the way.
constexpr int max_end_probes = 2;

} // namespace

bool request_flow::is_stream_response() const {
    return this->current->head.status < first_refusal_status &&
           this->request.route->kind == routes::request_kind::stream;
}

void request_flow::on_response_end() {
    const auto self = this->shared_from_this();
    this->log_end_by_close();
    if (this->current->metadata.not_run) {
        this->on_upstream_refusal();
    } else if (this->is_cut_stream()) {
        this->on_attempt_failed(call_failure::incomplete);
    } else if (this->current->head.ends_with_close) {
        this->verify_end();
    } else {
        this->on_response_complete();
    }
}

// Whether the response has ended before its stream has. A stream has at least one event, unless it
// was resumed after its last one.
bool request_flow::is_cut_stream() const {
    if (!this->is_stream_response()) {
        return false;
    }
    const bool is_resumed =
        !this->relay.last_event_id.empty() || !this->metadata.last_event_id.empty();
    const bool may_be_empty = is_resumed && !this->current->head.ends_with_close;
    const bool lacks_events = !this->current->response_started && !may_be_empty;
    return lacks_events || stream::ends_within_event(this->relay.splitter);
}

void request_flow::log_end_by_close() {
    if (!this->current->head.ends_with_close) {
        return;
    }
    this->context.log.line(importance::keep, "answer_ended_by_close")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("upstream", this->current->choice.id.value)
        .number("status", this->current->head.status)
        .text("last_event", this->relay.last_event_id)
        .number("partial_event_bytes", static_cast<std::int64_t>(this->relay.splitter.rest.size()))
        .number("body_bytes", static_cast<std::int64_t>(this->body_buffer.size()))
        .span("after_ms", this->context.now() - this->current->sent_at);
}

// The end of a response that has no length counts only if the upstream outlives it.
void request_flow::verify_end() {
    this->record_first_byte();
    this->stall_timer.clear();
    this->weights_timer.clear();
    this->probe_end(max_end_probes);
}

void request_flow::probe_end(int probes_left) {
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->current->end_probe = std::make_unique<adapters::address_probe>(
        this->context.loop.base(), this->current->choice.address, end_probe_limits,
        [weak, probes_left](adapters::address_state state) {
            if (const auto flow = weak.lock()) {
                flow->on_end_probed(state, probes_left - 1);
            }
        });
}

void request_flow::on_end_probed(adapters::address_state state, int probes_left) {
    const auto self = this->shared_from_this();
    if (state == adapters::address_state::open) {
        this->on_response_complete();
    } else if (state == adapters::address_state::unknown && probes_left > 0) {
        this->probe_end(probes_left);
    } else {
        this->on_attempt_failed(call_failure::end_unverified);
    }
}

// The continuation of a stream says nothing of how long a whole one takes.
void request_flow::record_run_time() {
    if (!this->criteria.resumed) {
        const base::instant now = this->context.now();
        ::camphorrail::proxy::record_run_time(this->context.state.runs, this->request.route->name,
                                              now - this->current->sent_at, now);
    }
}

void request_flow::on_response_complete() {
    ++this->possible_executions;
    this->clear_suspicion();
    if (this->current->head.status < first_refusal_status) {
        this->record_survived_parts();
        this->record_completion();
        this->record_slot_time();
        this->record_run_time();
    }
    if (this->state != response_state::streaming) {
        this->on_full_response();
        return;
    }
    if (!this->is_stream_response()) {
        this->on_resume_failed();
        return;
    }
    const int status = this->current->head.status;
    record_upstream_success(this->context, instance_of(this->current->choice));
    this->end_attempt();
    this->exchange->finish();
    this->finish("ok", status);
}

} // namespace camphorrail::proxy
