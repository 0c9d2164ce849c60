#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Limits connection failures per request. Each costs at most the connect timeout.
constexpr int max_unreachable = 4;

const char* name_of(call_failure reason) {
    switch (reason) {
    case call_failure::never_sent:
        return "unreachable";
    case call_failure::withdrawn:
        return "upstream_left";
    case call_failure::malformed:
        return "malformed_answer";
    case call_failure::incomplete:
        return "incomplete_answer";
    case call_failure::end_unverified:
        return "end_unverified";
    case call_failure::broken:
        break;
    }
    return "connection_broke";
}

// The ids of a prompt's first parts, for logs.
std::string list_parts(const std::vector<ports::prompt_part>& parts) {
    constexpr std::size_t max_listed = 8;
    constexpr std::size_t max_id_length = 32;
    std::string listed;
    for (std::size_t each = 0; each < std::min(parts.size(), max_listed); ++each) {
        listed += (each == 0 ? "" : ",") + parts[each].id.substr(0, max_id_length);
    }
    return listed;
}

} // namespace

void request_flow::start_stall_timer() {
    const auto& route = *this->request.route;
    const bool streaming = this->state == response_state::streaming;
    if (streaming && !route.resumable) {
        this->stall_timer.clear();
        return;
    }
    this->check_for_stall_in(first_check_delay(route, streaming));
}

void request_flow::check_for_stall_in(base::micros span) {
    this->stall_check_due = this->context.now() + span;
    this->stall_timer.set(span);
}

stall_view request_flow::current_stall_view() const {
    const auto* member = this->current_member();
    const auto sent = this->current->sent_at;
    return {this->context.now(), this->stall_check_due,
            member == nullptr ? sent : std::max(member->last_byte_at, sent), this->last_progress,
            this->state == response_state::streaming};
}

void request_flow::on_attempt_failed(call_failure reason) {
    const auto self = this->shared_from_this();
    const auto upstream = instance_of(this->current->choice);
    const char* name = name_of(reason);
    const bool is_break = reason == call_failure::broken || reason == call_failure::incomplete ||
                          reason == call_failure::end_unverified;
    const bool may_have_run = is_break || reason == call_failure::malformed;
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("upstream", upstream.id.value)
        .text("why", name)
        .flag("answer_begun", this->current->head_received)
        .text("last_event", this->relay.last_event_id)
        .span("after_ms", this->context.now() - this->current->sent_at)
        .text("digest", may_have_run ? this->identity().digest.value : "")
        .text("parts", may_have_run ? list_parts(this->metadata.prompt_parts) : "");
    // An upstream that changes weights on request aborts what it cannot finish, so this break is
    // expected.
    const auto* member = this->current_member();
    const bool expected_break =
        is_break && member != nullptr && member->weights_change_until > this->context.now();
    const bool is_upstream_fault = reason != call_failure::withdrawn && !expected_break;
    if (is_upstream_fault) {
        record_upstream_failure(this->context, upstream, name);
    }
    if (may_have_run && !expected_break) {
        this->report_broken_attempt();
    }
    this->cancel_attempt();
    this->criteria.tried.push_back(upstream.id);
    if (reason != call_failure::never_sent && reason != call_failure::withdrawn) {
        ++this->possible_executions;
        this->retry_or_fail(name);
        return;
    }
    // No byte was sent, so the next attempt repeats nothing.
    ++this->unreachable_count;
    if (is_upstream_fault) {
        // A failed connect is stronger evidence against the upstream than a failed response, so it
        // counts twice.
        record_upstream_failure(this->context, upstream, name);
    }
    if (this->unreachable_count < max_unreachable) {
        this->send_attempt();
    } else {
        this->retry_or_fail(name);
    }
}

