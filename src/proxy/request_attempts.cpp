#include "base/hash.h"
#include "http/writers.h"
#include "kvcache/lanes.h"
#include "kvcache/overload.h"
#include "proxy/request_flow.h"
#include "proxy/request_limits.h"

#include <algorithm>
#include <utility>

// Sends attempts to upstreams and releases their connections.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// The least time a request takes to reach an upstream and its response to come back; subtracted
// from the time left that the upstream is given.
constexpr milliseconds min_round_trip{4};
// An upstream that states its idle timeout has its connections reused for three quarters of it.
// Without a stated timeout they are reused for this long.
constexpr milliseconds default_keep_time{2000};
// A request that may not be executed twice is lost if its connection turns out to be dead, so it
// reuses only connections that were used this recently. A new connection costs one round trip.
constexpr milliseconds non_repeatable_max_idle{700};
constexpr base::seconds max_idle_time{60};

} // namespace

void request_flow::send_attempt() {
    if (this->time_left() < min_attempt_time) {
        this->on_timeout();
        return;
    }
    if (this->refuse_if_exit_is_near() || this->refuse_if_quarantined()) {
        return;
    }
    this->criteria.may_probe = this->is_first_attempt() && this->may_retry() &&
                               this->request.route->attempts > 1 && !this->criteria.resumed;
    auto choice = choose_upstream(this->context, this->criteria);
    this->criteria.may_probe = false;
    if (!choice) {
        this->refuse_without_upstream();
        return;
    }
    if (this->is_first_attempt() && !this->admit_prompt(*choice)) {
        this->refuse_in_overload(*choice);
        return;
    }
    this->send_to(std::move(*choice));
}

// During a planned stop, ends a request that could not be answered before the process ends; returns
// true if so. A response that has begun goes on for as long as it can.
bool request_flow::refuse_if_exit_is_near() {
    const auto& state = this->context.state;
    if (!state.stopping || this->state != response_state::none) {
        return false;
    }
    const base::instant now = this->context.now();
    const last_request view{state.ends_requests_at - now, this->time_left(),
                            longest_run_time(state.runs, this->request.route->name),
                            may_repeat(*this->request.route), now < state.new_clients_until};
    if (may_be_sent_before_exit(view)) {
        return false;
    }
    this->context.log.line(importance::keep, "exit_too_near")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .span("left_ms", view.entry_time_left)
        .span("longest_run_ms", view.longest_run.value_or(view.client_time_left));
    this->fail_request("shutting_down", base::code::shutting_down, base::code::upstream_failed,
                       other_entry_delay);
    return true;
}

// If only rate limits keep the upstreams from taking the request, the client is told so, and when
// they may take it.
void request_flow::refuse_without_upstream() {
    const auto limited = limited_retry_after(this->context, this->criteria,
                                             base::stable_hash(this->metadata.request_id));
    if (limited) {
        this->fail_request("upstreams_limited", base::code::upstreams_limited,
                           base::code::upstream_failed, limited);
    } else {
        this->fail_request("no_upstream", base::code::no_upstream, base::code::upstream_failed,
                           std::nullopt);
    }
}

// Decides whether a request that no upstream has received yet is accepted or refused for overload,
// and records the decision for later prompts. Requests without a prompt are always accepted, since
// they do not queue at an engine.
bool request_flow::admit_prompt(const upstream_choice& choice) {
    const std::int64_t tokens = choice.chain.total_tokens();
    if (tokens == 0) {
        return true;
    }
    auto& record = this->context.state.prompt_sizes[this->request.route->name];
    const kvcache::prompt_estimate estimate{tokens, choice.wait_ms, choice.first_byte_ms,
                                            this->criteria.target};
    const auto verdict = kvcache::evaluate_admission(record, estimate, {});
    const bool acceptable = verdict != kvcache::admission_decision::rejected;
    const bool accepted =
        this->criteria.rank ? this->admit_by_rank(choice, acceptable) : acceptable;
    kvcache::record_admission(record, {tokens, accepted}, {});
    if (accepted && verdict == kvcache::admission_decision::accepted_for_fairness) {
        this->context.log.line(importance::keep, "taken_for_its_size")
            .text("request", this->metadata.request_id)
            .text("route", this->request.route->name)
            .number("prompt_tokens", tokens)
            .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
            .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
            .number("target_ms", this->criteria.target.count());
        this->context.metrics.count("camphorrail_prompts_taken_for_their_size_total");
    }
    return accepted;
}

// True if the request has not been sent to any upstream yet.
bool request_flow::is_first_attempt() const {
    return this->possible_executions == 0 && this->retry_count == 0 && this->unreachable_count == 0;
}

