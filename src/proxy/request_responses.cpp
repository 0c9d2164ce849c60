#include "proxy/request_flow.h"
#include "proxy/request_limits.h"
#include "proxy/upstream_speeds.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Bytes queued for a slow client above which its upstream is no longer read, and the largest
// response that is buffered before it is sent. A larger response counts as malformed.
constexpr std::size_t max_unsent_bytes = 256U << 10U;
constexpr std::size_t max_buffered_bytes = 8U << 20U;
constexpr int first_error_status = 500;
// Time for which an upstream receives no new requests after it refused one, because it is full or
// because it is changing weights.
constexpr milliseconds overload_pause{40};
constexpr milliseconds loading_pause{250};

} // namespace

bool request_flow::on_response_head(const http::response_head& head) {
    const auto response = this->context.codec.parse_response(head);
    if (response.request_id != this->metadata.request_id) {
        // An upstream may send a second response to an earlier request; the response to this one is
        // still to come.
        this->context.log.line(importance::keep, "foreign_answer_dropped")
            .text("request", this->metadata.request_id)
            .text("upstream", this->current->choice.id.value)
            .text("answers", response.request_id)
            .number("status", head.status);
        return false;
    }
    this->record_byte();
    this->current->head_received = true;
    this->current->head = head;
    this->current->metadata = response;
    record_reported_load(this->context, instance_of(this->current->choice), response);
    this->handle_upstream_signals();
    return true;
}

// Applies the drain and pause signals in the response head at once: the end of the response may be
// far off.
void request_flow::handle_upstream_signals() {
    const auto& response = this->current->metadata;
    const auto upstream = instance_of(this->current->choice);
    if (response.draining &&
        record_drain_report(this->context, upstream, "", this->context.now())) {
        this->context.broadcast_drain(upstream);
    }
    if (response.pause) {
        this->context.log.line(importance::keep, "upstream_wants_pause")
            .text("request", this->metadata.request_id)
            .text("upstream", upstream.id.value)
            .span("pause_ms", *response.pause);
        if (auto* member = this->current_member()) {
            fleet::record_pause(*member, *response.pause, this->context.now());
        }
    }
    this->record_stated_limit();
}

// A response without a limit ends the one that was stated before. A refusal does not: an upstream
// may refuse a request before it gets to where limits are known.
void request_flow::record_stated_limit() {
    const auto& response = this->current->metadata;
    const auto upstream = instance_of(this->current->choice);
    if (response.rate_limit_unreadable) {
        this->context.log.line(importance::keep, "upstream_limit_unreadable")
            .text("request", this->metadata.request_id)
            .text("upstream", upstream.id.value);
        return;
    }
    if (response.wrong_instance || (response.not_run && !response.rate_limit)) {
        return;
    }
    this->context.record_stated_limit(
        upstream, {response.rate_limit, this->current->sent_at, this->context.now()});
}

void request_flow::record_progress() {
    this->last_progress = this->context.now();
    if (auto* member = this->current_member()) {
        member->last_byte_at = this->last_progress;
    }
}

// Records that the upstream has sent something, which ends a common suspicion.
void request_flow::record_byte() {
    this->record_progress();
    if (const auto* member = this->current_member();
        member != nullptr && member->common != fleet::common_suspicion::none) {
        this->context.record_suspect_byte(instance_of(this->current->choice));
    }
}

void request_flow::on_response_body(std::string bytes) {
    this->record_byte();
    if (this->is_stream_response()) {
        this->forward_events(bytes);
        return;
    }
    this->body_buffer += bytes;
    this->update_buffers();
    if (this->body_buffer.size() > max_buffered_bytes) {
        this->on_attempt_failed(call_failure::malformed);
    }
}

void request_flow::forward_events(const std::string& bytes) {
    const std::string complete_events = relay_events(this->relay, bytes);
    if (complete_events.empty()) {
        this->update_buffers();
    } else {
        this->send_events(complete_events);
    }
    if (this->relay.splitter.oversize) {
        this->on_attempt_failed(call_failure::malformed);
    }
}

void request_flow::send_events(const std::string& complete_events) {
    this->record_first_byte();
    this->check_survival();
    this->record_pause();
    if (this->state == response_state::none) {
        this->state = response_state::streaming;
        this->record_origin();
        this->exchange->start(this->current->head.status, client_fields(this->current->head));
    }
    this->exchange->send(complete_events);
    this->start_stall_timer();
    this->update_buffers();
    if (this->exchange->unsent() > max_unsent_bytes) {
        this->pause_reading_if_due(complete_events.size());
    }
}

// The first byte shows that the upstream has processed the prompt and holds its KV cache from now
// on.
void request_flow::record_first_byte() {
    if (this->current->response_started) {
        return;
    }
    this->current->response_started = true;
    this->current->first_byte_at = this->context.now();
    if (auto* member = this->current_member()) {
        fleet::record_first_byte(member->local_work, this->current_work());
    }
    this->report_prompt_read();
    if (!this->time_to_first_byte) {
        this->time_to_first_byte = this->age();
        this->context.metrics.observe_seconds(
            "camphorrail_first_byte_seconds",
            std::chrono::duration<double>(*this->time_to_first_byte).count(),
            {{"kind", this->kind_name()}});
    }
}

// Records gaps in the stream: to a client, a stream that stalls is late however early it began.
void request_flow::record_pause() {
    const base::instant now = this->context.now();
    if (this->state == response_state::streaming) {
        this->longest_pause =
            std::max<base::micros>(this->longest_pause, now - this->last_forwarded_at);
    }
    this->last_forwarded_at = now;
}

