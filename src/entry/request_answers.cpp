#include "entry/request_flow.h"

#include <algorithm>

namespace camphorrail::entry {

namespace {

constexpr std::size_t max_buffered_answer = 32U << 20U;
double to_seconds(base::micros span) {
    return static_cast<double>(span.count()) / 1e6;
}

} // namespace

void request_flow::handle_one(const wire::started& message) {
    this->status = message.status;
    this->content_type = message.content_type;
}

// Whether a frame counts; one that shows that others were lost fails the attempt.
bool request_flow::accepted(stream::verdict verdict) {
    if (verdict == stream::verdict::cut) {
        this->attempt_failed(base::code::stream_cut, base::execution_state::unknown);
    }
    return verdict == stream::verdict::deliver;
}

void request_flow::handle_one(const wire::chunk& message) {
    if (!this->accepted(
            stream::accept_piece(this->assembler, {message.attempt}, message.sequence))) {
        return;
    }
    if (this->request.stream) {
        this->deliver(message.bytes);
        return;
    }
    this->body += message.bytes;
    this->update_held_bytes();
    if (this->body.size() > max_buffered_answer) {
        this->give_up({base::code::upstream_answer_malformed, base::execution_state::unknown});
        return;
    }
    this->owed_credit += static_cast<std::int64_t>(message.bytes.size());
    this->grant_credit();
}

void request_flow::deliver(const std::string& bytes) {
    const base::instant now = this->now();
    if (!this->answer_started) {
        this->answer_started = true;
        this->around->metrics->observe_seconds("camphorrail_first_token_seconds",
                                               to_seconds(now - this->arrived_at),
                                               {{"pool", this->request.pool.value}});
        this->around->timeline->mark("first_token", this->trace);
        this->exchange->start(this->status, {{"Content-Type", this->content_type},
                                             {"Cache-Control", "no-cache"},
                                             {"X-Request-Id", this->trace}});
    } else {
        this->around->metrics->observe_seconds("camphorrail_token_gap_seconds",
                                               to_seconds(now - this->last_piece_at));
    }
    this->last_piece_at = now;
    this->exchange->send(bytes);
    this->owed_credit += static_cast<std::int64_t>(bytes.size());
    this->grant_credit();
}

void request_flow::grant_credit() {
    // A caller that does not read gets no more credit, so its upstream is paused and what is held
    // for it here and at the agent stays bounded.
    const auto unread = static_cast<std::int64_t>(this->exchange->unread_bytes());
    if (this->is_over || this->owed_credit == 0 ||
        unread > this->around->limits->caller_buffer_bytes / 2) {
        return;
    }
    this->around->links->send(this->upstream, wire::credit{this->attempt.value, this->owed_credit});
    this->owed_credit = 0;
}

void request_flow::handle_one(const wire::finished& message) {
    if (!this->accepted(stream::accept_end(this->assembler, {message.attempt}, message.sequence))) {
        return;
    }
    auto& pool = this->around->router->pools[this->request.pool];
    if (!this->once()) {
        routing::record_served(pool, this->around->router->affinity, this->upstream,
                               this->request.chain, this->made.basis, {message.cached_tokens},
                               this->now(), this->around->router->rules);
        if (auto* view = routing::find(pool, this->upstream)) {
            membership::record_success(view->health);
        }
    }
    const adapters::metric_labels labels{{"pool", this->request.pool.value}};
    this->around->metrics->count("camphorrail_answers_total", labels);
    this->around->metrics->count("camphorrail_prompt_tokens_total", labels,
                                 static_cast<double>(message.prompt_tokens));
    this->around->metrics->count("camphorrail_cached_tokens_total", labels,
                                 static_cast<double>(message.cached_tokens));
    this->around->timeline->mark(
        "answer_whole", this->trace,
        {{"attempts", this->attempts}, {"cached_tokens", message.cached_tokens}});
    if (this->answer_started) {
        this->exchange->end();
    } else {
        this->exchange->reply(this->status,
                              {{"Content-Type", this->content_type}, {"X-Request-Id", this->trace}},
                              this->body);
    }
    this->finish();
}

} // namespace camphorrail::entry
