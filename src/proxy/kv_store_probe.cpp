#include "proxy/kv_store_probe.h"

#include "adapters/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr base::milliseconds period{1000};
// A connection within a region takes a few milliseconds; a first packet may be lost.
constexpr base::milliseconds patience{300};

} // namespace

kv_store_probe::kv_store_probe(entry_context& context)
    : context(context), limit(context.loop.base(), [this] { this->answered(false); }) {}

kv_store_probe::~kv_store_probe() {
    this->release();
}

void kv_store_probe::tick() {
    const base::instant now = this->context.now();
    if (this->socket != nullptr || now < this->next || this->context.state.config == nullptr) {
        return;
    }
    this->next = now + period;
    const auto address = routes::kv_store_of(*this->context.state.config);
    if (address.empty()) {
        return;
    }
    this->socket = adapters::start_connecting(this->context.loop.base(), address);
    if (this->socket == nullptr) {
        this->answered(false);
        return;
    }
    bufferevent_setcb(
        this->socket, nullptr, nullptr,
        [](bufferevent*, short what, void* raw) {
            static_cast<kv_store_probe*>(raw)->answered((what & BEV_EVENT_CONNECTED) != 0);
        },
        this);
    this->limit.set(patience);
}

void kv_store_probe::answered(bool up) {
    this->limit.clear();
    this->release();
    bool& down = this->context.state.kv_store_down;
    if (down == !up) {
        return;
    }
    down = !up;
    this->context.log.line(importance::keep, up ? "kv_store_regained" : "kv_store_lost");
    if (!up) {
        // It comes back empty.
        kvcache::forget_saved(this->context.state.cache);
    }
}

void kv_store_probe::release() {
    if (this->socket != nullptr) {
        bufferevent_free(std::exchange(this->socket, nullptr));
    }
}

} // namespace camphorrail::proxy
