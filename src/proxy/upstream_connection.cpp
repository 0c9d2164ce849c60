#include "proxy/upstream_connection.h"

#include "adapters/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <string_view>
#include <utility>

namespace camphorrail::proxy {

namespace {

// Upstreams are less than a few milliseconds away. TCP retransmits a lost SYN after one second, too
// late for most requests, while a new connection may succeed at once.
constexpr base::milliseconds connect_timeout{250};
// An established connection can go dead while new ones work. Both times are well below the seconds
// that clients wait, and far above any round trip.
constexpr adapters::silence_limits upstream_keepalive{base::milliseconds(1500), base::seconds(1),
                                                      2};
constexpr http::read_limits response_limits{64U << 10U, 64U << 20U};

std::string_view contents(evbuffer* input) {
    const auto length = evbuffer_get_length(input);
    return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
}

} // namespace

upstream_connection::upstream_connection(event_base* base, std::string address)
    : base(base), address(std::move(address)), reader(response_limits) {}

upstream_connection::~upstream_connection() {
    this->release();
}

void upstream_connection::call(std::string bytes, call_handlers handlers) {
    this->handlers = std::move(handlers);
    this->reader = http::response_reader(response_limits);
    this->pending_request = std::move(bytes);
    this->busy = true;
    this->sent = false;
    this->head_delivered = false;
    this->dropping_response = false;
    this->is_reusable = false;
    if (this->is_connected) {
        this->on_connected();
    } else {
        this->connect();
    }
}

void upstream_connection::connect() {
    this->socket = adapters::start_connecting(this->base, this->address);
    this->connect_timer = std::make_unique<adapters::timer>(this->base, [this] {
        const auto self = this->shared_from_this();
        this->fail(call_failure::never_sent);
    });
    if (this->socket == nullptr) {
        this->connect_timer->set(base::micros(0));
        return;
    }
    bufferevent_setcb(this->socket, on_read, nullptr, on_event, this);
    bufferevent_enable(this->socket, EV_READ | EV_WRITE);
    this->connect_timer->set(connect_timeout);
}

void upstream_connection::on_connected() {
    this->is_connected = true;
    this->connect_timer.reset();
    this->sent = true;
    bufferevent_write(this->socket, this->pending_request.data(), this->pending_request.size());
    this->pending_request.clear();
    this->pending_request.shrink_to_fit();
}

void upstream_connection::on_read(bufferevent* /*socket*/, void* raw) {
    const auto self = static_cast<upstream_connection*>(raw)->shared_from_this();
    self->read_response();
}

void upstream_connection::on_event(bufferevent* socket, short what, void* raw) {
    const auto self = static_cast<upstream_connection*>(raw)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        adapters::watch_for_silence(bufferevent_getfd(socket), upstream_keepalive);
        if (self->handlers.still_wanted && !self->handlers.still_wanted()) {
            self->fail(call_failure::withdrawn);
            return;
        }
        self->on_connected();
        return;
    }
    self->on_connection_closed((what & BEV_EVENT_EOF) != 0);
}

void upstream_connection::read_response() {
    evbuffer* input = bufferevent_get_input(this->socket);
    if (!this->busy) {
        // Unsolicited bytes: the next request would take them for its response.
        this->release();
        if (this->on_idle_closed) {
            this->on_idle_closed();
        }
        return;
    }
    while (this->busy && this->socket != nullptr && evbuffer_get_length(input) > 0) {
        const auto used = this->reader.feed(contents(input));
        evbuffer_drain(input, used);
        this->deliver();
        if (used == 0) {
            return;
        }
    }
}

void upstream_connection::on_connection_closed(bool orderly) {
    if (!this->busy) {
        this->release();
        if (this->on_idle_closed) {
            this->on_idle_closed();
        }
        return;
    }
    if (orderly && this->head_delivered) {
        this->reader.feed_end();
        this->is_reusable = false;
        this->release();
        this->deliver();
    }
    if (this->busy) {
        this->fail(this->sent ? call_failure::broken : call_failure::never_sent);
    }
}

void upstream_connection::deliver() {
    if (this->reader.fault() != http::read_fault::none) {
        this->fail(call_failure::malformed);
        return;
    }
    if (this->reader.has_head() && !this->head_delivered) {
        this->head_delivered = true;
        // Copied because the handler may cancel the request, which destroys the handlers.
        const auto on_head = this->handlers.on_head;
        this->dropping_response = !on_head(this->reader.head());
    }
    if (!this->busy || !this->head_delivered) {
        return;
    }
    std::string bytes = this->reader.take_body();
    if (!bytes.empty() && !this->dropping_response) {
        const auto on_body = this->handlers.on_body;
        on_body(std::move(bytes));
    }
    if (this->busy && this->reader.complete()) {
        this->complete();
    }
}

void upstream_connection::complete() {
    if (this->dropping_response) {
        this->reader = http::response_reader(response_limits);
        this->head_delivered = false;
        this->dropping_response = false;
        return;
    }
    this->busy = false;
    // An upstream may respond before it has read the whole request. It would then read the rest of
    // this request as the next one.
    const bool all_sent =
        this->socket != nullptr && evbuffer_get_length(bufferevent_get_output(this->socket)) == 0;
    const bool no_extra_input =
        this->socket != nullptr && evbuffer_get_length(bufferevent_get_input(this->socket)) == 0;
    this->is_reusable = all_sent && no_extra_input && this->reader.head().keep_alive &&
                        !this->reader.head().ends_with_close;
    if (!this->is_reusable) {
        this->release();
    }
    const auto on_end = std::move(this->handlers.on_end);
    this->handlers = {};
    on_end();
}

void upstream_connection::fail(call_failure reason) {
    this->busy = false;
    this->is_reusable = false;
    this->release();
    const auto on_failure = std::move(this->handlers.on_failure);
    this->handlers = {};
    if (on_failure) {
        on_failure(reason);
    }
}

void upstream_connection::cancel() {
    this->busy = false;
    this->is_reusable = false;
    this->handlers = {};
    this->on_idle_closed = {};
    this->release();
}

std::size_t upstream_connection::unsent() const {
    const std::size_t written =
        this->socket == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(this->socket));
    return this->pending_request.size() + written;
}

void upstream_connection::pause_reading() {
    if (this->socket != nullptr) {
        bufferevent_disable(this->socket, EV_READ);
    }
}

void upstream_connection::resume_reading() {
    if (this->socket != nullptr) {
        bufferevent_enable(this->socket, EV_READ);
    }
}

void upstream_connection::release() {
    this->connect_timer.reset();
    this->is_connected = false;
    if (this->socket != nullptr) {
        bufferevent_free(std::exchange(this->socket, nullptr));
    }
}

} // namespace camphorrail::proxy
