#include "proxy/request_flow.h"

#include "base/hash.h"
#include "process/problem.h"
#include "proxy/request_buffers.h"
#include "proxy/request_limits.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// Applies to routes without a timeout when the client sets no deadline.
constexpr milliseconds default_timeout{60000};

std::uint64_t request_hash(const ports::client_request& metadata) {
    const bool shares = metadata.prompt_parts.size() > 1;
    return base::stable_hash(shares ? metadata.prompt_parts[metadata.prompt_parts.size() - 2].id
                                    : metadata.request_id);
}

std::int64_t prompt_tokens(const ports::client_request& metadata) {
    return std::accumulate(
        metadata.prompt_parts.begin(), metadata.prompt_parts.end(), std::int64_t{0},
        [](std::int64_t sum, const auto& part) { return sum + part.size.value; });
}

} // namespace

http::fields client_fields(const http::response_head& head) {
    http::fields sent;
    for (const auto& field : head.all) {
        if (!http::same_name(field.name, "Content-Length") &&
            !http::is_hop_by_hop(head.all, field.name)) {
            sent.push_back(field);
        }
    }
    return sent;
}

request_flow::request_flow(entry_context& context, adapters::client_exchange_ptr exchange)
    : context(context), exchange(std::move(exchange)),
      timeout_timer(context.loop.base(), [this] { this->on_timeout(); }),
      stall_timer(context.loop.base(), [this] { this->check_for_stall(); }),
      weights_timer(context.loop.base(), [this] { this->on_weights_expired(); }),
      trial_timer(context.loop.base(), [this] { this->retry_as_suspect(); }),
      view_timer(context.loop.base(), [this] {
          const auto self = this->shared_from_this();
          this->resume_earlier_request();
      }) {}

void request_flow::begin() {
    const auto self = this->shared_from_this();
    const std::weak_ptr<request_flow> weak = self;
    this->exchange->disconnected.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->on_client_disconnected();
        }
    });
    this->exchange->drained.connect([weak] {
        if (const auto flow = weak.lock()) {
            flow->on_client_drained();
        }
    });
    if (this->context.buffers != nullptr) {
        this->context.buffers->attach(self, this->holder());
    }
    auto read = this->context.codec.parse_request(this->exchange->head);
    if (!read.has_value()) {
        this->refuse(base::to_code(read.error()), base::execution_state::not_run, milliseconds(0));
        return;
    }
    this->metadata = std::move(read.value());
    const auto admission = admit(
        {this->context.state.config, mirror::age(this->context.state.store, this->context.now()),
         max_config_age(this->context.settings), this->context.state.has_had_teams},
        this->exchange->head, this->metadata);
    if (!admission.has_value()) {
        const auto number = base::to_code(admission.error());
        const bool may_succeed_elsewhere = number == base::code::not_ready;
        this->refuse(number, base::execution_state::not_run,
                     may_succeed_elsewhere ? other_entry_delay : milliseconds(0));
        return;
    }
    this->request = admission.value();
    const auto& route = *this->request.route;
    this->timeout = route.timeout.count() > 0 ? route.timeout : default_timeout;
    if (this->metadata.deadline) {
        this->timeout = std::min(this->timeout, *this->metadata.deadline);
    }
    this->criteria.hash = request_hash(this->metadata);
    this->criteria.pool = routes::choose_pool(route, this->criteria.hash);
    this->criteria.target = route.target;
    if (this->context.settings.features.rank_queueing) {
        this->criteria.rank = queueing_rank(this->context.state.ranks, this->request);
    }
    this->criteria.begins_stream = this->may_be_resumed();
    this->criteria.prompt = route.prompt_affinity ? &this->metadata : nullptr;
    if (this->request.team != nullptr) {
        this->criteria.team = this->request.team->id;
        this->criteria.is_isolated = this->request.team->isolated;
    }
    admission::record_request(this->context.state.retries[this->criteria.pool],
                              this->context.now());
    if (this->refuse_if_memory_exhausted() || this->refuse_if_over_quota() ||
        this->refuse_if_beyond_share()) {
        return;
    }
    this->timeout_timer.set(std::max(this->time_left(), milliseconds(0)));
    if (this->resumes_earlier_request()) {
        this->resume_earlier_request();
    } else {
        this->send_attempt();
    }
}

