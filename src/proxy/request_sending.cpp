#include "base/hash.h"
#include "http/writers.h"
#include "kvcache/lanes.h"
#include "kvcache/overload.h"
#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>
#include <utility>

// How a request goes to an upstream, and leaves it again.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// What a request's way to an upstream and back takes at least.
constexpr milliseconds hop{4};
// An upstream that says how long it keeps idle connections is taken at its word, less a quarter.
// One that says nothing is trusted for this long.
constexpr milliseconds unknown_keep{2000};
// A call that may not run twice is lost if its connection turns out to be dead, so it takes only
// connections that were used this recently; a new one costs a round trip.
constexpr milliseconds once_longest_idle{700};
constexpr base::seconds any_longest_idle{60};

} // namespace

void request_flow::send_attempt() {
    if (this->time_left() < least_time) {
        this->out_of_time();
        return;
    }
    if (this->stopped_by_quarantine()) {
        return;
    }
    auto choice = choose_upstream(this->context, this->wanted);
    if (!choice) {
        this->give_up("no_upstream", base::code::no_upstream, base::code::upstream_failed,
                      std::nullopt);
        return;
    }
    if (this->is_untouched() && !this->admit_prompt(*choice)) {
        this->refuse_in_overload(*choice);
        return;
    }
    this->send_to(std::move(*choice));
}

// Decides whether a request that no upstream has had yet is taken, or refused in overload, and
// notes that for the prompts after it. Calls without a prompt wait at no engine.
bool request_flow::admit_prompt(const upstream_choice& choice) {
    const std::int64_t tokens = choice.chain.total_tokens();
    if (tokens == 0) {
        return true;
    }
    auto& record = this->context.state.prompt_sizes[this->request.route->name];
    const auto verdict = kvcache::decide_admission(
        record, {tokens, choice.wait_ms, choice.first_byte_ms, this->wanted.target}, {});
    if (verdict == kvcache::admission_decision::accepted_for_fairness) {
        this->context.log.line(importance::keep, "taken_for_its_size")
            .text("request", this->facts.request_id)
            .text("route", this->request.route->name)
            .number("prompt_tokens", tokens)
            .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
            .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
            .number("target_ms", this->wanted.target.count());
        this->context.metrics.count("camphorrail_prompts_taken_for_their_size_total");
    }
    return verdict != kvcache::admission_decision::rejected;
}

// Whether no upstream has had it yet.
bool request_flow::is_untouched() const {
    return this->begun == 0 && this->sent_again == 0 && this->unreachable == 0;
}

void request_flow::refuse_in_overload(const upstream_choice& choice) {
    this->context.log.line(importance::keep, "overloaded")
        .text("request", this->facts.request_id)
        .text("route", this->request.route->name)
        .text("best_upstream", choice.id.value)
        .number("prompt_tokens", choice.chain.total_tokens())
        .number("to_read", choice.to_read)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("target_ms", this->wanted.target.count())
        .number("unread_there", choice.unread_there);
    this->refuse(base::code::overloaded, base::execution_state::not_run,
                 kvcache::retry_delay(base::stable_hash(this->facts.request_id)));
}

ports::attempt_parameters request_flow::terms_of(const upstream_choice& choice) const {
    ports::attempt_parameters terms;
    terms.expected_instance = choice.id;
    terms.team = this->request.team == nullptr ? base::team_id{} : this->request.team->id;
    terms.time_left = this->time_left() - hop;
    terms.priority = rank_of(this->request);
    terms.cache_salt = choice.cache_salt;
    terms.fetch_from = choice.fetch_from;
    terms.save_to = choice.save_to;
    terms.required_weights = choice.weights;
    terms.last_event_id = this->events.last_event;
    return terms;
}

void request_flow::send_to(upstream_choice choice) {
    const auto terms = this->terms_of(choice);
    std::string bytes = this->request_bytes(terms);
    this->log_sent(choice, terms);
    this->begin_attempt(std::move(choice));
    this->watch_for_silence();
    this->call_upstream(std::move(bytes));
}

// The request as its upstream gets it.
std::string request_flow::request_bytes(const ports::attempt_parameters& terms) const {
    const auto& head = this->exchange->head;
    const bool has_body = !this->exchange->body.empty() || http::has(head.all, "Content-Length") ||
                          http::has(head.all, "Transfer-Encoding");
    const std::string written = http::write_request_head(
        head.method, head.target, this->context.codec.make_attempt_fields(head, terms),
        {has_body ? http::framing::length : http::framing::none, this->exchange->body.size()});
    return written + this->exchange->body;
}

