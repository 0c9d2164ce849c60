#include "agent/order_runner.h"

#include <algorithm>

namespace camphorrail::agent {

namespace {

constexpr base::milliseconds least_retry_after{250};

prefix::prefix_chain to_chain(const wire::order& order) {
    prefix::prefix_chain chain;
    for (std::size_t level = 0; level < order.level_keys.size(); ++level) {
        chain.push_back({order.level_keys[level], {order.level_tokens[level]}});
    }
    return chain;
}

bool is_event_stream(const std::string& content_type) {
    return content_type.rfind("text/event-stream", 0) == 0;
}

base::milliseconds retry_after(base::micros wait) {
    return std::max(least_retry_after, std::chrono::duration_cast<base::milliseconds>(wait));
}

} // namespace

struct order_runner::active_order {
    wire::order order;
    answer_sender sender;
    prefix::prefix_chain chain;
    base::micros work{0};
    routing::prediction_basis basis;
    base::instant started_at;
    base::instant first_token_at;
    bool has_first_token = false;
    bool events = false;
    bool ended = false;
    stream::event_splitter splitter;
    std::string whole_body;
    usage counted;
    ports::call_handle call;
};

order_runner::order_runner(const settings::agent_settings& settings, ports::clock clock,
                           ports::upstream upstream, adapters::metrics& metrics,
                           adapters::timeline& timeline)
    : settings(&settings), clock(std::move(clock)), upstream(std::move(upstream)),
      metrics(&metrics), timeline(&timeline), cache(routing::make_engine_view(settings.id)) {
    this->queue.capacity = static_cast<std::size_t>(settings.max_waiting);
}

void order_runner::submit(const wire::order& order, send_function send) {
    const base::instant now = this->clock.now();
    if (this->leaving) {
        this->refuse(order, send, base::code::upstream_leaving, base::execution_state::not_run,
                     least_retry_after);
        return;
    }
    const auto chain = to_chain(order);
    if (order.probe && this->pass_on(order, chain, send)) {
        return;
    }
    auto active = std::make_shared<active_order>();
    active->order = order;
    active->sender.attempt = order.attempt;
    active->sender.send = std::move(send);
    active->sender.credit = this->settings->limits.caller_buffer_bytes;
    active->chain = chain;
    const auto estimate = routing::estimate_work(this->cache, active->chain, now);
    active->work = estimate.work;
    active->basis = estimate.basis;
    const admission::queued_request entry{{order.attempt},
                                          {order.team},
                                          order.priority,
                                          order.share,
                                          active->work,
                                          now + base::micros(order.target_us),
                                          now + base::micros(order.deadline_us)};
    const base::micros wait = this->engine_wait();
    const auto admitted = admission::admit(this->queue, entry, wait, now, this->rules);
    if (!admitted.has_value()) {
        const auto ahead = admission::predicted_wait(this->queue, order.priority, wait);
        this->refuse(order, active->sender.send, base::to_code(admitted.error()),
                     base::execution_state::not_run, retry_after(ahead));
        return;
    }
    routing::record_accepted(this->cache, active->chain, now);
    this->timeline->mark("order_taken", order.attempt, {{"team", order.team}});
    admission::push(this->queue, entry);
    this->waiting[order.attempt] = std::move(active);
    this->pump();
}

bool order_runner::pass_on(const wire::order& order, const prefix::prefix_chain& chain,
                           const send_function& send) {
    const auto wait = admission::predicted_wait(this->queue, order.priority, this->engine_wait());
    const auto answer =
        routing::evaluate_probe(this->cache, this->notes, chain, wait, this->clock.now(), {});
    if (!answer.forward) {
        return false;
    }
    this->timeline->mark("order_passed_on", order.attempt);
    send(wire::refused{order.attempt, static_cast<int>(base::code::passed_on),
                       static_cast<int>(base::execution_state::not_run), 0, this->load(),
                       answer.holders});
    return true;
}

void order_runner::note_placed(std::uint64_t level_key, std::uint64_t holder) {
    routing::add_holder(this->notes, level_key, {holder, 0, this->clock.now()});
}

void order_runner::refuse(const wire::order& order, const send_function& send, base::code number,
                          base::execution_state ran, base::milliseconds retry_after) {
    this->metrics->count("camphorrail_refusals_total",
                         {{"code", std::to_string(static_cast<int>(number))},
                          {"ran", std::string(base::to_string(ran))}});
    this->timeline->mark("order_refused", order.attempt, {{"code", static_cast<int>(number)}});
    send(wire::refused{order.attempt,
                       static_cast<int>(number),
                       static_cast<int>(ran),
                       retry_after.count(),
                       this->load(),
                       {}});
}

std::size_t order_runner::body_bytes() const {
    std::size_t bytes = 0;
    for (const auto* orders : {&this->waiting, &this->running}) {
        for (const auto& [attempt, active] : *orders) {
            bytes += active->order.body.size();
        }
    }
    return bytes;
}

bool order_runner::has_room() const {
    const auto prefilling =
        std::count_if(this->running.begin(), this->running.end(),
                      [](const auto& item) { return !item.second->has_first_token; });
    return this->running.size() < static_cast<std::size_t>(this->settings->max_running) &&
           prefilling < this->settings->max_prefilling;
}

void order_runner::pump() {
    // Orders wait here, where priorities and shares count, until the engine is about to be free;
    // what is in the engine can't be overtaken any more.
    while (this->has_room()) {
        const auto next = admission::pop(this->queue);
        if (!next) {
            return;
        }
        const auto found = this->waiting.find(next->attempt.value);
        const active_ptr active = found->second;
        this->waiting.erase(found);
        this->running[next->attempt.value] = active;
        this->start(active);
    }
}

void order_runner::start(const active_ptr& active) {
    active->started_at = this->clock.now();
    this->timeline->mark("order_left", active->order.attempt);
    active->call = this->upstream.send(
        to_call(active->order, 0),
        {[this, active](int status, const std::string& content_type) {
             this->on_started(active, status, content_type);
         },
         [this, active](const std::string& bytes) { this->on_received(active, bytes); },
         [this, active] { this->on_ended(active); },
         [this, active](base::code number) { this->on_failed(active, number); }});
}

void order_runner::on_started(const active_ptr& active, int status,
                              const std::string& content_type) {
    active->events = is_event_stream(content_type);
    active->sender.send(wire::started{active->order.attempt, status, content_type});
}

void order_runner::on_received(const active_ptr& active, const std::string& bytes) {
    if (!active->has_first_token) {
        active->has_first_token = true;
        active->first_token_at = this->clock.now();
        this->pump();
    }
    if (active->events) {
        for (const std::string& event : stream::split(active->splitter, bytes)) {
            this->forward_event(active, event);
        }
        if (active->splitter.oversize) {
            active->call.cancel();
            this->on_failed(active, base::code::upstream_answer_malformed);
            return;
        }
    } else {
        if (active->whole_body.size() < stream::max_event_bytes) {
            active->whole_body += bytes;
        }
        send_piece(active->sender, bytes);
    }
    if (!wants_more(active->sender)) {
        active->call.pause();
    }
}

void order_runner::forward_event(const active_ptr& active, const std::string& event) {
    const std::string data = stream::data_of(event);
    if (const auto counted = read_usage(data)) {
        active->counted = *counted;
        if (active->order.hide_usage && only_usage(data)) {
            return;
        }
    }
    send_piece(active->sender, event);
}

void order_runner::on_ended(const active_ptr& active) {
    // The framing of HTTP can end well although the engine died in between, where a proxy or the
    // engine's own server closes the answer for it. Only the stream's own end mark says "whole".
    if (active->events && !active->splitter.done) {
        this->on_failed(active, base::code::stream_cut);
        return;
    }
    if (!active->events) {
        active->counted = read_usage(active->whole_body).value_or(usage{});
    }
    active->ended = true;
    this->finish(active);
}

void order_runner::finish(const active_ptr& active) {
    if (!active->ended || !active->sender.waiting.empty()) {
        return;
    }
    const base::instant now = this->clock.now();
    routing::record_served(this->cache, active->chain, active->basis,
                           {active->counted.cached_tokens},
                           active->first_token_at - active->started_at, now);
    this->running.erase(active->order.attempt);
    this->timeline->mark("order_done", active->order.attempt,
                         {{"cached_tokens", active->counted.cached_tokens}});
    active->sender.send(wire::finished{active->order.attempt, active->sender.sequence,
                                       active->counted.prompt_tokens, active->counted.cached_tokens,
                                       this->load()});
    this->pump();
}

void order_runner::on_failed(const active_ptr& active, base::code number) {
    if (this->running.erase(active->order.attempt) == 0) {
        return;
    }
    const bool never_left = number == base::code::upstream_unreachable;
    this->refuse(active->order, active->sender.send, number,
                 never_left ? base::execution_state::not_run : base::execution_state::unknown,
                 least_retry_after);
    this->pump();
}

void order_runner::cancel(const std::string& attempt) {
    if (admission::remove(this->queue, {attempt})) {
        this->waiting.erase(attempt);
        return;
    }
    const auto found = this->running.find(attempt);
    if (found == this->running.end()) {
        return;
    }
    const active_ptr active = found->second;
    this->running.erase(found);
    active->call.cancel();
    this->timeline->mark("order_cancelled", attempt);
    this->pump();
}

void order_runner::credit(const std::string& attempt, std::int64_t bytes) {
    const auto found = this->running.find(attempt);
    if (found == this->running.end()) {
        return;
    }
    const active_ptr active = found->second;
    add_credit(active->sender, bytes);
    if (wants_more(active->sender) && !active->ended) {
        active->call.resume();
    }
    this->finish(active);
}

void order_runner::expire() {
    for (const auto& order : admission::remove_expired(this->queue, this->clock.now())) {
        const auto found = this->waiting.find(order.attempt.value);
        const active_ptr active = found->second;
        this->waiting.erase(found);
        this->refuse(active->order, active->sender.send, base::code::timed_out,
                     base::execution_state::not_run, least_retry_after);
    }
}

void order_runner::note_engine(std::int64_t engine_incarnation) {
    routing::record_incarnation(this->cache, engine_incarnation, this->clock.now());
}

base::micros order_runner::engine_wait() const {
    const base::instant now = this->clock.now();
    base::micros wait{0};
    for (const auto& [attempt, active] : this->running) {
        if (!active->has_first_token) {
            wait += std::max(base::micros{0}, active->work - (now - active->started_at));
        }
    }
    return wait;
}

wire::load_report order_runner::load() const {
    wire::load_report report;
    report.engine_incarnation = this->cache.engine_incarnation;
    report.running = static_cast<std::int64_t>(this->running.size());
    report.waiting = static_cast<std::int64_t>(this->waiting.size());
    const base::micros wait = admission::predicted_wait(this->queue, 0, this->engine_wait());
    report.wait_us = wait.count();
    report.prefill_us_per_token = this->cache.prefill_us_per_token;
    report.leaving = this->leaving;
    return report;
}

} // namespace camphorrail::agent
