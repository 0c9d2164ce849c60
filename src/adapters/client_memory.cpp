#include "adapters/client_memory.h"

#include <utility>

namespace camphorrail::adapters {

namespace {

constexpr int status_unavailable = 503;

std::int64_t to_bytes(std::size_t size) {
    return static_cast<std::int64_t>(size);
}

buffers::amounts sum_of(const buffers::amounts& left, const buffers::amounts& right) {
    return {left.request_bodies + right.request_bodies, left.responses + right.responses,
            left.upstream_data + right.upstream_data};
}

} // namespace

client_memory::client_memory(event_base* base, client_memory_callbacks callbacks)
    : callbacks(std::move(callbacks)), release_timer(base, [this] { this->release(); }) {}

bool client_memory::has_budget() const {
    return this->server != nullptr && this->callbacks.budget().limit > 0;
}

bool client_memory::may_take(buffers::holder_id holder, const buffers::amounts& more) {
    if (!this->has_budget()) {
        return true;
    }
    this->update(holder);
    const auto limits = this->callbacks.budget();
    auto expected = this->measure(holder);
    expected.held = sum_of(expected.held, more);
    // It is asked before it holds more, so it can still be refused.
    expected.may_yield = true;
    buffers::record(this->account, holder, expected);
    if (buffers::is_exhausted(this->account, limits)) {
        this->measure_all();
        buffers::record(this->account, holder, expected);
    }
    return buffers::may_take(this->account, limits, holder);
}

void client_memory::check_announced(buffers::holder_id holder) {
    const auto announced = to_bytes(this->server->buffered(holder.value).announced);
    const bool may_take = this->may_take(holder, {announced, 0, 0});
    if (!may_take) {
        this->yield(holder);
    }
    this->record_received(holder);
}

void client_memory::record_received(buffers::holder_id holder) {
    if (!this->has_budget()) {
        return;
    }
    buffers::record(this->account, holder, this->measure(holder));
    if (buffers::is_exhausted(this->account, this->callbacks.budget())) {
        this->release();
    }
}

void client_memory::update(buffers::holder_id holder) {
    if (!this->has_budget()) {
        return;
    }
    buffers::record(this->account, holder, this->measure(holder));
    if (buffers::is_exhausted(this->account, this->callbacks.budget())) {
        this->release_timer.set(base::micros(0));
    }
}

void client_memory::tick() {
    if (!this->has_budget()) {
        this->account = {};
        return;
    }
    this->release();
}

buffers::holding client_memory::measure(buffers::holder_id holder) const {
    const auto connection = this->server->buffered(holder.value);
    buffers::holding now;
    if (const auto request = this->callbacks.measure_request(holder)) {
        now = *request;
    } else if (!connection.is_receiving || connection.unsent > 0) {
        // A refusal would wait behind an earlier response.
        now.progress = buffers::stage::responding;
    }
    now.is_stalled = connection.is_stalled;
    now.held.request_bodies += to_bytes(connection.received);
    now.held.responses += to_bytes(connection.unsent);
    return now;
}

void client_memory::measure_all() {
    const auto before = this->account.holders;
    for (const auto& [holder, holding] : before) {
        buffers::record(this->account, holder, this->measure(holder));
    }
}

void client_memory::release() {
    this->measure_all();
    const auto limits = this->callbacks.budget();
    for (const auto holder : buffers::choose_yields(this->account, limits)) {
        if (buffers::total(this->account.held) <= limits.released_to) {
            return;
        }
        this->yield(holder);
    }
}

// The holder may have ended when an earlier one yielded.
void client_memory::yield(buffers::holder_id holder) {
    const auto now = this->measure(holder);
    if (buffers::total(now.held) > 0) {
        if (this->callbacks.on_yield) {
            this->callbacks.on_yield(holder, now.held);
        }
        if (this->callbacks.measure_request(holder)) {
            this->callbacks.yield_request(holder);
        } else if (now.progress == buffers::stage::not_sent) {
            this->refuse_unread(holder);
        } else {
            this->server->reset(holder.value);
        }
    }
    buffers::record(this->account, holder, this->measure(holder));
}

// Refuses a request whose body has not been received completely.
void client_memory::refuse_unread(buffers::holder_id holder) {
    const auto text = this->callbacks.make_refusal(holder);
    this->server->refuse(holder.value, status_unavailable, text.fields, text.body);
}

} // namespace camphorrail::adapters
