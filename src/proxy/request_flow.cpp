#include "proxy/request_flow.h"

#include "base/hash.h"
#include "http/writers.h"
#include "kvcache/lanes.h"
#include "kvcache/overload.h"
#include "process/problem.h"
#include "proxy/request_limits.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// For routes without a timeout, from callers without a deadline.
constexpr milliseconds default_limit{60000};
// What a request's way to an upstream and back takes at least.
constexpr milliseconds hop{4};
// An upstream that says how long it keeps idle connections is taken at its word, less a quarter.
// One that says nothing is trusted for this long.
constexpr milliseconds unknown_keep{2000};
// A call that may not run twice is lost if its connection turns out to be dead, so it takes only
// connections that were used this recently; a new one costs a round trip.
constexpr milliseconds once_longest_idle{700};
constexpr base::seconds any_longest_idle{60};

std::uint64_t number_of(const ports::caller_request& facts) {
    const bool shares = facts.parts.size() > 1;
    return base::stable_hash(shares ? facts.parts[facts.parts.size() - 2].id : facts.request_id);
}

std::int64_t prompt_tokens(const ports::caller_request& facts) {
    return std::accumulate(
        facts.parts.begin(), facts.parts.end(), std::int64_t{0},
        [](std::int64_t sum, const auto& part) { return sum + part.size.value; });
}

} // namespace

http::fields caller_fields(const http::response_head& head) {
    http::fields sent;
    for (const auto& one : head.all) {
        if (!http::same_name(one.name, "Content-Length") &&
            !http::is_hop_by_hop(head.all, one.name)) {
            sent.push_back(one);
        }
    }
    return sent;
}

request_flow::request_flow(entry_context& context, exchange_ptr exchange)
    : context(context), exchange(std::move(exchange)),
      overall(context.loop.base(), [this] { this->out_of_time(); }),
      silence_timer(context.loop.base(), [this] { this->look_for_silence(); }),
      weights_timer(context.loop.base(), [this] { this->weights_expired(); }) {}

void request_flow::begin() {
    const auto held = this->shared_from_this();
    const std::weak_ptr<request_flow> weak = held;
    this->exchange->gone.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->caller_gone();
        }
    });
    this->exchange->drained.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->caller_caught_up();
        }
    });
    auto read = this->context.words.read_request(this->exchange->head);
    if (!read.has_value()) {
        this->refuse(base::to_code(read.error()), base::ran::not_run, milliseconds(0));
        return;
    }
    this->facts = std::move(read.value());
    const auto admission = admit({this->context.state.config,
                                  mirror::age(this->context.state.store, this->context.now()),
                                  longest_config_age(this->context.settings)},
                                 this->exchange->head, this->facts);
    if (!admission.has_value()) {
        const auto number = base::to_code(admission.error());
        const bool come_back = number == base::code::not_ready;
        this->refuse(number, base::ran::not_run, come_back ? other_entry : milliseconds(0));
        return;
    }
    this->request = admission.value();
    const auto& route = *this->request.route;
    this->limit = route.timeout.count() > 0 ? route.timeout : default_limit;
    if (this->facts.deadline) {
        this->limit = std::min(this->limit, *this->facts.deadline);
    }
    this->wanted.number = number_of(this->facts);
    this->wanted.pool = routes::choose_pool(route, this->wanted.number);
    this->wanted.target = route.target;
    this->wanted.prompt = route.shares_prompts ? &this->facts : nullptr;
    if (this->request.team != nullptr && this->request.team->isolated) {
        this->wanted.isolated_team = this->request.team->id;
    }
    admission::note_request(this->context.state.retries[this->wanted.pool], this->context.now());
    this->overall.set(this->time_left());
    this->send_attempt();
}

milliseconds request_flow::time_left() const {
    return this->limit - std::chrono::duration_cast<milliseconds>(this->age());
}

base::micros request_flow::age() const {
    return this->context.now() - this->exchange->arrived;
}

// How long the platform's list has lacked the upstream, as logs show it; -1 where it is listed.
base::micros request_flow::unlisted_for(const base::upstream_id& id) const {
    constexpr base::milliseconds listed{-1};
    const auto& members = this->context.state.fleet.members;
    const auto found = members.find(id);
    const bool missing = found != members.end() && found->second.missing_since;
    return missing ? this->context.now() - *found->second.missing_since : base::micros(listed);
}

const char* request_flow::kind_name() const {
    if (this->request.route == nullptr) {
        return "none";
    }
    switch (this->request.route->kind) {
    case routes::request_kind::idempotent:
        return "idempotent";
    case routes::request_kind::once:
        return "once";
    case routes::request_kind::stream:
        break;
    }
    return this->request.route->resumable ? "resumable_stream" : "stream";
}