void request_flow::report_broken_attempt() {
    const auto* member = this->current_member();
    // A draining upstream is expected to close its connections.
    if (member == nullptr || !fleet::is_available(*member)) {
        return;
    }
    this->current->broke = true;
    const auto& attempt = *this->current;
    quarantine::crash_victim victim{this->identity(), attempt.sent_at, {}, this->shared_parts()};
    victim.has_completed = quarantine::has_completed(
        this->context.state.quarantine, quarantine::make_fingerprint(this->identity_parts()),
        this->context.now(), {});
    if (attempt.response_started) {
        victim.response_started_at = attempt.first_byte_at;
    }
    this->context.record_broken_attempt(
        {instance_of(attempt.choice), attempt.choice.address, std::move(victim)});
}

bool request_flow::has_retries_left() const {
    const bool retries_left = this->retry_count < max_retries;
    return retries_left && this->time_left() > min_attempt_time;
}

bool request_flow::may_retry() const {
    const bool attempts_left = this->possible_executions < this->request.route->attempts;
    return may_repeat(*this->request.route) && attempts_left && this->has_retries_left() &&
           this->origin_is_certain();
}

bool request_flow::consume_retry() {
    auto& window = this->context.state.retries[this->criteria.pool];
    if (!admission::consume_retry(window, this->context.now())) {
        this->context.log.line(importance::keep, "retry_denied")
            .text("request", this->metadata.request_id)
            .text("pool", this->criteria.pool.value)
            .number("extra_retries", static_cast<std::int64_t>(window.extra_retries));
        this->context.metrics.count("camphorrail_retries_denied_total");
        return false;
    }
    ++this->retry_count;
    this->context.metrics.count("camphorrail_retries_total");
    return true;
}

// The client keeps the events it has received; the next upstream is asked to resume after them.
void request_flow::prepare_to_resume() {
    this->body_buffer.clear();
    resume_relay(this->relay);
    this->criteria.resumed = !this->relay.last_event_id.empty();
}

void request_flow::retry_or_fail(const char* reason) {
    if (this->may_retry() && this->consume_retry()) {
        this->prepare_to_resume();
        if (this->was_suspect) {
            // Whether the attempt crashed its upstream is known only a moment later. Retrying
            // before then could crash one more upstream.
            this->trial_timer.set(quarantine::quarantine_rules{}.simultaneous_window);
        } else {
            this->send_attempt();
        }
        return;
    }
    this->fail_request(reason, base::code::no_upstream, base::code::upstream_failed, std::nullopt);
}

// Sends the final response, which states whether the request was executed: `not_run_code` if no
// upstream can have begun to execute it, `maybe_run_code` otherwise. A response that has begun can
// only be aborted. Without a hint, the client is told to retry when an upstream of the pool may be
// free.
void request_flow::fail_request(const char* reason, base::code not_run_code,
                                base::code maybe_run_code, std::optional<milliseconds> hint) {
    if (this->state == response_state::streaming) {
        this->abort_response(reason);
    } else if (this->possible_executions == 0) {
        this->refuse(not_run_code, base::execution_state::not_run,
                     hint ? *hint : estimate_retry_after(this->context, this->criteria));
    } else {
        this->refuse(maybe_run_code, base::execution_state::unknown, milliseconds(0));
    }
}

void request_flow::retry_as_suspect() {
    const auto self = this->shared_from_this();
    this->send_attempt();
}

void request_flow::check_for_stall() {
    const auto self = this->shared_from_this();
    if (!this->current || this->reading.paused) {
        return;
    }
    const auto& route = *this->request.route;
    const auto view = this->current_stall_view();
    const auto verdict = detect_stall(view, route);
    if (verdict == stall::process_suspended) {
        this->record_progress();
        this->start_stall_timer();
        return;
    }
    if (verdict == stall::upstream_unresponsive && !this->current->suspected) {
        this->current->suspected = true;
        record_upstream_failure(this->context, instance_of(this->current->choice), "silent");
    }
    const bool last_attempt = this->possible_executions + 1 >= route.attempts;
    if (last_attempt || !this->may_retry()) {
        if (!this->current->suspected) {
            this->check_for_stall_in(next_check_delay(view, route));
        }
        return;
    }
    const bool failed_over =
        verdict != stall::none && this->fail_over(verdict == stall::upstream_unresponsive);
    if (!failed_over) {
        this->check_for_stall_in(next_check_delay(view, route));
    }
}

