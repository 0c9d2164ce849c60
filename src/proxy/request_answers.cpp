#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Bytes that a caller may lag behind before its upstream is read no further, and bytes of an answer
// that is held whole.
constexpr std::size_t unsent_pause_bytes = 256U << 10U;
constexpr std::size_t most_whole_bytes = 8U << 20U;
constexpr int first_error_status = 500;
constexpr int first_refusal_status = 300;
// An upstream that is full, or is just changing weights, is asked again after this long.
constexpr milliseconds full_pause{40};
constexpr milliseconds loading_pause{250};

} // namespace

bool request_flow::started(const http::response_head& head) {
    const auto answer = this->context.codec.parse_response(head);
    if (answer.request_id != this->facts.request_id) {
        // An upstream may send a second answer to an earlier request; ours is still to come.
        this->context.log.line(importance::keep, "foreign_answer_dropped")
            .text("request", this->facts.request_id)
            .text("upstream", this->current->choice.id.value)
            .text("answers", answer.request_id)
            .number("status", head.status);
        return false;
    }
    this->note_heard();
    this->current->answering = true;
    this->current->head = head;
    this->current->facts = answer;
    if (auto* one = this->member_of_attempt(); one != nullptr && answer.load) {
        one->load = answer.load;
        one->load_at = this->context.now();
    }
    this->note_what_it_says();
    return true;
}

// What an upstream says of itself beside the answer holds at once: the answer's end may be far.
void request_flow::note_what_it_says() {
    const auto& answer = this->current->facts;
    const auto upstream = instance_of(this->current->choice);
    if (answer.draining && record_drain_report(this->context, upstream, "", this->context.now())) {
        this->context.broadcast_drain(upstream);
    }
    if (answer.pause) {
        this->context.log.line(importance::keep, "upstream_wants_pause")
            .text("request", this->facts.request_id)
            .text("upstream", upstream.id.value)
            .span("pause_ms", *answer.pause);
        if (auto* one = this->member_of_attempt()) {
            fleet::record_pause(*one, *answer.pause, this->context.now());
        }
    }
}

void request_flow::note_heard() {
    this->last_progress = this->context.now();
    if (auto* one = this->member_of_attempt()) {
        one->last_byte_at = this->last_progress;
    }
}

void request_flow::received(std::string bytes) {
    this->note_heard();
    const bool success = this->current->head.status < first_refusal_status;
    if (success && this->request.route->kind == routes::request_kind::stream) {
        this->pass_on(bytes);
        return;
    }
    this->whole_body += bytes;
    if (this->whole_body.size() > most_whole_bytes) {
        this->failed(call_failure::malformed);
    }
}

void request_flow::pass_on(const std::string& bytes) {
    const std::string whole_events = relay(this->events, bytes);
    if (whole_events.empty()) {
        return;
    }
    this->count_first_byte();
    this->note_pause();
    if (this->state == answer_state::none) {
        this->state = answer_state::streaming;
        this->exchange->start(this->current->head.status, caller_fields(this->current->head));
    }
    this->exchange->send(whole_events);
    this->watch_for_silence();
    if (this->exchange->unsent() > unsent_pause_bytes) {
        this->paused = true;
        this->current->connection->pause_reading();
    }
}

// The first byte shows that the upstream has read the prompt and holds it from now on.
void request_flow::count_first_byte() {
    if (this->current->begun) {
        return;
    }
    this->current->begun = true;
    this->current->begun_at = this->context.now();
    if (auto* one = this->member_of_attempt()) {
        fleet::note_begun(one->local_work, this->work_of_attempt());
    }
    this->note_prompt_read();
    if (!this->first_byte) {
        this->first_byte = this->age();
        this->context.metrics.observe_seconds(
            "camphorrail_first_byte_seconds",
            std::chrono::duration<double>(*this->first_byte).count(),
            {{"kind", this->kind_name()}});
    }
}

// Callers hold an answer for late whose events pause, however early it began.
void request_flow::note_pause() {
    const base::instant now = this->context.now();
    if (this->state == answer_state::streaming) {
        this->longest_pause = std::max<base::micros>(this->longest_pause, now - this->last_events);
    }
    this->last_events = now;
}

// Nothing where the upstream changed weights meanwhile: it was not the prompt that took so long.
latency::first_byte_sample request_flow::shown_by_attempt() const {
    const auto& choice = this->current->choice;
    const auto* one = this->member_of_attempt();
    if (one == nullptr || one->weights_change_until > this->current->sent_at) {
        return {};
    }
    const std::chrono::duration<double, std::milli> taken =
        this->context.now() - this->current->sent_at;
    const auto to_read = static_cast<double>(choice.to_read);
    const auto all = static_cast<double>(choice.chain.total_tokens());
    return {
        {to_read, static_cast<double>(choice.unread_there), latency::attention_pairs(to_read, all)},
        std::max(0.0, taken.count() - choice.fetch_ms)};
}

