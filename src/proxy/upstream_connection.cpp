#include "proxy/upstream_connection.h"

#include "adapters/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <string_view>
#include <utility>

namespace camphorrail::proxy {

namespace {

// Upstreams are under a few milliseconds away; a lost first packet is sent again after a second,
// which is too late for most calls, while another connection may well get through at once.
constexpr base::milliseconds connect_timeout{250};
// A standing connection can fall silent for good while new ones work. Both spans are well below the
// seconds that callers wait, and far above any round trip.
constexpr adapters::silence_limits upstream_silence{base::milliseconds(1500), base::seconds(1), 2};
constexpr http::read_limits answer_limits{64U << 10U, 64U << 20U};

std::string_view contents(evbuffer* input) {
    const auto length = evbuffer_get_length(input);
    return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
}

} // namespace

upstream_connection::upstream_connection(event_base* base, std::string address)
    : base(base), address(std::move(address)), reader(answer_limits) {}

upstream_connection::~upstream_connection() {
    this->release();
}

void upstream_connection::call(std::string bytes, call_events handlers) {
    this->events = std::move(handlers);
    this->reader = http::response_reader(answer_limits);
    this->waiting = std::move(bytes);
    this->busy = true;
    this->sent = false;
    this->head_told = false;
    this->dropping = false;
    this->usable_again = false;
    if (this->stands) {
        this->connected();
    } else {
        this->connect();
    }
}

void upstream_connection::connect() {
    this->socket = adapters::start_connecting(this->base, this->address);
    this->connect_limit = std::make_unique<adapters::timer>(this->base, [this] {
        const auto self = this->shared_from_this();
        this->fail(call_failure::never_sent);
    });
    if (this->socket == nullptr) {
        this->connect_limit->set(base::micros(0));
        return;
    }
    bufferevent_setcb(this->socket, on_read, nullptr, on_event, this);
    bufferevent_enable(this->socket, EV_READ | EV_WRITE);
    this->connect_limit->set(connect_timeout);
}

void upstream_connection::connected() {
    this->stands = true;
    this->connect_limit.reset();
    this->sent = true;
    bufferevent_write(this->socket, this->waiting.data(), this->waiting.size());
    this->waiting.clear();
    this->waiting.shrink_to_fit();
}

void upstream_connection::on_read(bufferevent* /*socket*/, void* raw) {
    const auto self = static_cast<upstream_connection*>(raw)->shared_from_this();
    self->read_answer();
}

void upstream_connection::on_event(bufferevent* socket, short what, void* raw) {
    const auto self = static_cast<upstream_connection*>(raw)->shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        adapters::watch_for_silence(bufferevent_getfd(socket), upstream_silence);
        if (self->events.still_wanted && !self->events.still_wanted()) {
            self->fail(call_failure::taken_back);
            return;
        }
        self->connected();
        return;
    }
    self->connection_ended((what & BEV_EVENT_EOF) != 0);
}

void upstream_connection::read_answer() {
    evbuffer* input = bufferevent_get_input(this->socket);
    if (!this->busy) {
        // Bytes that nobody asked for: the next call would take them for its answer.
        this->release();
        if (this->on_idle_end) {
            this->on_idle_end();
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

void upstream_connection::connection_ended(bool orderly) {
    if (!this->busy) {
        this->release();
        if (this->on_idle_end) {
            this->on_idle_end();
        }
        return;
    }
    if (orderly && this->head_told) {
        this->reader.feed_end();
        this->usable_again = false;
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
    if (this->reader.has_head() && !this->head_told) {
        this->head_told = true;
        // Copied, since the handler may cancel the call and so drop the handlers.
        const auto started = this->events.started;
        this->dropping = !started(this->reader.head());
    }
    if (!this->busy || !this->head_told) {
        return;
    }
    std::string bytes = this->reader.take_body();
    if (!bytes.empty() && !this->dropping) {
        const auto received = this->events.received;
        received(std::move(bytes));
    }
    if (this->busy && this->reader.complete()) {
        this->complete();
    }
}

void upstream_connection::complete() {
    if (this->dropping) {
        this->reader = http::response_reader(answer_limits);
        this->head_told = false;
        this->dropping = false;
        return;
    }
    this->busy = false;
    // An upstream may answer before it has read the whole call; what it then reads as the next call
    // would be the rest of this one.
    const bool whole_sent =
        this->socket != nullptr && evbuffer_get_length(bufferevent_get_output(this->socket)) == 0;
    const bool nothing_more =
        this->socket != nullptr && evbuffer_get_length(bufferevent_get_input(this->socket)) == 0;
    this->usable_again = whole_sent && nothing_more && this->reader.head().keep_alive &&
                         !this->reader.head().ends_with_close;
    if (!this->usable_again) {
        this->release();
    }
    const auto ended = std::move(this->events.ended);
    this->events = {};
    ended();
}

void upstream_connection::fail(call_failure why) {
    this->busy = false;
    this->usable_again = false;
    this->release();
    const auto failed = std::move(this->events.failed);
    this->events = {};
    if (failed) {
        failed(why);
    }
}

void upstream_connection::cancel() {
    this->busy = false;
    this->usable_again = false;
    this->events = {};
    this->on_idle_end = {};
    this->release();
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
    this->connect_limit.reset();
    this->stands = false;
    if (this->socket != nullptr) {
        bufferevent_free(std::exchange(this->socket, nullptr));
    }
}

} // namespace camphorrail::proxy
