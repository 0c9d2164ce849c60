#include "entry/request_flow.h"

#include "once/ownership.h"

#include <algorithm>

namespace camphorrail::entry {

namespace {

constexpr int most_attempts = 4;
constexpr int most_owner_resends = 2;
constexpr base::micros tombstone_wait = base::milliseconds(250);
// Refusals after which another upstream may still take the request.
bool worth_another(base::code number) {
    switch (number) {
    case base::code::overloaded:
    case base::code::target_out_of_reach:
    case base::code::upstream_leaving:
    case base::code::upstream_unreachable:
    case base::code::upstream_failed:
    case base::code::stream_cut:
    case base::code::link_silent:
        return true;
    default:
        return false;
    }
}
bool is_fault(base::code number) {
    return number == base::code::upstream_unreachable || number == base::code::upstream_failed ||
           number == base::code::stream_cut || number == base::code::link_silent;
}

} // namespace

request_flow::request_flow(flow_surroundings& around, caller_request request,
                           adapters::exchange_ptr exchange)
    : around(&around), clock(around.loop->clock()), request(std::move(request)),
      exchange(std::move(exchange)), arrived_at(this->clock.now()),
      deadline(this->arrived_at + around.limits->request_timeout) {}

void request_flow::start() {
    this->self = this->shared_from_this();
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->exchange->gone.connect([weak] {
        if (const auto held = weak.lock()) {
            held->on_caller_gone();
        }
    });
    this->exchange->drained.connect([weak] {
        if (const auto held = weak.lock()) {
            held->grant_credit();
        }
    });
    this->around->loop->after(this->around->limits->request_timeout, [weak] {
        if (const auto held = weak.lock()) {
            held->on_deadline();
        }
    });
    this->update_held_bytes();
    this->around->metrics->count("camphorrail_requests_total",
                                 {{"pool", this->request.pool.value}});
    admission::record_request(this->around->router->budget);
    if (this->once()) {
        this->owners =
            once::ranked_owners(this->request.key, config::members(this->around->config->current(),
                                                                   this->request.pool));
    }
    this->attempt_next();
}

// Counts what the request makes this process hold: the request, its copies on the way to an agent,
// and the answer as far as it is here.
void request_flow::update_held_bytes() {
    constexpr std::size_t copies = 3;
    this->exchange->set_held(copies * this->request.body.capacity() + this->body.capacity());
}

void request_flow::attempt_next() {
    if (this->is_over) {
        return;
    }
    if (this->once()) {
        this->attempt_owner();
    } else {
        this->attempt_routed();
    }
}

void request_flow::attempt_routed() {
    auto& pool = this->around->router->pools[this->request.pool];
    const auto choose = [this, &pool] {
        return routing::choose_upstream(pool, this->around->router->affinity,
                                        {&this->request.chain, this->tried, !this->passed_on},
                                        this->now(), this->around->router->random,
                                        this->around->router->rules);
    };
    auto next = choose();
    if (!next && this->last_failure == base::code::link_silent) {
        // Only the connection went silent; the upstream behind it may well be there, and a new
        // connection reach it.
        this->tried.clear();
        next = choose();
    }
    if (!next) {
        this->give_up({base::code::no_upstream, base::execution_state::not_run, soon});
        return;
    }
    this->made = *next;
    const base::upstream_id to = pool.upstreams[next->index].id;
    this->tell_home(pool, to);
    routing::record_sent(pool, this->around->router->affinity, this->made, this->request.chain,
                         this->now());
    if (!this->made.is_probe) {
        this->tried.push_back(to);
    }
    this->send_order(to);
}

// The home of the prompt's shared prefix passes later requests on to where this one goes.
void request_flow::tell_home(const routing::pool_view& pool, const base::upstream_id& chosen) {
    auto& router = *this->around->router;
    const auto home = routing::home_to_notify(pool, router.affinity, chosen, this->request.chain,
                                              this->now(), router.rules);
    if (home) {
        this->around->links->send(pool.upstreams[*home].id,
                                  wire::placed{routing::shared_level(this->request.chain)->key,
                                               pool.upstreams[this->made.index].hash});
    }
}

void request_flow::on_passed_on(const wire::refused& message) {
    auto& router = *this->around->router;
    const auto& pool = router.pools[this->request.pool];
    this->passed_on = true;
    routing::record_rejected(pool, router.affinity, this->upstream, this->request.chain);
    for (const std::uint64_t holder : message.holders) {
        routing::record_reported_holder(pool, router.affinity,
                                        routing::shared_level(this->request.chain)->key, holder,
                                        this->now());
    }
    this->end_attempt();
    --this->attempts; // asking the home costs a hop and is no attempt at running
    this->attempt_next();
}

void request_flow::send_order(const base::upstream_id& to) {
    this->attempt = this->around->next_attempt();
    this->upstream = to;
    ++this->attempts;
    if (this->trace.empty()) {
        this->trace = this->attempt.value;
    }
    stream::begin(this->assembler, this->attempt);
    this->around->follow(this->attempt, this->shared_from_this());
    const base::instant now = this->now();
    wire::order order;
    order.attempt = this->attempt.value;
    order.pool = this->request.pool.value;
    order.idempotency_key = this->request.key.value;
    order.fingerprint = this->request.fingerprint;
    order.config_version = this->around->config->version().value;
    order.team = this->request.caller.team.value;
    order.priority = this->request.caller.priority;
    order.share = this->request.caller.share;
    order.deadline_us = (this->deadline - now).count();
    const base::micros target = this->request.caller.first_token_target;
    order.target_us = (this->arrived_at + target - now).count();
    order.method = this->request.method;
    order.path = this->request.path;
    order.content_type = this->request.content_type;
    order.traceparent = this->request.traceparent;
    order.body = this->request.body;
    order.resume_from = this->assembler.delivered;
    order.stream = this->request.stream;
    order.probe = this->made.is_probe && !this->once();
    order.hide_usage = this->request.hide_usage;
    for (const auto& level : this->request.chain) {
        order.level_keys.push_back(level.key);
        order.level_tokens.push_back(level.length.value);
    }
    this->around->timeline->mark("order_sent", this->trace,
                                 {{"to", to.value}, {"attempt", this->attempt.value}});
    this->around->links->send(to, order);
}

void request_flow::handle(const base::upstream_id& from, const wire::message& message) {
    if (this->is_over || from != this->upstream) {
        return;
    }
    std::visit([this](const auto& one) { this->handle_one(one); }, message);
}

void request_flow::handle_one(const wire::refused& message) {
    if (message.attempt != this->attempt.value || this->awaiting_tombstone) {
        return;
    }
    if (this->once()) {
        this->owner_refused(message);
        return;
    }
    const auto number = static_cast<base::code>(message.code);
    const auto ran = static_cast<base::execution_state>(message.ran);
    if (number == base::code::passed_on && !this->passed_on &&
        routing::shared_level(this->request.chain) != nullptr) {
        this->on_passed_on(message);
        return;
    }
    this->retry_after = base::milliseconds(message.retry_after_ms);
    if (worth_another(number)) {
        this->attempt_failed(number, ran);
        return;
    }
    this->give_up({number, ran, base::milliseconds(message.retry_after_ms)});
}

// A routed attempt has failed, or was refused where another upstream may do better.
void request_flow::attempt_failed(base::code number, base::execution_state ran) {
    if (this->once()) {
        this->give_up({base::code::once_outcome_unknown, base::execution_state::unknown, soon});
        return;
    }
    this->last_failure = number;
    if (this->made.is_probe && !this->passed_on) {
        this->passed_on = true;
        this->tried.push_back(this->upstream);
    }
    routing::record_rejected(this->around->router->pools[this->request.pool],
                             this->around->router->affinity, this->upstream, this->request.chain);
    const bool fault = is_fault(number);
    if (fault) {
        note_failure(*this->around->router, this->upstream, this->now());
    }
    this->end_attempt();
    if (this->attempts >= most_attempts) {
        this->give_up({number, ran, std::max(soon, this->retry_after)});
        return;
    }
    if (fault && !admission::consume_retry(this->around->router->budget)) {
        this->give_up({base::code::retry_budget_spent, ran, soon});
        return;
    }
    this->around->metrics->count("camphorrail_retries_total",
                                 {{"code", std::to_string(static_cast<int>(number))}});
    if (!this->request.stream) {
        // A plain answer is given whole or not at all: what came of the first one is dropped.
        this->body.clear();
        this->assembler.delivered = 0;
    }
    this->owed_credit = 0;
    this->attempt_next();
}

void request_flow::handle_lost(const base::upstream_id& from) {
    if (this->is_over || from != this->upstream || this->attempt.empty()) {
        return;
    }
    if (!this->once()) {
        this->attempt_failed(base::code::link_silent, base::execution_state::unknown);
        return;
    }
    this->end_attempt();
    if (this->awaiting_tombstone) {
        this->give_up({base::code::once_outcome_unknown, base::execution_state::unknown, soon});
        return;
    }
    // The owner may have the order, have run it or never seen it. Asking the same owner again over
    // a new link is safe: it knows the key, and answers with the outcome or runs it now.
    if (this->owner_resends < most_owner_resends) {
        ++this->owner_resends;
        this->around->metrics->count("camphorrail_retries_total", {{"code", "603"}});
        const std::weak_ptr<request_flow> weak = this->weak_from_this();
        this->around->loop->after(handover_pause / 5, [weak] {
            if (const auto held = weak.lock()) {
                held->attempt_next();
            }
        });
        return;
    }
    this->owner_resends = 0;
    this->next_owner(false);
}

void request_flow::on_deadline() {
    if (this->is_over) {
        return;
    }
    if (!this->once() || this->attempt.empty()) {
        this->give_up(
            {base::code::timed_out,
             this->once() ? base::execution_state::unknown : base::execution_state::not_run, soon});
        return;
    }
    // The caller must be told whether it ran. The owner calls the attempt off if it has not left
    // yet; only then may we say so.
    this->awaiting_tombstone = true;
    this->around->links->send(
        this->upstream,
        wire::tombstone{this->attempt.value, this->request.pool.value, this->request.key.value});
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->around->loop->after(tombstone_wait, [weak] {
        const auto held = weak.lock();
        if (held && !held->is_over) {
            held->give_up({base::code::once_outcome_unknown, base::execution_state::unknown, soon});
        }
    });
}

void request_flow::on_caller_gone() {
    if (this->is_over) {
        return;
    }
    this->around->timeline->mark("caller_gone", this->trace);
    this->end_attempt();
    this->finish();
}

// Tells the agent that nothing more of the current attempt is wanted.
void request_flow::end_attempt() {
    if (this->attempt.empty()) {
        return;
    }
    this->around->unfollow(this->attempt);
    if (!this->awaiting_tombstone) {
        this->around->links->send(this->upstream, wire::cancel{this->attempt.value});
    }
    this->attempt = {};
}

void request_flow::give_up(const process::problem& answer) {
    if (this->is_over) {
        return;
    }
    this->around->metrics->count("camphorrail_refusals_total",
                                 {{"code", std::to_string(static_cast<int>(answer.number))},
                                  {"ran", std::string(base::to_string(answer.ran))}});
    this->around->timeline->mark("given_up", this->trace,
                                 {{"code", static_cast<int>(answer.number)}});
    this->end_attempt();
    if (!this->answer_started) {
        process::reply_problem(*this->exchange, answer);
    } else {
        // Part of the answer is out. The caller learns why it ends, and the connection is broken
        // off, so that no client takes what it has for the whole answer.
        this->exchange->send("event: error\ndata: " + process::to_json(answer) + "\n\n");
        const auto exchange_left = this->exchange;
        this->around->loop->after(base::milliseconds(50),
                                  [exchange_left] { exchange_left->abort(); });
    }
    this->finish();
}

void request_flow::finish() {
    const auto held = std::move(this->self);
    this->is_over = true;
    if (!this->attempt.empty()) {
        this->around->unfollow(this->attempt);
        this->attempt = {};
    }
}

} // namespace camphorrail::entry