fleet::member* request_flow::member_of_attempt() const {
    return fleet::find_instance(this->context.state.fleet, instance_of(this->current->choice));
}

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
    const std::int64_t tokens = choice.chain.all_tokens();
    if (tokens == 0) {
        return true;
    }
    auto& record = this->context.state.prompt_sizes[this->request.route->name];
    const auto verdict = kvcache::judge_prompt(
        record, {tokens, choice.wait_ms, choice.first_byte_ms, this->wanted.target}, {});
    if (verdict == kvcache::prompt_verdict::taken_for_its_size) {
        this->context.log.line(importance::keep, "taken_for_its_size")
            .text("request", this->facts.request_id)
            .text("route", this->request.route->name)
            .number("prompt_tokens", tokens)
            .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
            .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
            .number("target_ms", this->wanted.target.count());
        this->context.metrics.count("camphorrail_prompts_taken_for_their_size_total");
    }
    return verdict != kvcache::prompt_verdict::refused;
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
        .number("prompt_tokens", choice.chain.all_tokens())
        .number("to_read", choice.to_read)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("target_ms", this->wanted.target.count())
        .number("unread_there", choice.unread_there);
    this->refuse(base::code::overloaded, base::ran::not_run,
                 kvcache::come_back_after(base::stable_hash(this->facts.request_id)));
}

ports::attempt_terms request_flow::terms_of(const upstream_choice& choice) const {
    ports::attempt_terms terms;
    terms.instance = choice.id;
    terms.team = this->request.team == nullptr ? base::team_id{} : this->request.team->id;
    terms.time_left = this->time_left() - hop;
    terms.priority = rank_of(this->request);
    terms.cache_salt = choice.cache_salt;
    terms.fetch_from = choice.fetch_from;
    terms.save_to = choice.save_to;
    terms.weights = choice.weights;
    terms.last_event = this->events.last_event;
    return terms;
}

void request_flow::send_to(upstream_choice choice) {
    const auto& head = this->exchange->head;
    const auto terms = this->terms_of(choice);
    const bool has_body = !this->exchange->body.empty() || http::has(head.all, "Content-Length") ||
                          http::has(head.all, "Transfer-Encoding");
    std::string bytes = http::write_request_head(
        head.method, head.target, this->context.words.attempt_fields(head, terms),
        {has_body ? http::framing::length : http::framing::none, this->exchange->body.size()});
    bytes += this->exchange->body;
    this->context.log.line(importance::routine, "sent")
        .text("request", this->facts.request_id)
        .text("route", this->request.route->name)
        .text("kind", this->kind_name())
        .text("upstream", choice.id.value)
        .text("why", choice.why)
        .number("store_revision", this->context.state.store.revision)
        .span("unlisted_ms", this->unlisted_for(choice.id))
        .number("weights", choice.weights)
        .text("fetch_from", choice.fetch_from)
        .number("config_version", this->request.config->version)
        .span("config_age_ms", logged_config_age(this->context))
        .number("time_left_ms", terms.time_left.count())
        .number("rank", terms.priority)
        .number("prompt_tokens", choice.chain.all_tokens())
        .number("to_read", choice.to_read)
        .number("unread_there", choice.unread_there)
        .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
        .number("fetch_ms", static_cast<std::int64_t>(choice.fetch_ms))
        .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
        .number("tries", this->begun + this->sent_again + this->unreachable)
        .flag("suspect", this->wanted.suspect);

    this->current = attempt{};
    this->current->choice = std::move(choice);
    this->current->sent_at = this->context.now();
    this->last_progress = this->current->sent_at;
    const auto& sent = this->current->choice;
    const bool once = !may_repeat(*this->request.route);
    this->current->connection = this->context.connections.take(
        sent.id, sent.address, once ? base::micros(once_longest_idle) : any_longest_idle);
    if (auto* one = this->member_of_attempt()) {
        this->current->last_resort = !fleet::is_listed(*one);
        fleet::begin_work(one->ours, this->work_of_attempt());
    }
    if (this->wanted.suspect) {
        this->current->trial = true;
        quarantine::begin_trial(this->context.state.quarantine, this->identity().digest, sent.id,
                                this->current->sent_at, {});
    }
    const auto all_tokens = sent.chain.all_tokens();
    if (all_tokens > 0) {
        this->context.metrics.count("camphorrail_prompt_tokens_placed_total",
                                    {{"expected", "held"}},
                                    static_cast<double>(all_tokens - sent.to_read));
        this->context.metrics.count("camphorrail_prompt_tokens_placed_total",
                                    {{"expected", "read"}}, static_cast<double>(sent.to_read));
    }
    this->note_prompt_sent();
    this->watch_for_silence();
    if (sent.begin_by) {
        this->weights_timer.set(*sent.begin_by - this->current->sent_at);
    }
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
    if (this->current->last_resort) {
        return fleet::may_still_serve(*one, now, fleet_rules_of(this->context.settings));
    }
    return fleet::is_listed(*one);
}

