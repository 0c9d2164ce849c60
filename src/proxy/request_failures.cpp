#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Each costs at most the time that a connection may take.
constexpr int most_unreachable = 4;

const char* name_of(call_failure why) {
    switch (why) {
    case call_failure::never_sent:
        return "unreachable";
    case call_failure::taken_back:
        return "upstream_left";
    case call_failure::malformed:
        return "malformed_answer";
    case call_failure::broken:
        break;
    }
    return "connection_broke";
}

} // namespace

void request_flow::watch_for_silence() {
    const auto& route = *this->request.route;
    const bool streaming = this->state == answer_state::streaming;
    if (streaming && !route.resumable) {
        this->silence_timer.clear();
        return;
    }
    this->look_for_silence_in(first_look(route, streaming));
}

void request_flow::look_for_silence_in(base::micros span) {
    this->silence_due = this->context.now() + span;
    this->silence_timer.set(span);
}

silence_view request_flow::view_of_silence() const {
    const auto* one = this->member_of_attempt();
    const auto sent = this->current->sent_at;
    return {this->context.now(), this->silence_due,
            one == nullptr ? sent : std::max(one->last_byte_at, sent), this->last_progress,
            this->state == answer_state::streaming};
}

void request_flow::failed(call_failure why) {
    const auto held = this->shared_from_this();
    const auto upstream = instance_of(this->current->choice);
    const char* name = name_of(why);
    const bool may_have_run = why == call_failure::broken || why == call_failure::malformed;
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("upstream", upstream.id.value)
        .text("why", name)
        .flag("answer_begun", this->current->answering)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at)
        .text("digest", may_have_run ? this->identity().digest.value : "");
    // An upstream that changes its weights cuts off what it can't finish, as ordered.
    const auto* one = this->member_of_attempt();
    const bool ordered = why == call_failure::broken && one != nullptr &&
                         one->weights_change_until > this->context.now();
    const bool upstreams_fault = why != call_failure::taken_back && !ordered;
    if (upstreams_fault) {
        record_upstream_failure(this->context, upstream, name);
    }
    if (may_have_run && !ordered) {
        this->note_broken_attempt();
    }
    this->cancel_attempt();
    this->wanted.tried.push_back(upstream.id);
    if (why != call_failure::never_sent && why != call_failure::taken_back) {
        ++this->begun;
        this->send_again_or_end(name);
        return;
    }
    // Nothing has left, so nothing is repeated.
    ++this->unreachable;
    if (upstreams_fault) {
        // A connection that can't be made says more than an answer that fails.
        record_upstream_failure(this->context, upstream, name);
    }
    if (this->unreachable < most_unreachable) {
        this->send_attempt();
    } else {
        this->send_again_or_end(name);
    }
}

void request_flow::note_broken_attempt() {
    const auto* one = this->member_of_attempt();
    // One that leaves ends as it said it would.
    if (one == nullptr || !fleet::is_available(*one)) {
        return;
    }
    const auto& attempt = *this->current;
    quarantine::crash_victim victim{this->identity(), attempt.sent_at, {}};
    if (attempt.begun) {
        victim.response_started_at = attempt.begun_at;
    }
    this->context.record_broken_attempt(
        {instance_of(attempt.choice), attempt.choice.address, std::move(victim)});
}

bool request_flow::has_tries_left() const {
    const bool tries_left = this->sent_again < most_sent_again;
    return tries_left && this->time_left() > least_time;
}

bool request_flow::may_send_again() const {
    const bool begun_fewer = this->begun < this->request.route->attempts;
    return may_repeat(*this->request.route) && begun_fewer && this->has_tries_left();
}

bool request_flow::take_retry() {
    if (!admission::consume_retry(this->context.state.retries[this->wanted.pool],
                                  this->context.now())) {
        this->context.metrics.count("camphorrail_retries_denied_total");
        return false;
    }
    ++this->sent_again;
    this->context.metrics.count("camphorrail_retries_total");
    return true;
}

// What has come of the answer so far stays with the caller; the rest is asked for after it.
void request_flow::prepare_to_go_on() {
    this->whole_body.clear();
    resume_relay(this->events);
    this->wanted.resumed = !this->events.last_event.empty();
}

void request_flow::send_again_or_end(const char* why) {
    if (this->may_send_again() && this->take_retry()) {
        this->prepare_to_go_on();
        if (this->was_trial) {
            // What its trial did is known in a moment; until then it may crash one upstream more.
            this->trial_timer.set(quarantine::quarantine_rules{}.simultaneous_window);
        } else {
            this->send_attempt();
        }
        return;
    }
    this->give_up(why, base::code::no_upstream, base::code::upstream_failed, std::nullopt);
}