// Tells who holds the prompt now, here and to the other entries.
void request_flow::note_prompt_read() {
    const auto& choice = this->current->choice;
    const auto& chain = choice.chain;
    const bool holds = this->member_of_attempt() != nullptr;
    if (!holds || chain.shared_tokens() < kvcache::min_tracked_tokens) {
        return;
    }
    kvcache::prompt_prefill read;
    for (const auto& level : chain.levels) {
        read.levels.push_back({level.key, level.part_tokens});
    }
    read.unshared_tokens = chain.unshared_tokens;
    read.weights = choice.weights;
    read.engine = instance_of(choice);
    read.saved = !choice.save_to.empty();
    read.first_byte = this->shown_by_attempt();
    proxy::record_prompt_read(this->context, read);
    this->context.state.unreported_reads.push_back(std::move(read));
}

void request_flow::ended() {
    const auto held = this->shared_from_this();
    if (this->current->facts.not_run) {
        this->refused_by_upstream();
        return;
    }
    ++this->begun;
    this->acquit();
    const bool success = this->current->head.status < first_refusal_status;
    if (this->state == answer_state::streaming && !success) {
        this->failed_to_go_on();
        return;
    }
    if (this->state == answer_state::streaming) {
        const int status = this->current->head.status;
        record_upstream_success(this->context, instance_of(this->current->choice));
        this->leave_attempt();
        this->exchange->finish();
        this->finish("ok", status);
        return;
    }
    this->answered_whole();
}

// The upstream that was to go on with a stream answers that it failed. Its answer is whole and the
// stream is not: it goes on at yet another one, or is broken off.
void request_flow::failed_to_go_on() {
    const auto upstream = instance_of(this->current->choice);
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("upstream", upstream.id.value)
        .text("why", "error_answer")
        .flag("answer_begun", this->current->answering)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    record_upstream_error(this->context, upstream);
    this->leave_attempt();
    this->wanted.tried.push_back(upstream.id);
    this->send_again_or_end("upstream_error");
}

void request_flow::answered_whole() {
    this->count_first_byte();
    const http::response_head head = std::move(this->current->head);
    const bool error = head.status >= first_error_status;
    const auto upstream = instance_of(this->current->choice);
    const bool in_time = this->time_left() > least_time;
    if (error && in_time) {
        record_upstream_error(this->context, upstream);
    } else if (!error) {
        record_upstream_success(this->context, upstream);
    }
    if (error && this->request.route->kind == routes::request_kind::idempotent &&
        this->may_send_again() && this->take_retry()) {
        this->leave_attempt();
        this->wanted.tried.push_back(upstream.id);
        this->error_answer = whole_answer{head, std::exchange(this->whole_body, {})};
        this->send_attempt();
        return;
    }
    this->leave_attempt();
    this->exchange->answer(head.status, caller_fields(head), this->whole_body);
    this->finish(error ? "upstream_error" : "ok", head.status);
}

// The upstream states that it has not run the request, so it may go to another one, whatever its
// kind: a refusal counts as no run.
void request_flow::refused_by_upstream() {
    const upstream_choice choice = this->current->choice;
    auto* one = this->member_of_attempt();
    const auto load = this->current->facts.load;
    const bool has_room = load && load->waiting == 0 && load->running < load->slots;
    const bool outdated =
        this->wanted.prompt != nullptr &&
        choice.weights < newest(history_of(this->context.state, this->facts.model));
    if (one != nullptr) {
        const bool changing = outdated || this->current->facts.wrong_instance;
        one->busy_until = std::max(one->busy_until,
                                   this->context.now() + (changing ? loading_pause : full_pause));
    }
    if (has_room && !outdated && !this->current->facts.pause) {
        record_upstream_failure(this->context, instance_of(choice), "refuses_with_room");
    }
    this->context.log.line(importance::keep, "refused_by_upstream")
        .text("request", this->facts.request_id)
        .text("upstream", choice.id.value)
        .number("status", this->current->head.status)
        .number("weights_expected", choice.weights)
        .number("weights_there", this->current->facts.weights_version.value_or(0))
        .number("running", load ? load->running : -1)
        .number("waiting", load ? load->waiting : -1);
    this->wanted.tried.push_back(choice.id);
    this->leave_attempt();
    this->whole_body.clear();
    if (this->has_tries_left() && this->take_retry()) {
        this->send_attempt();
        return;
    }
    this->give_up("refused_by_upstream", base::code::overloaded, base::code::upstream_failed,
                  std::nullopt);
}

void request_flow::caller_caught_up() {
    if (this->paused && this->current) {
        this->paused = false;
        this->current->connection->resume_reading();
    }
}

} // namespace camphorrail::proxy
