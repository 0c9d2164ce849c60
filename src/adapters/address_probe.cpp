#include "adapters/address_probe.h"

#include "adapters/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <cerrno>
#include <utility>

namespace camphorrail::adapters {

namespace {

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

address_probe::address_probe(event_base* base, const std::string& address,
                             base::milliseconds limit_span, std::function<void(address_state)> tell)
    : told(std::move(tell)), socket(start_connecting(base, address)),
      limit(base, [this] { this->conclude(address_state::unknown); }) {
    if (this->socket == nullptr) {
        this->limit.set(base::micros(0));
        return;
    }
    this->limit.set(limit_span);
    bufferevent_setcb(
        this->socket, nullptr, nullptr,
        [](bufferevent*, short what, void* raw) {
            static_cast<address_probe*>(raw)->conclude(state_of(what));
        },
        this);
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