void request_flow::refuse_in_overload(const upstream_choice& choice) {
    this->context.log.line(importance::keep, "overloaded")
        .text("request", this->metadata.request_id)
        .text("route", this->request.route->name)
        .text("best_upstream", choice.id.value)
        .number("prompt_tokens", choice.chain.total_tokens())
        .number("to_read", choice.prefill_tokens)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("target_ms", this->criteria.target.count())
        .number("unread_there", choice.queued_tokens)
        .number("rank", this->upstream_rank())
        .number("requests_ahead", choice.requests_ahead)
        .number("slot_ms", static_cast<std::int64_t>(choice.slot_ms))
        .text("why",
              this->rank_decision ? std::string(queueing::name_of(*this->rank_decision)) : "wait");
    this->refuse(base::code::overloaded, base::execution_state::not_run,
                 this->criteria.rank
                     ? this->schedule_return(choice)
                     : kvcache::retry_delay(base::stable_hash(this->metadata.request_id)));
}

// The priority that upstreams are told.
int request_flow::upstream_rank() const {
    return this->criteria.rank ? static_cast<int>(this->criteria.rank->value)
                               : priority_rank(this->request);
}

ports::attempt_parameters request_flow::parameters_for(const upstream_choice& choice) const {
    ports::attempt_parameters parameters;
    parameters.expected_instance = choice.id;
    parameters.team = this->request.team == nullptr ? base::team_id{} : this->request.team->id;
    parameters.time_left = this->time_left() - min_round_trip;
    parameters.priority = this->upstream_rank();
    parameters.cache_salt = choice.cache_salt;
    parameters.fetch_from = choice.fetch_from;
    parameters.save_to = choice.save_to;
    parameters.required_weights = choice.weights;
    parameters.last_event_id = this->relay.last_event_id;
    return parameters;
}

void request_flow::send_to(upstream_choice choice) {
    const auto parameters = this->parameters_for(choice);
    std::string bytes = this->request_bytes(parameters);
    this->log_sent(choice, parameters);
    this->begin_attempt(std::move(choice));
    this->start_stall_timer();
    if (this->must_ask_incarnation()) {
        this->ask_incarnation(std::move(bytes));
    } else {
        this->call_upstream(std::move(bytes));
    }
}

// Serializes the request for the upstream.
std::string request_flow::request_bytes(const ports::attempt_parameters& parameters) const {
    const auto& head = this->exchange->head;
    const bool has_body = !this->exchange->body.empty() || http::has(head.all, "Content-Length") ||
                          http::has(head.all, "Transfer-Encoding");
    const std::string written = http::write_request_head(
        head.method, head.target, this->context.codec.make_attempt_fields(head, parameters),
        {has_body ? http::framing::length : http::framing::none, this->exchange->body.size()});
    return written + this->exchange->body;
}