void request_flow::log_sent(const upstream_choice& choice, const ports::attempt_parameters& terms) {
    this->context.log.line(importance::routine, "sent")
        .text("request", this->facts.request_id)
        .text("route", this->request.route->name)
        .text("kind", this->kind_name())
        .text("upstream", choice.id.value)
        .text("why", choice.why)
        .number("store_revision", this->context.state.store.revision)
        .span("unlisted_ms", this->unlisted_for(choice.id))
        .number("weights", choice.weights)
        .span("weights_outdated_ms", choice.outdated_for.value_or(base::milliseconds(-1)))
        .text("fetch_from", choice.fetch_from)
        .number("config_version", this->request.config->version)
        .span("config_age_ms", logged_config_age(this->context))
        .number("time_left_ms", terms.time_left.count())
        .number("rank", terms.priority)
        .number("prompt_tokens", choice.chain.total_tokens())
        .number("to_read", choice.to_read)
        .number("unread_there", choice.unread_there)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("fetch_ms", static_cast<std::int64_t>(choice.fetch_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("tries", this->begun + this->sent_again + this->unreachable)
        .flag("suspect", this->wanted.suspect);
}

// Takes a connection, and notes everywhere that the attempt is under way.
void request_flow::begin_attempt(upstream_choice choice) {
    this->current = attempt{};
    this->current->choice = std::move(choice);
    this->current->sent_at = this->context.now();
    this->last_progress = this->current->sent_at;
    const auto& sent = this->current->choice;
    const bool once = !may_repeat(*this->request.route);
    this->current->connection = this->context.connections.take(
        sent.id, sent.address, once ? base::micros(once_longest_idle) : any_longest_idle);
    if (auto* one = this->member_of_attempt()) {
        this->current->last_resort = !fleet::is_available(*one);
        fleet::begin_work(one->local_work, this->work_of_attempt());
    }
    if (this->wanted.suspect) {
        this->current->trial = true;
        quarantine::begin_trial(this->context.state.quarantine, this->identity().digest, sent.id,
                                this->current->sent_at, {});
    }
    this->count_prompt_placed();
    this->note_prompt_sent();
    this->renew_begin_deadline();
}

// By when the upstream must have begun; nothing where it holds no weights.
std::optional<base::instant> request_flow::begin_deadline_of_attempt() const {
    const auto weights = this->current->choice.weights;
    if (weights == 0) {
        return std::nullopt;
    }
    return begin_deadline(this->context, this->facts.model, weights);
}

void request_flow::renew_begin_deadline() {
    if (!this->current || this->current->begun) {
        return;
    }
    const auto deadline = this->begin_deadline_of_attempt();
    if (deadline) {
        this->weights_timer.set(std::max(*deadline - this->context.now(), base::micros(0)));
    }
}

void request_flow::count_prompt_placed() {
    const auto& sent = this->current->choice;
    const auto all_tokens = sent.chain.total_tokens();
    if (all_tokens == 0) {
        return;
    }
    const auto count = [this](const char* expected, std::int64_t tokens) {
        this->context.metrics.count("camphorrail_prompt_tokens_placed_total",
                                    {{"expected", expected}}, static_cast<double>(tokens));
    };
    count("held", all_tokens - sent.to_read);
    count("read", sent.to_read);
}

void request_flow::call_upstream(std::string bytes) {
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->current->connection->call(std::move(bytes),
                                    {[weak](const http::response_head& answer) {
                                         const auto held = weak.lock();
                                         return held != nullptr && held->started(answer);
                                     },
                                     [weak](std::string piece) {
                                         if (const auto held = weak.lock()) {
                                             held->received(std::move(piece));
                                         }
                                     },
                                     [weak] {
                                         if (const auto held = weak.lock()) {
                                             held->ended();
                                         }
                                     },
                                     [weak](call_failure why) {
                                         if (const auto held = weak.lock()) {
                                             held->failed(why);
                                         }
                                     },
                                     [weak] {
                                         const auto held = weak.lock();
                                         return held != nullptr && held->may_leave();
                                     }});
}

// Whether the attempt, whose connection stands only now, may still go to its upstream. On a VM
// whose turn is long, that takes up to a second, in which the list, or an answer, may say that the
// upstream leaves; sent then, it reached the upstream beyond the bound on that.
bool request_flow::may_leave() const {
    const auto* one = this->member_of_attempt();
    const base::instant now = this->context.now();
    if (one == nullptr || now < one->pause_until) {
        return false;
    }
    const auto deadline = this->begin_deadline_of_attempt();
    if (deadline && now >= *deadline) {
        return false;
    }
    if (this->current->last_resort) {
        return fleet::may_serve_in_grace(*one, now, fleet_rules_of(this->context.settings));
    }
    return fleet::is_available(*one);
}

// Notes what the request will have the upstream hold, and what it takes of a store's link.
void request_flow::note_prompt_sent() {
    const auto& sent = this->current->choice;
    auto& state = this->context.state;
    if (sent.chain.shared_tokens() >= kvcache::min_tracked_tokens) {
        kvcache::record_sent(state.cache, sent.id, sent.chain, sent.weights,
                             engine_capacity_tokens(state, instance_of(sent)));
    }
    for (const auto& [store, ms] : sent.transfers) {
        kvcache::record_transfer(state.stored_prompts[store], ms, this->context.now());
        state.unreported_transfers[store] += ms;
    }
}

fleet::request_work request_flow::work_of_attempt() const {
    const auto& choice = this->current->choice;
    const bool short_prompt =
        choice.chain.total_tokens() > 0 && !kvcache::is_long_prompt(choice.chain);
    return {choice.chain.total_tokens(), choice.to_read, !may_repeat(*this->request.route),
            short_prompt};
}

// The attempt is over and its connection may serve another call.
void request_flow::leave_attempt() {
    this->silence_timer.clear();
    this->weights_timer.clear();
    auto* one = this->member_of_attempt();
    if (one != nullptr) {
        fleet::end_work(one->local_work, this->work_of_attempt(), this->current->begun);
    }
    if (this->current->trial) {
        quarantine::end_trial(this->context.state.quarantine, this->identity().digest);
    }
    this->was_trial = this->current->trial;
    const auto left = std::move(*this->current);
    this->current.reset();
    const auto& upstreams = this->context.state.fleet.members;
    const auto known = upstreams.find(left.choice.id);
    const bool restarted =
        known != upstreams.end() && known->second.listed.incarnation != left.choice.incarnation;
    const auto idle = left.facts.idle_timeout;
    // A connection to an earlier life is dead, and would lose the next call that is sent on it.
    const base::micros keep = restarted ? base::micros(0) : idle ? *idle * 3 / 4 : unknown_keep;
    this->context.connections.give_back(left.choice.id, left.connection, keep);
}

void request_flow::cancel_attempt() {
    this->current->connection->cancel();
    this->leave_attempt();
}

} // namespace camphorrail::proxy