// The final answer, true about whether the request ran: `unrun` where no upstream can have begun on
// it, else `begun_code`. An answer that has begun can only be broken off. Without a hint when to
// come back, it is when an upstream of the pool may be free.
void request_flow::give_up(const char* why, base::code unrun, base::code begun_code,
                           std::optional<milliseconds> hint) {
    if (this->state == answer_state::streaming) {
        this->end_without_answer(why);
    } else if (this->begun == 0) {
        this->refuse(unrun, base::execution_state::not_run,
                     hint ? *hint : when_free(this->context, this->wanted.pool));
    } else {
        this->refuse(begun_code, base::execution_state::unknown, milliseconds(0));
    }
}

void request_flow::send_again_as_judged() {
    const auto held = this->shared_from_this();
    this->send_attempt();
}

void request_flow::look_for_silence() {
    const auto held = this->shared_from_this();
    if (!this->current || this->paused) {
        return;
    }
    const auto& route = *this->request.route;
    const auto view = this->view_of_silence();
    const auto verdict = judge_silence(view, route);
    if (verdict == silence::process_was_stopped) {
        this->note_heard();
        this->watch_for_silence();
        return;
    }
    if (verdict == silence::of_upstream && !this->current->suspected) {
        this->current->suspected = true;
        record_upstream_failure(this->context, instance_of(this->current->choice), "silent");
    }
    const bool last_attempt = this->begun + 1 >= route.attempts;
    if (last_attempt || !this->may_send_again()) {
        if (!this->current->suspected) {
            this->look_for_silence_in(next_look(view, route));
        }
        return;
    }
    const bool gone_on =
        verdict != silence::none && this->leave_silent_upstream(verdict == silence::of_upstream);
    if (!gone_on) {
        this->look_for_silence_in(next_look(view, route));
    }
}

// Goes on at another upstream. The silent one keeps the request where no other can take it, or the
// retry budget does not allow it: its answer may still come, and one that has begun could only be
// broken off.
bool request_flow::leave_silent_upstream(bool dead) {
    const auto id = this->current->choice.id;
    this->wanted.tried.push_back(id);
    this->wanted.resumed = !this->events.last_event.empty();
    auto next = choose_upstream(this->context, this->wanted);
    if (!next || !this->take_retry()) {
        this->wanted.tried.pop_back();
        return false;
    }
    this->context.log.line(importance::keep, "attempt_silent")
        .text("request", this->facts.request_id)
        .text("upstream", id.value)
        .flag("upstream_dead", dead)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->cancel_attempt();
    ++this->begun;
    this->prepare_to_go_on();
    this->send_to(std::move(*next));
    return true;
}

// An engine that turned out slower than expected has not begun, and its weights are outdated for as
// long as is allowed. It drops a call that is cancelled before its first event, so nothing begins
// on such weights; whether it was about to begin can't be known.
void request_flow::weights_expired() {
    if (!this->current || this->current->begun) {
        return;
    }
    const auto deadline = this->begin_deadline_of_attempt();
    if (!deadline || this->context.now() < *deadline) {
        // The entry has seen since that they are not outdated, or not for as long.
        this->renew_begin_deadline();
        return;
    }
    const auto held = this->shared_from_this();
    const auto id = this->current->choice.id;
    this->context.log.line(importance::keep, "weights_expired")
        .text("request", this->facts.request_id)
        .text("upstream", id.value)
        .number("weights", this->current->choice.weights)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->cancel_attempt();
    ++this->begun;
    this->wanted.tried.push_back(id);
    this->send_again_or_end("weights_expired");
}

void request_flow::out_of_time() {
    this->end_early("timed_out", base::code::no_upstream, base::code::timed_out, other_entry);
}

void request_flow::caller_gone() {
    if (this->state == answer_state::ended) {
        return;
    }
    const auto held = this->shared_from_this();
    if (this->current) {
        this->begun += this->current->connection->may_have_sent() ? 1 : 0;
        this->cancel_attempt();
    }
    this->finish("caller_gone", 0);
}

void request_flow::break_off() {
    this->end_early("shutting_down", base::code::shutting_down, base::code::upstream_failed,
                    other_entry);
}

// The attempt under way is called off first; it may have begun if a byte of it may have left.
void request_flow::end_early(const char* why, base::code unrun, base::code begun_code,
                             milliseconds hint) {
    const auto held = this->shared_from_this();
    if (this->current) {
        this->begun += this->current->connection->may_have_sent() ? 1 : 0;
        this->cancel_attempt();
    }
    this->give_up(why, unrun, begun_code, hint);
}

} // namespace camphorrail::proxy