// Moves the request to another upstream. It stays at the silent one if no other upstream can take
// it or the retry budget is spent: the response may still come, and a stream that has begun could
// only be aborted.
bool request_flow::fail_over(bool dead) {
    const auto id = this->current->choice.id;
    this->criteria.tried.push_back(id);
    this->criteria.resumed = !this->relay.last_event_id.empty();
    auto next = choose_upstream(this->context, this->criteria);
    if (!next || !this->consume_retry()) {
        this->criteria.tried.pop_back();
        return false;
    }
    this->context.log.line(importance::keep, "attempt_silent")
        .text("request", this->metadata.request_id)
        .text("upstream", id.value)
        .flag("upstream_dead", dead)
        .text("last_event", this->relay.last_event_id)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->cancel_attempt();
    ++this->possible_executions;
    this->prepare_to_resume();
    this->send_to(std::move(*next));
    return true;
}

void request_flow::leave_suspected_upstream(const base::upstream_instance& upstream) {
    const bool waits = this->current && instance_of(this->current->choice) == upstream &&
                       !this->current->head_received && !this->current->response_started;
    const bool may_move = waits && this->state == response_state::none &&
                          this->possible_executions + 1 < this->request.route->attempts &&
                          this->may_retry();
    if (may_move && count_upstreams(this->context, this->criteria.pool).eligible > 0) {
        const auto self = this->shared_from_this();
        this->fail_over(true);
    }
}

// Cancels an attempt at an engine that was slower than predicted and has not begun to respond by
// the time its weights are outdated for as long as is allowed. Engines drop a request that is
// cancelled before its first event, so nothing begins on outdated weights; whether the engine was
// about to begin cannot be known.
void request_flow::on_weights_expired() {
    if (!this->current || this->current->response_started) {
        return;
    }
    const auto deadline = this->current_begin_deadline();
    if (!deadline || this->context.now() < *deadline) {
        // The deadline has moved since the timer was set: newer information shows that the weights
        // are not outdated, or became outdated later.
        this->renew_begin_deadline();
        return;
    }
    const auto self = this->shared_from_this();
    const auto id = this->current->choice.id;
    this->context.log.line(importance::keep, "weights_expired")
        .text("request", this->metadata.request_id)
        .text("upstream", id.value)
        .number("weights", this->current->choice.weights)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->cancel_attempt();
    ++this->possible_executions;
    this->criteria.tried.push_back(id);
    this->retry_or_fail("weights_expired");
}

void request_flow::on_timeout() {
    this->terminate("timed_out", base::code::no_upstream, base::code::timed_out, other_entry_delay);
}

void request_flow::on_client_disconnected() {
    if (this->state == response_state::ended) {
        return;
    }
    const auto self = this->shared_from_this();
    if (this->current) {
        this->possible_executions += this->current->connection->may_have_sent() ? 1 : 0;
        this->cancel_attempt();
    }
    this->finish("caller_gone", 0);
}

void request_flow::abort_for_shutdown() {
    this->terminate("shutting_down", base::code::shutting_down, base::code::upstream_failed,
                    other_entry_delay);
}

// Cancels the current attempt first. It counts as possibly executed if any byte of it may have been
// sent.
void request_flow::terminate(const char* reason, base::code not_run_code, base::code maybe_run_code,
                             milliseconds hint) {
    const auto self = this->shared_from_this();
    if (this->current) {
        this->possible_executions += this->current->connection->may_have_sent() ? 1 : 0;
        this->cancel_attempt();
    }
    this->fail_request(reason, not_run_code, maybe_run_code, hint);
}

} // namespace camphorrail::proxy
