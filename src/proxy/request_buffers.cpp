#include "proxy/request_buffers.h"

#include "base/hash.h"
#include "kvcache/overload.h"
#include "process/problem.h"
#include "proxy/request_flow.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// What a part of a prompt takes up: its name, its size and what is derived of both.
constexpr std::int64_t prompt_part_memory = 256;

std::int64_t to_bytes(std::size_t size) {
    return static_cast<std::int64_t>(size);
}

// The request is as large as any other that is held, so it is worth a retry only once others have
// been read.
base::milliseconds retry_delay_of(const base::request_id& request) {
    return kvcache::retry_delay(base::stable_hash(request.value));
}

} // namespace

request_buffers::request_buffers(entry_context& context)
    : context(context),
      memory(context.loop.base(),
             {[this] { return this->limits(); },
              [this](buffers::holder_id holder) -> std::optional<buffers::holding> {
                  const auto flow = this->flow_of(holder);
                  return flow == nullptr ? std::nullopt : std::optional(flow->buffered());
              },
              [this](buffers::holder_id holder) { this->flow_of(holder)->yield_buffers(); },
              [this](buffers::holder_id holder) { return this->make_refusal(holder); },
              [this](buffers::holder_id holder, const buffers::amounts& held) {
                  this->log_yield(holder, held);
              }}) {}

buffers::budget request_buffers::limits() const {
    const std::size_t others =
        this->context.unread_message_bytes() + this->context.state.origins.bytes;
    return buffers::budget_of(this->context.settings.memory_mb, to_bytes(others));
}

bool request_buffers::reads_ahead() const {
    return this->context.settings.features.memory_budget && this->memory.has_budget();
}

void request_buffers::attach(const std::shared_ptr<request_flow>& flow, buffers::holder_id holder) {
    this->flows[holder] = flow;
}

void request_buffers::detach(buffers::holder_id holder) {
    this->flows.erase(holder);
    this->update(holder);
}

bool request_buffers::may_take(buffers::holder_id holder, std::size_t body_bytes) {
    // The copy of the request that will wait for its upstream.
    return this->memory.may_take(holder, {0, 0, to_bytes(body_bytes)});
}

void request_buffers::tick() {
    this->memory.tick();
    if (!this->reads_ahead()) {
        return;
    }
    const auto attached = this->flows;
    for (const auto& [holder, weak] : attached) {
        if (const auto flow = weak.lock()) {
            flow->resume_reading_if_due();
        }
    }
}

void request_buffers::show_metrics() const {
    using buffers::kind;
    const auto& held = this->held().held;
    const std::pair<kind, std::int64_t> kinds[] = {{kind::request_body, held.request_bodies},
                                                   {kind::response, held.responses},
                                                   {kind::upstream_data, held.upstream_data}};
    for (const auto& [each, bytes] : kinds) {
        this->context.metrics.set("camphorrail_buffered_bytes", static_cast<double>(bytes),
                                  {{"kind", std::string(buffers::name_of(each))}});
    }
    this->context.metrics.set("camphorrail_buffer_budget_bytes",
                              static_cast<double>(this->limits().limit));
}

std::shared_ptr<request_flow> request_buffers::flow_of(buffers::holder_id holder) const {
    const auto found = this->flows.find(holder);
    return found == this->flows.end() ? nullptr : found->second.lock();
}

void request_buffers::log_yield(buffers::holder_id holder, const buffers::amounts& held) const {
    const std::string kind(buffers::name_of(buffers::largest_kind(held)));
    this->context.log.line(importance::keep, "buffers_yielded")
        .text("request", this->request_of(holder).value)
        .text("kind", kind)
        .number("bytes", buffers::total(held))
        .number("held", buffers::total(this->held().held))
        .number("budget", this->limits().limit);
    this->context.metrics.count("camphorrail_buffer_yields_total", {{"kind", kind}});
}