milliseconds request_flow::time_left() const {
    return this->timeout - std::chrono::duration_cast<milliseconds>(this->age());
}

base::micros request_flow::age() const {
    return this->context.now() - this->exchange->arrived;
}

// How long the upstream has been missing from the platform's list, for logs; -1 if it is listed.
base::micros request_flow::unlisted_time(const base::upstream_id& id) const {
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

fleet::member* request_flow::current_member() const {
    return fleet::find_instance(this->context.state.fleet, instance_of(this->current->choice));
}

void request_flow::refuse(base::code number, base::execution_state ran, milliseconds retry_after) {
    if (this->upstream_error) {
        // An upstream's own error tells the client more than a refusal by this entry.
        const full_response kept = std::move(*this->upstream_error);
        this->exchange->respond(kept.head.status, client_fields(kept.head), kept.body);
        this->finish("upstream_error", kept.head.status);
        return;
    }
    const int status = base::describe(number).http_status;
    const auto upstreams = count_upstreams(this->context, this->criteria.pool);
    this->context.log.line(importance::keep, "refused")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("code", base::describe(number).name)
        .text("ran", base::to_string(ran))
        .number("retry_after_ms", retry_after.count())
        .number("config_version",
                this->context.state.config == nullptr ? 0 : this->context.state.config->version)
        .span("config_age_ms", logged_config_age(this->context))
        .number("sent_again", this->retry_count)
        .number("unreachable", this->unreachable_count)
        .number("pool_listed", upstreams.listed)
        .number("pool_fit", upstreams.eligible)
        .number("pool_busy", upstreams.busy)
        .number("pool_suspected", upstreams.suspected)
        .number("pool_limited", upstreams.limited);
    this->context.metrics.count("camphorrail_refusals_total",
                                {{"code", std::string(base::describe(number).name)},
                                 {"ran", std::string(base::to_string(ran))}});
    const process::problem problem{number, ran, retry_after, ""};
    this->exchange->respond(
        status, this->context.codec.make_refusal_fields(this->metadata.request_id, retry_after),
        process::to_json(problem) + "\n");
    this->finish("refused", status);
}

// Used if the response has begun and cannot be completed, or if the client has disconnected.
void request_flow::abort_response(const char* reason) {
    this->exchange->abort();
    this->context.log.line(importance::keep, "broken_off")
        .text("request", this->metadata.request_id)
        .text("kind", this->kind_name())
        .text("why", reason)
        .text("last_event", this->relay.last_event_id);
    this->finish(reason, 0);
}

void request_flow::finish(const char* outcome, int status) {
    if (this->state == response_state::ended) {
        return;
    }
    this->state = response_state::ended;
    this->settle_quota();
    this->settle_share();
    this->record_rank_loss();
    this->timeout_timer.clear();
    this->stall_timer.clear();
    this->trial_timer.clear();
    this->view_timer.clear();
    const bool succeeded = std::string_view(outcome) == "ok";
    this->context.log.line(succeeded ? importance::routine : importance::keep, "ended")
        .text("request", this->metadata.request_id)
        .text("outcome", outcome)
        .number("status", status)
        .number("prompt_tokens", prompt_tokens(this->metadata))
        .span("first_byte_ms", this->time_to_first_byte.value_or(base::micros(0)))
        .span("longest_pause_ms", this->longest_pause)
        .span("total_ms", this->age())
        .number("begun", this->possible_executions)
        .number("sent_again", this->retry_count);
    this->context.metrics.count("camphorrail_answers_total",
                                {{"kind", this->kind_name()}, {"outcome", outcome}});
    if (this->context.buffers != nullptr) {
        this->context.buffers->detach(this->holder());
    }
    const auto callback = std::move(this->on_end);
    if (callback) {
        callback();
    }
}

} // namespace camphorrail::proxy