// Empty if the upstream changed weights during the attempt, since the latency then does not depend
// on the prompt.
latency::first_byte_sample request_flow::first_byte_sample() const {
    const auto& choice = this->current->choice;
    const auto* member = this->current_member();
    if (member == nullptr || member->weights_change_until > this->current->sent_at) {
        return {};
    }
    const std::chrono::duration<double, std::milli> elapsed =
        this->context.now() - this->current->sent_at;
    const auto prefill_tokens = static_cast<double>(choice.prefill_tokens);
    const auto all_tokens = static_cast<double>(choice.chain.total_tokens());
    return {{prefill_tokens, static_cast<double>(choice.queued_tokens),
             latency::attention_pairs(prefill_tokens, all_tokens)},
            std::max(0.0, elapsed.count() - choice.fetch_ms)};
}

// Records that the upstream holds the prompt, here and for the report to the other entries.
void request_flow::report_prompt_read() {
    const auto& choice = this->current->choice;
    const auto& chain = choice.chain;
    const bool is_same_instance = this->current_member() != nullptr;
    if (!is_same_instance || chain.shared_tokens() < kvcache::min_tracked_tokens) {
        return;
    }
    kvcache::prompt_prefill read;
    for (const auto& level : chain.levels) {
        read.levels.push_back({level.key, level.part_tokens});
    }
    read.unshared_tokens = chain.unshared_tokens;
    read.weights = choice.weights;
    read.shared_space = chain.shared_space;
    read.engine = instance_of(choice);
    read.saved = !choice.save_to.empty();
    read.first_byte = this->first_byte_sample();
    proxy::record_prompt_read(this->context, read);
    this->context.state.unreported_reads.push_back(std::move(read));
}

// The time from the first byte to the end, and for reading the prompt before. A wait in the
// upstream's queue takes no slot.
void request_flow::record_slot_time() {
    using ms = std::chrono::duration<double, std::milli>;
    const auto& attempt = *this->current;
    const bool is_needed = this->criteria.rank || this->charged_share;
    if (!is_needed || !attempt.response_started) {
        return;
    }
    const ms streamed = this->context.now() - attempt.first_byte_at;
    const ms until_first_byte = attempt.first_byte_at - attempt.sent_at;
    const double reading =
        std::min(until_first_byte.count(), attempt.choice.first_byte_ms - attempt.choice.wait_ms);
    queueing::record_slot_time(this->context.state.queueing[this->criteria.pool].times,
                               this->request.route->name, streamed.count() + std::max(reading, 0.0),
                               this->context.now());
}

// An upstream that was asked to resume a stream responded with an error. The response is complete
// but the stream is not: it resumes at another upstream or is aborted.
void request_flow::on_resume_failed() {
    const auto upstream = instance_of(this->current->choice);
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("upstream", upstream.id.value)
        .text("why", "error_answer")
        .flag("answer_begun", this->current->head_received)
        .text("last_event", this->relay.last_event_id)
        .span("after_ms", this->context.now() - this->current->sent_at);
    record_upstream_error(this->context, upstream);
    this->end_attempt();
    this->criteria.tried.push_back(upstream.id);
    this->retry_or_fail("upstream_error");
}

void request_flow::on_full_response() {
    this->record_first_byte();
    const http::response_head head = std::move(this->current->head);
    const bool error = head.status >= first_error_status;
    const auto upstream = instance_of(this->current->choice);
    const bool in_time = this->time_left() > min_attempt_time;
    if (error && in_time) {
        record_upstream_error(this->context, upstream);
    } else if (!error) {
        record_upstream_success(this->context, upstream);
    }
    if (error && this->request.route->kind == routes::request_kind::idempotent &&
        this->may_retry() && this->consume_retry()) {
        this->end_attempt();
        this->criteria.tried.push_back(upstream.id);
        this->upstream_error = full_response{head, std::exchange(this->body_buffer, {})};
        this->send_attempt();
        return;
    }
    this->end_attempt();
    this->exchange->respond(head.status, client_fields(head), this->body_buffer);
    this->finish(error ? "upstream_error" : "ok", head.status);
}

// The upstream states that it has not executed the request, so it may go to another upstream even
// if it may not be executed twice.
void request_flow::on_upstream_refusal() {
    const upstream_choice choice = this->current->choice;
    auto* member = this->current_member();
    const auto load = this->current->metadata.load;
    const bool has_room = load && load->waiting == 0 && load->running < load->slots;
    const bool outdated =
        this->criteria.prompt != nullptr &&
        choice.weights < newest_version(history_of(this->context.state, this->metadata.model));
    if (member != nullptr) {
        const bool is_changing_weights = outdated || this->current->metadata.wrong_instance;
        member->busy_until =
            std::max(member->busy_until,
                     this->context.now() + (is_changing_weights ? loading_pause : overload_pause));
    }
    if (has_room && !outdated && !this->current->metadata.pause) {
        record_upstream_failure(this->context, instance_of(choice), "refuses_with_room");
    }
    this->context.log.line(importance::keep, "refused_by_upstream")
        .text("request", this->metadata.request_id)
        .text("upstream", choice.id.value)
        .number("status", this->current->head.status)
        .number("weights_expected", choice.weights)
        .number("weights_there", this->current->metadata.weights_version.value_or(0))
        .number("running", load ? load->running : -1)
        .number("waiting", load ? load->waiting : -1);
    this->criteria.tried.push_back(choice.id);
    this->end_attempt();
    this->body_buffer.clear();
    if (this->has_retries_left() && this->consume_retry()) {
        this->send_attempt();
        return;
    }
    this->fail_request("refused_by_upstream", base::code::overloaded, base::code::upstream_failed,
                       std::nullopt);
}

void request_flow::on_client_drained() {
    if (this->reading.paused && this->current) {
        this->reading.paused = false;
        this->current->connection->resume_reading();
    }
}

} // namespace camphorrail::proxy
