#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Each costs at most the time that a connection may take.
constexpr int max_unreachable = 4;

const char* name_of(call_failure reason) {
    switch (reason) {
    case call_failure::never_sent:
        return "unreachable";
    case call_failure::withdrawn:
        return "upstream_left";
    case call_failure::malformed:
        return "malformed_answer";
    case call_failure::broken:
        break;
    }
    return "connection_broke";
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
    const bool may_have_run = reason == call_failure::broken || reason == call_failure::malformed;
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("upstream", upstream.id.value)
        .text("why", name)
        .flag("answer_begun", this->current->head_received)
        .text("last_event", this->relay.last_event_id)
        .span("after_ms", this->context.now() - this->current->sent_at)
        .text("digest", may_have_run ? this->identity().digest.value : "");
    // An upstream that changes its weights cuts off what it can't finish, as ordered.
    const auto* member = this->current_member();
    const bool expected_break = reason == call_failure::broken && member != nullptr &&
                                member->weights_change_until > this->context.now();
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
    // Nothing has left, so nothing is repeated.
    ++this->unreachable_count;
    if (is_upstream_fault) {
        // A connection that can't be made says more than an answer that fails.
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
    // One that leaves ends as it said it would.
    if (member == nullptr || !fleet::is_available(*member)) {
        return;
    }
    const auto& attempt = *this->current;
    quarantine::crash_victim victim{this->identity(), attempt.sent_at, {}};
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
    return may_repeat(*this->request.route) && attempts_left && this->has_retries_left();
}

bool request_flow::consume_retry() {
    if (!admission::consume_retry(this->context.state.retries[this->criteria.pool],
                                  this->context.now())) {
        this->context.metrics.count("camphorrail_retries_denied_total");
        return false;
    }
    ++this->retry_count;
    this->context.metrics.count("camphorrail_retries_total");
    return true;
}

// What has come of the answer so far stays with the caller; the rest is asked for after it.
void request_flow::prepare_to_resume() {
    this->body_buffer.clear();
    resume_relay(this->relay);
    this->criteria.resumed = !this->relay.last_event_id.empty();
}

void request_flow::retry_or_fail(const char* reason) {
    if (this->may_retry() && this->consume_retry()) {
        this->prepare_to_resume();
        if (this->was_trial) {
            // What its trial did is known in a moment; until then it may crash one upstream more.
            this->trial_timer.set(quarantine::quarantine_rules{}.simultaneous_window);
        } else {
            this->send_attempt();
        }
        return;
    }
    this->fail_request(reason, base::code::no_upstream, base::code::upstream_failed, std::nullopt);
}

// The final answer, true about whether the request ran: `unrun` where no upstream can have begun on
// it, else `begun_code`. An answer that has begun can only be broken off. Without a hint when to
// come back, it is when an upstream of the pool may be free.
void request_flow::fail_request(const char* reason, base::code not_run_code,
                                base::code maybe_run_code, std::optional<milliseconds> hint) {
    if (this->state == response_state::streaming) {
        this->abort_response(reason);
    } else if (this->possible_executions == 0) {
        this->refuse(not_run_code, base::execution_state::not_run,
                     hint ? *hint : estimate_retry_after(this->context, this->criteria.pool));
    } else {
        this->refuse(maybe_run_code, base::execution_state::unknown, milliseconds(0));
    }
}

void request_flow::retry_after_trial() {
    const auto self = this->shared_from_this();
    this->send_attempt();
}

void request_flow::check_for_stall() {
    const auto self = this->shared_from_this();
    if (!this->current || this->reading_paused) {
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

// Goes on at another upstream. The silent one keeps the request where no other can take it, or the
// retry budget does not allow it: its answer may still come, and one that has begun could only be
// broken off.
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

// An engine that turned out slower than expected has not begun, and its weights are outdated for as
// long as is allowed. It drops a call that is cancelled before its first event, so nothing begins
// on such weights; whether it was about to begin can't be known.
void request_flow::on_weights_expired() {
    if (!this->current || this->current->response_started) {
        return;
    }
    const auto deadline = this->current_begin_deadline();
    if (!deadline || this->context.now() < *deadline) {
        // The entry has seen since that they are not outdated, or not for as long.
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

// The attempt under way is called off first; it may have begun if a byte of it may have left.
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