// Notes what the request will have the upstream hold, and what it takes of a store's link.
void request_flow::note_prompt_sent() {
    const auto& sent = this->current->choice;
    auto& state = this->context.state;
    if (sent.chain.shared_tokens() >= kvcache::least_tracked_tokens) {
        kvcache::note_sent(state.cache, sent.id, sent.chain, sent.weights,
                           engine_room(state, instance_of(sent)));
    }
    for (const auto& [store, ms] : sent.transfers) {
        kvcache::note_transfer(state.kept[store], ms, this->context.now());
        state.untold_transfers[store] += ms;
    }
}

fleet::request_work request_flow::work_of_attempt() const {
    const auto& choice = this->current->choice;
    const bool short_prompt = choice.chain.all_tokens() > 0 && !kvcache::is_long(choice.chain);
    return {choice.chain.all_tokens(), choice.to_read, !may_repeat(*this->request.route),
            short_prompt};
}

// The attempt is over and its connection may serve another call.
void request_flow::leave_attempt() {
    this->silence_timer.clear();
    this->weights_timer.clear();
    auto* one = this->member_of_attempt();
    if (one != nullptr) {
        fleet::end_work(one->ours, this->work_of_attempt(), this->current->begun);
    }
    if (this->current->trial) {
        quarantine::end_trial(this->context.state.quarantine, this->identity().digest);
    }
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

void request_flow::refuse(base::code number, base::ran ran, milliseconds retry_after) {
    if (this->error_answer) {
        // An upstream's own error says more than ours.
        const whole_answer kept = std::move(*this->error_answer);
        this->exchange->answer(kept.head.status, caller_fields(kept.head), kept.body);
        this->finish("upstream_error", kept.head.status);
        return;
    }
    const int status = base::describe(number).http_status;
    const auto upstreams = count_pool(this->context, this->wanted.pool);
    this->context.log.line(importance::keep, "refused")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("code", base::describe(number).name)
        .text("ran", base::to_string(ran))
        .number("retry_after_ms", retry_after.count())
        .number("config_version",
                this->context.state.config == nullptr ? 0 : this->context.state.config->version)
        .span("config_age_ms", logged_config_age(this->context))
        .number("sent_again", this->sent_again)
        .number("unreachable", this->unreachable)
        .number("pool_listed", upstreams.listed)
        .number("pool_fit", upstreams.fit)
        .number("pool_busy", upstreams.busy)
        .number("pool_suspected", upstreams.suspected);
    this->context.metrics.count("camphorrail_refusals_total",
                                {{"code", std::string(base::describe(number).name)},
                                 {"ran", std::string(base::to_string(ran))}});
    const process::problem problem{number, ran, retry_after, ""};
    this->exchange->answer(status,
                           this->context.words.refusal_fields(this->facts.request_id, retry_after),
                           process::to_json(problem) + "\n");
    this->finish("refused", status);
}

// The answer has begun and can't be completed, or there is nobody to answer.
void request_flow::end_without_answer(const char* why) {
    this->exchange->abort();
    this->context.log.line(importance::keep, "broken_off")
        .text("request", this->facts.request_id)
        .text("kind", this->kind_name())
        .text("why", why)
        .text("last_event", this->events.last_event);
    this->finish(why, 0);
}

void request_flow::finish(const char* outcome, int status) {
    if (this->state == answer_state::ended) {
        return;
    }
    this->state = answer_state::ended;
    this->overall.clear();
    this->silence_timer.clear();
    const bool fine = std::string_view(outcome) == "ok";
    this->context.log.line(fine ? importance::routine : importance::keep, "ended")
        .text("request", this->facts.request_id)
        .text("outcome", outcome)
        .number("status", status)
        .number("prompt_tokens", prompt_tokens(this->facts))
        .span("first_byte_ms", this->first_byte.value_or(base::micros(0)))
        .span("longest_pause_ms", this->longest_pause)
        .span("total_ms", this->age())
        .number("begun", this->begun)
        .number("sent_again", this->sent_again);
    this->context.metrics.count("camphorrail_answers_total",
                                {{"kind", this->kind_name()}, {"outcome", outcome}});
    const auto told = std::move(this->on_end);
    if (told) {
        told();
    }
}

} // namespace camphorrail::proxy
