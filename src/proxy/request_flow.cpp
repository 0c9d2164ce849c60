#include "proxy/request_flow.h"

#include "base/hash.h"
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

std::uint64_t number_of(const ports::client_request& facts) {
    const bool shares = facts.prompt_parts.size() > 1;
    return base::stable_hash(shares ? facts.prompt_parts[facts.prompt_parts.size() - 2].id
                                    : facts.request_id);
}

std::int64_t prompt_tokens(const ports::client_request& facts) {
    return std::accumulate(
        facts.prompt_parts.begin(), facts.prompt_parts.end(), std::int64_t{0},
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
      weights_timer(context.loop.base(), [this] { this->weights_expired(); }),
      trial_timer(context.loop.base(), [this] { this->send_again_as_judged(); }) {}

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
    auto read = this->context.codec.parse_request(this->exchange->head);
    if (!read.has_value()) {
        this->refuse(base::to_code(read.error()), base::execution_state::not_run, milliseconds(0));
        return;
    }
    this->facts = std::move(read.value());
    const auto admission = admit({this->context.state.config,
                                  mirror::age(this->context.state.store, this->context.now()),
                                  max_config_age(this->context.settings)},
                                 this->exchange->head, this->facts);
    if (!admission.has_value()) {
        const auto number = base::to_code(admission.error());
        const bool come_back = number == base::code::not_ready;
        this->refuse(number, base::execution_state::not_run,
                     come_back ? other_entry : milliseconds(0));
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
    this->wanted.prompt = route.prompt_affinity ? &this->facts : nullptr;
    if (this->request.team != nullptr && this->request.team->isolated) {
        this->wanted.isolated_team = this->request.team->id;
    }
    admission::record_request(this->context.state.retries[this->wanted.pool], this->context.now());
    if (this->stopped_by_quota()) {
        return;
    }
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
    const bool missing = found != members.end() && found->second.unlisted_since;
    return missing ? this->context.now() - *found->second.unlisted_since : base::micros(listed);
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

void request_flow::refuse(base::code number, base::execution_state ran, milliseconds retry_after) {
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
    this->exchange->answer(
        status, this->context.codec.make_refusal_fields(this->facts.request_id, retry_after),
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
    this->settle_quota();
    this->overall.clear();
    this->silence_timer.clear();
    this->trial_timer.clear();
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