void request_flow::log_sent(const upstream_choice& choice,
                            const ports::attempt_parameters& parameters) {
    this->context.log.line(importance::routine, "sent")
        .text("request", this->metadata.request_id)
        .text("route", this->request.route->name)
        .text("kind", this->kind_name())
        .text("upstream", choice.id.value)
        .text("software", choice.software.value)
        .text("why", choice.reason)
        .text("resumes", this->metadata.resumes)
        .text("after_event", parameters.last_event_id.empty() ? this->metadata.last_event_id
                                                              : parameters.last_event_id)
        .number("store_revision", this->context.state.store.revision.number)
        .span("unlisted_ms", this->unlisted_time(choice.id))
        .number("weights", choice.weights)
        .span("weights_outdated_ms", choice.weights_outdated_for.value_or(base::milliseconds(-1)))
        .text("fetch_from", choice.fetch_from)
        .number("config_version", this->request.config->version)
        .span("config_age_ms", logged_config_age(this->context))
        .number("time_left_ms", parameters.time_left.count())
        .number("rank", parameters.priority)
        .number("prompt_tokens", choice.chain.total_tokens())
        .number("to_read", choice.prefill_tokens)
        .number("unread_there", choice.queued_tokens)
        .number("requests_ahead", choice.requests_ahead)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("fetch_ms", static_cast<std::int64_t>(choice.fetch_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("tries", this->possible_executions + this->retry_count + this->unreachable_count)
        .flag("suspect", this->criteria.suspect);
}

// Acquires a connection and records the attempt with all trackers: the upstream's load, quarantine
// trials, cache beliefs and metrics.
void request_flow::begin_attempt(upstream_choice choice) {
    this->current = attempt{};
    this->current->choice = std::move(choice);
    this->current->sent_at = this->context.now();
    this->last_progress = this->current->sent_at;
    const auto& sent = this->current->choice;
    const bool non_repeatable = !may_repeat(*this->request.route);
    this->current->connection = this->context.connections.acquire(
        sent.id, sent.address,
        non_repeatable ? base::micros(non_repeatable_max_idle) : max_idle_time);
    if (auto* member = this->current_member()) {
        this->current->last_resort = !fleet::is_available(*member);
        member->probe_until = {};
        fleet::add_request(member->local_work, this->current_work());
        this->count_against_limit();
    }
    if (this->criteria.suspect) {
        this->current->trial = true;
        quarantine::begin_trial(this->context.state.quarantine, this->suspects(), sent.id,
                                this->current->sent_at, {});
    }
    this->count_placed_tokens();
    this->record_prompt_sent();
    this->renew_begin_deadline();
}

// The time by which the upstream must have begun to respond; empty if the upstream holds no
// weights.
std::optional<base::instant> request_flow::current_begin_deadline() const {
    const auto weights = this->current->choice.weights;
    if (weights == 0) {
        return std::nullopt;
    }
    return begin_deadline(this->context, this->metadata.model, weights);
}

void request_flow::renew_begin_deadline() {
    if (!this->current || this->current->response_started) {
        return;
    }
    const auto deadline = this->current_begin_deadline();
    if (deadline) {
        this->weights_timer.set(std::max(*deadline - this->context.now(), base::micros(0)));
    }
}

void request_flow::count_placed_tokens() {
    const auto& sent = this->current->choice;
    const auto all_tokens = sent.chain.total_tokens();
    if (all_tokens == 0) {
        return;
    }
    const auto count = [this](const char* expected, std::int64_t tokens) {
        this->context.metrics.count("camphorrail_prompt_tokens_placed_total",
                                    {{"expected", expected}}, static_cast<double>(tokens));
    };
    count("held", all_tokens - sent.prefill_tokens);
    count("read", sent.prefill_tokens);
}

void request_flow::call_upstream(std::string bytes) {
    const std::weak_ptr<request_flow> weak = this->weak_from_this();
    this->current->connection->call(std::move(bytes),
                                    {[weak](const http::response_head& head) {
                                         const auto self = weak.lock();
                                         return self != nullptr && self->on_response_head(head);
                                     },
                                     [weak](std::string body) {
                                         if (const auto self = weak.lock()) {
                                             self->on_response_body(std::move(body));
                                         }
                                     },
                                     [weak] {
                                         if (const auto self = weak.lock()) {
                                             self->on_response_end();
                                         }
                                     },
                                     [weak](call_failure reason) {
                                         if (const auto self = weak.lock()) {
                                             self->on_attempt_failed(reason);
                                         }
                                     },
                                     [weak] {
                                         const auto self = weak.lock();
                                         return self != nullptr && self->may_still_send();
                                     }});
    this->update_buffers();
}

// Checked once a new connection is established, before anything is sent. Connecting can take up to
// a second on a VM that is rarely scheduled, and meanwhile the list or another response may say
// that the upstream is draining. A request sent then would reach it after the bound on requests to
// draining upstreams.
bool request_flow::may_still_send() {
    const auto* member = this->current_member();
    const base::instant now = this->context.now();
    if (member == nullptr || now < member->pause_until) {
        return false;
    }
    const auto deadline = this->current_begin_deadline();
    if (deadline && now >= *deadline) {
        return false;
    }
    if (!this->count_against_limit()) {
        return false;
    }
    if (this->current->last_resort) {
        return fleet::may_serve_in_grace(*member, now, fleet_rules_of(this->context.settings));
    }
    return fleet::is_available(*member);
}

// Counts the attempt once against the rate limit of its upstream, which may have stated it since
// the upstream was chosen. Returns false if the limit does not allow the attempt.
bool request_flow::count_against_limit() {
    auto* member = this->current_member();
    if (member == nullptr || !member->limit.limit || this->current->counts_against_limit) {
        return true;
    }
    this->current->counts_against_limit = fleet::count_against_limit(*member, this->context.now());
    return this->current->counts_against_limit;
}

// Records that the upstream will hold the prompt, and how much of the stores' bandwidth the request
// uses.
void request_flow::record_prompt_sent() {
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

fleet::request_work request_flow::current_work() const {
    const auto& choice = this->current->choice;
    const bool short_prompt =
        choice.chain.total_tokens() > 0 && !kvcache::is_long_prompt(choice.chain);
    return {choice.chain.total_tokens(), choice.prefill_tokens, !may_repeat(*this->request.route),
            short_prompt, this->criteria.rank};
}

// Ends the attempt and returns its connection to the pool.
void request_flow::end_attempt() {
    this->stall_timer.clear();
    this->weights_timer.clear();
    auto* member = this->current_member();
    if (member != nullptr) {
        fleet::remove_request(member->local_work, this->current_work(),
                              this->current->response_started);
    }
    if (this->current->trial) {
        auto tried = this->suspects();
        if (this->current->broke) {
            // Whether the upstream crashed under the parts is known a moment later.
            tried.parts.clear();
        }
        quarantine::end_trial(this->context.state.quarantine, tried);
    }
    this->was_suspect = quarantine::is_suspect(this->context.state.quarantine, this->suspects());
    const auto ended_attempt = std::move(*this->current);
    this->current.reset();
    const auto& upstreams = this->context.state.fleet.members;
    const auto found = upstreams.find(ended_attempt.choice.id);
    const bool restarted = found != upstreams.end() &&
                           found->second.listed.incarnation != ended_attempt.choice.incarnation;
    const auto idle = ended_attempt.metadata.idle_timeout;
    // A connection to the previous incarnation is dead, and a request sent on it would be lost.
    const base::micros keep_time = restarted ? base::micros(0)
                                   : idle    ? *idle * 3 / 4
                                             : default_keep_time;
    this->context.connections.release(ended_attempt.choice.id, ended_attempt.connection, keep_time);
}

void request_flow::cancel_attempt() {
    this->current->connection->cancel();
    this->end_attempt();
}

} // namespace camphorrail::proxy
