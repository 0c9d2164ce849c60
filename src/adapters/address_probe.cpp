#include "adapters/address_probe.h"

#include "adapters/sockets.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <cerrno>
#include <utility>

namespace camphorrail::adapters {

namespace {

constexpr std::size_t max_input_bytes = 64U << 10U;

// What a bufferevent's event says of the address that it was connecting to; to be asked within its
// callback, where the socket's error is still known.
address_state state_of(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        return address_state::open;
    }
    const bool refused = (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    return refused ? address_state::refused : address_state::unknown;
}

} // namespace

address_probe::address_probe(event_base* base, std::string address, probe_limits limits,
                             std::function<void(address_state)> tell)
    : base(base), address(std::move(address)), limits(limits), told(std::move(tell)),
      limit(base, [this] { this->on_timer(); }) {
    this->connect();
}

void address_probe::connect() {
    this->socket = start_connecting(this->base, this->address);
    if (this->socket == nullptr) {
        this->limit.set(base::micros(0));
        return;
    }
    this->limit.set(this->limits.connect);
    bufferevent_setcb(
        this->socket, [](bufferevent*, void* raw) { static_cast<address_probe*>(raw)->on_input(); },
        nullptr,
        [](bufferevent*, short what, void* raw) {
            static_cast<address_probe*>(raw)->on_event(what);
        },
        this);
}

void address_probe::on_event(short what) {
    const bool connected = (what & BEV_EVENT_CONNECTED) != 0;
    if (connected && !this->is_second && this->limits.stand > base::milliseconds(0)) {
        this->stands = true;
        bufferevent_enable(this->socket, EV_READ);
        this->limit.set(this->limits.stand);
        return;
    }
    if (!this->stands) {
        this->conclude(state_of(what));
        return;
    }
    this->stands = false;
    this->is_second = true;
    this->release();
    this->connect();
}

// Nothing is expected to arrive, and what does would be kept while the connection is watched.
void address_probe::on_input() {
    if (evbuffer_get_length(bufferevent_get_input(this->socket)) > max_input_bytes) {
        this->conclude(address_state::open);
    }
}

void address_probe::on_timer() {
    this->conclude(this->stands ? address_state::open : address_state::unknown);
}

address_probe::~address_probe() {
    this->release();
}

void address_probe::conclude(address_state state) {
    this->limit.clear();
    this->release();
    const auto tell = std::move(this->told);
    tell(state);
}

void address_probe::release() {
    if (this->socket != nullptr) {
        bufferevent_free(std::exchange(this->socket, nullptr));
    }
}

} // namespace camphorrail::adapters
