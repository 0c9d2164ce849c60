#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// A request that has had no answer for this many targets goes elsewhere, if it may. By then it is
// late, and what it has waited for so long it may go on waiting for.
constexpr int silent_targets = 6;
constexpr milliseconds shortest_silence{200};
// An upstream that has sent nothing on any request for a quarter more than the target, while one
// waits, is dead or cut off. A step of an engine takes 50 ms at most, with a piece of a long prompt
// in it; the longest prompts alone on an engine take 200 ms to read.
constexpr milliseconds shortest_dead{120};
base::micros dead_after(milliseconds target) {
    return std::max<base::micros>(target * 5 / 4, shortest_dead);
}
// A stream's first event may wait behind other prompts; a pause in mid-stream is held to the gap
// target, and upstreams that preempt a stream read its prompt again.
constexpr int silent_gaps = 4;
constexpr milliseconds shortest_gap{800};
// Each costs at most the time that a connection may take.
constexpr int most_unreachable = 4;

} // namespace

// How long an upstream may say nothing on this request before it is looked into.
milliseconds request_flow::silence_limit() const {
    const auto& route = *this->request.route;
    if (this->state == answer_state::streaming) {
        return std::max(route.gap_target * silent_gaps, shortest_gap);
    }
    return std::max(route.target * silent_targets, shortest_silence);
}

void request_flow::watch_for_silence() {
    const auto& route = *this->request.route;
    if (this->state == answer_state::streaming && !route.resumable) {
        this->silence.clear();
        return;
    }
    this->silence.set(std::min<base::micros>(this->silence_limit(), dead_after(route.target)));
}

// Whether nothing at all has come from the upstream lately. One that is only slow still says
// something on its other requests; taking its work away then would only move the load.
bool request_flow::upstream_is_dead() const {
    const auto* one = this->member_of_attempt();
    const auto heard =
        one == nullptr ? this->current->sent_at : std::max(one->heard_at, this->current->sent_at);
    return this->context.now() - heard >= dead_after(this->request.route->target);
}

void request_flow::failed(call_failure why) {
    const auto held = this->shared_from_this();
    const auto id = this->current->choice.id;
    const char* name = why == call_failure::never_sent  ? "unreachable"
                       : why == call_failure::malformed ? "malformed_answer"
                                                        : "connection_broke";
    this->context.log.line(importance::keep, "attempt_failed")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("upstream", id.value)
        .text("why", name)
        .flag("answer_begun", this->current->answering)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    note_upstream_failure(this->context, id, name);
    this->cancel_attempt();
    this->wanted.tried.push_back(id);
    if (why != call_failure::never_sent) {
        ++this->begun;
        this->send_again_or_end(name);
        return;
    }
    // Nothing has left, so nothing is repeated.
    ++this->unreachable;
    // A connection that can't be made says more than an answer that fails.
    note_upstream_failure(this->context, id, name);
    if (this->unreachable < most_unreachable) {
        this->send_attempt();
    } else {
        this->send_again_or_end(name);
    }
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
    if (!admission::take_retry(this->context.state.retries[this->wanted.pool])) {
        this->context.metrics.count("camphorrail_retries_denied_total");
        return false;
    }
    ++this->sent_again;
    this->context.metrics.count("camphorrail_retries_total");
    return true;
}

void request_flow::send_again_or_end(const char* why) {
    if (this->may_send_again() && this->take_retry()) {
        this->whole_body.clear();
        resume_relay(this->events);
        this->send_attempt();
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
        this->refuse(unrun, base::ran::not_run,
                     hint ? *hint : when_free(this->context, this->wanted.pool));
    } else {
        this->refuse(begun_code, base::ran::unknown, milliseconds(0));
    }
}

void request_flow::silent() {
    const auto held = this->shared_from_this();
    if (!this->current || this->paused) {
        return;
    }
    const bool dead = this->upstream_is_dead();
    const base::micros waited = this->context.now() - this->last_progress;
    if (dead && !this->current->suspected) {
        this->current->suspected = true;
        note_upstream_failure(this->context, this->current->choice.id, "silent");
    }
    const bool last_attempt = this->begun + 1 >= this->request.route->attempts;
    const bool waited_out = dead || waited >= this->silence_limit();
    if (last_attempt || !this->may_send_again()) {
        if (!this->current->suspected) {
            this->silence.set(dead_after(this->request.route->target));
        }
        return;
    }
    if (!waited_out) {
        this->silence.set(std::min<base::micros>(this->silence_limit() - waited,
                                                 dead_after(this->request.route->target)));
        return;
    }
    this->context.log.line(importance::keep, "attempt_silent")
        .text("request", this->facts.request_id)
        .text("upstream", this->current->choice.id.value)
        .flag("upstream_dead", dead)
        .text("last_event", this->events.last_event)
        .span("after_ms", this->context.now() - this->current->sent_at);
    this->wanted.tried.push_back(this->current->choice.id);
    this->cancel_attempt();
    ++this->begun;
    this->send_again_or_end("silent");
}

void request_flow::out_of_time() {
    this->end_early("timed_out", base::code::no_upstream, base::code::timed_out);
}

void request_flow::caller_gone() {
    if (this->state == answer_state::ended) {
        return;
    }
    const auto held = this->shared_from_this();
    if (this->current) {
        this->cancel_attempt();
    }
    this->finish("caller_gone", 0);
}

void request_flow::break_off() {
    this->end_early("shutting_down", base::code::shutting_down, base::code::upstream_failed);
}

// The attempt under way is called off first; it may have begun if a byte of it may have left.
void request_flow::end_early(const char* why, base::code unrun, base::code begun_code) {
    const auto held = this->shared_from_this();
    if (this->current) {
        this->begun += this->current->connection->may_have_sent() ? 1 : 0;
        this->cancel_attempt();
    }
    this->give_up(why, unrun, begun_code, other_entry);
}

} // namespace camphorrail::proxy