// Empty if the request has ended, or if its head was not received completely.
base::request_id request_buffers::request_of(buffers::holder_id holder) const {
    if (const auto flow = this->flow_of(holder)) {
        return flow->id();
    }
    const auto* head = this->memory.head_of(holder);
    if (head == nullptr) {
        return {};
    }
    const auto read = this->context.codec.parse_request(*head);
    return read.has_value() ? base::request_id{read.value().request_id} : base::request_id{};
}

// What a request whose body has not been received completely is refused with.
adapters::refusal request_buffers::make_refusal(buffers::holder_id holder) const {
    const auto request = this->request_of(holder);
    const auto retry_after = retry_delay_of(request);
    const auto& code = base::describe(base::code::memory_exhausted);
    const process::problem problem{code.number, base::execution_state::not_run, retry_after, ""};
    this->context.metrics.count("camphorrail_refusals_total",
                                {{"code", std::string(code.name)}, {"ran", "not_run"}});
    return {this->context.codec.make_refusal_fields(request.value, retry_after),
            process::to_json(problem) + "\n"};
}

base::request_id request_flow::id() const {
    return {this->metadata.request_id};
}

buffers::holder_id request_flow::holder() const {
    return {this->exchange->connection_number};
}

buffers::holding request_flow::buffered() const {
    buffers::holding now;
    now.held.request_bodies =
        to_bytes(http::memory_of(this->exchange->body) + this->exchange->head_memory) +
        to_bytes(this->metadata.prompt_parts.size()) * prompt_part_memory;
    now.held.responses = to_bytes(this->body_buffer.size() + this->relay.splitter.rest.size());
    now.held.responses += this->upstream_error ? to_bytes(this->upstream_error->body.size()) : 0;
    now.held.upstream_data = this->current ? to_bytes(this->current->connection->unsent()) : 0;
    const bool may_run = this->possible_executions > 0 ||
                         (this->current && this->current->connection->may_have_sent());
    if (this->state == response_state::streaming) {
        now.progress = buffers::stage::responding;
    } else if (may_run) {
        now.progress = buffers::stage::running;
    }
    return now;
}

void request_flow::update_buffers() {
    if (this->context.buffers != nullptr) {
        this->context.buffers->update(this->holder());
    }
}

// Refuses a new request if it would be the first to yield anyway.
bool request_flow::refuse_if_memory_exhausted() {
    auto* buffers = this->context.buffers;
    if (buffers == nullptr || buffers->may_take(this->holder(), this->exchange->body.size())) {
        return false;
    }
    buffers->log_yield(this->holder(), this->buffered().held);
    this->refuse(base::code::memory_exhausted, base::execution_state::not_run,
                 retry_delay_of(this->id()));
    return true;
}

// Ends the request to release its memory. A response that has begun is broken off with the bytes
// that wait for the client, since those are what holds the memory.
void request_flow::yield_buffers() {
    const auto self = this->shared_from_this();
    this->upstream_error.reset();
    if (this->state == response_state::streaming) {
        this->exchange->reset();
    }
    this->terminate("memory_exhausted", base::code::memory_exhausted, base::code::upstream_failed,
                    retry_delay_of(this->id()));
}

// Pauses reading from the upstream if the client lags far behind, unless the memory budget allows
// to read on.
void request_flow::pause_reading_if_due(std::size_t bytes) {
    const auto* buffers = this->context.buffers;
    const base::instant now = this->context.now();
    if (buffers != nullptr && buffers->reads_ahead()) {
        buffers::read_on(this->reading, buffers->held(), buffers->limits(), to_bytes(bytes), now);
    } else {
        this->reading.paused = true;
    }
    if (this->reading.paused) {
        this->current->connection->pause_reading();
    }
}

void request_flow::resume_reading_if_due() {
    const auto* buffers = this->context.buffers;
    const base::instant now = this->context.now();
    if (this->current &&
        buffers::resume_reading(this->reading, buffers->held(), buffers->limits(), now)) {
        this->last_progress = now;
        this->start_stall_timer();
        this->current->connection->resume_reading();
    }
}

} // namespace camphorrail::proxy
