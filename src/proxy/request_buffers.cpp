#include "proxy/request_buffers.h"

#include "base/hash.h"
#include "kvcache/overload.h"
#include "process/problem.h"
#include "proxy/request_flow.h"

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

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
    : context(context), release_timer(context.loop.base(), [this] { this->release(); }) {}

bool request_buffers::has_budget() const {
    const auto& settings = this->context.settings;
    return settings.features.memory_budget && settings.memory_mb > 0 && this->server != nullptr;
}

buffers::budget request_buffers::limits() const {
    return this->has_budget() ? buffers::budget_of(this->context.settings.memory_mb)
                              : buffers::budget{};
}

void request_buffers::attach(const std::shared_ptr<request_flow>& flow, buffers::holder_id holder) {
    this->flows[holder] = flow;
}

void request_buffers::detach(buffers::holder_id holder) {
    this->flows.erase(holder);
    this->update(holder);
}

bool request_buffers::may_take(buffers::holder_id holder, std::size_t body_bytes) {
    if (!this->has_budget()) {
        return true;
    }
    this->update(holder);
    auto expected = this->measure(holder);
    // The copy of the request that will wait for its upstream.
    expected.held.upstream_data += to_bytes(body_bytes);
    buffers::record(this->account, holder, expected);
    if (buffers::is_exhausted(this->account, this->limits())) {
        this->measure_all();
        buffers::record(this->account, holder, expected);
    }
    return buffers::may_take(this->account, this->limits(), holder);
}

void request_buffers::update(buffers::holder_id holder) {
    if (!this->has_budget()) {
        return;
    }
    buffers::record(this->account, holder, this->measure(holder));
    if (buffers::is_exhausted(this->account, this->limits())) {
        this->release_timer.set(base::micros(0));
    }
}

void request_buffers::tick() {
    if (!this->has_budget()) {
        this->account = {};
        return;
    }
    this->release();
    const auto attached = this->flows;
    for (const auto& [holder, weak] : attached) {
        if (const auto flow = weak.lock()) {
            flow->resume_reading_if_due();
        }
    }
}

void request_buffers::show_metrics() const {
    using buffers::kind;
    const auto& held = this->account.held;
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

buffers::holding request_buffers::measure(buffers::holder_id holder) const {
    const auto connection = this->server->buffered(holder.value);
    const auto flow = this->flow_of(holder);
    buffers::holding now;
    if (flow != nullptr) {
        now = flow->buffered();
    } else if (!connection.is_receiving || connection.unsent > 0) {
        // A refusal would wait behind an earlier response.
        now.progress = buffers::stage::responding;
    }
    now.held.request_bodies += to_bytes(connection.received);
    now.held.responses += to_bytes(connection.unsent);
    return now;
}

void request_buffers::measure_all() {
    const auto before = this->account.holders;
    for (const auto& [holder, holding] : before) {
        buffers::record(this->account, holder, this->measure(holder));
    }
}

void request_buffers::release() {
    this->measure_all();
    const auto limits = this->limits();
    for (const auto holder : buffers::choose_yields(this->account, limits)) {
        if (buffers::total(this->account.held) <= limits.released_to) {
            return;
        }
        this->yield(holder);
    }
}

// The holder may have ended when an earlier one yielded.
void request_buffers::yield(buffers::holder_id holder) {
    const auto now = this->measure(holder);
    if (buffers::total(now.held) > 0) {
        this->log_yield(holder, now.held);
        if (const auto flow = this->flow_of(holder)) {
            flow->yield_buffers();
        } else if (now.progress == buffers::stage::not_sent) {
            this->refuse_unread(holder);
        } else {
            this->server->reset(holder.value);
        }
    }
    buffers::record(this->account, holder, this->measure(holder));
}

void request_buffers::log_yield(buffers::holder_id holder, const buffers::amounts& held) const {
    const std::string kind(buffers::name_of(buffers::largest_kind(held)));
    this->context.log.line(importance::keep, "buffers_yielded")
        .text("request", this->request_of(holder).value)
        .text("kind", kind)
        .number("bytes", buffers::total(held))
        .number("held", buffers::total(this->account.held))
        .number("budget", this->limits().limit);
    this->context.metrics.count("camphorrail_buffer_yields_total", {{"kind", kind}});
}

// Empty if the request has ended, or if its head was not received completely.
base::request_id request_buffers::request_of(buffers::holder_id holder) const {
    if (const auto flow = this->flow_of(holder)) {
        return flow->id();
    }
    const auto* head = this->server->buffered(holder.value).head;
    if (head == nullptr) {
        return {};
    }
    const auto read = this->context.codec.parse_request(*head);
    return read.has_value() ? base::request_id{read.value().request_id} : base::request_id{};
}

// Refuses a request whose body has not been received completely.
void request_buffers::refuse_unread(buffers::holder_id holder) {
    const auto request = this->request_of(holder);
    const auto retry_after = retry_delay_of(request);
    const auto& code = base::describe(base::code::memory_exhausted);
    const process::problem problem{code.number, base::execution_state::not_run, retry_after, ""};
    this->context.metrics.count("camphorrail_refusals_total",
                                {{"code", std::string(code.name)}, {"ran", "not_run"}});
    this->server->refuse(holder.value, code.http_status,
                         this->context.codec.make_refusal_fields(request.value, retry_after),
                         process::to_json(problem) + "\n");
}

base::request_id request_flow::id() const {
    return {this->metadata.request_id};
}

buffers::holder_id request_flow::holder() const {
    return {this->exchange->connection_number};
}

buffers::holding request_flow::buffered() const {
    buffers::holding now;
    now.held.request_bodies = to_bytes(this->exchange->body.size());
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
    if (buffers != nullptr && buffers->has_budget()) {
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
