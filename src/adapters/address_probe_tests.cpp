#include "adapters/address_probe.h"
#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "adapters/sockets.h"
#include "own_address.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include <memory>
#include <optional>
#include <vector>

using namespace camphorrail;
using adapters::address_state;

namespace {

address_state probe(adapters::event_loop& loop, const std::string& address,
                    base::milliseconds stand = base::milliseconds(0)) {
    std::optional<address_state> found;
    const adapters::address_probe one(loop.base(), address, {base::milliseconds(2000), stand},
                                      [&](address_state state) {
                                          found = state;
                                          loop.stop();
                                      });
    loop.run();
    return found.value();
}

// Accepts connections and closes each at once. It ends after the first one if `ends` is set.
struct closing_server {
    closing_server(event_base* base, const std::string& address, bool ends) : ends(ends) {
        auto bound = adapters::parse_address(address);
        this->listener = evconnlistener_new_bind(
            base,
            [](evconnlistener* self, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
                auto& server = *static_cast<closing_server*>(raw);
                if (server.ends) {
                    evconnlistener_free(self);
                    server.listener = nullptr;
                }
                evutil_closesocket(descriptor);
                ++server.accepted;
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
            reinterpret_cast<sockaddr*>(&*bound), sizeof *bound);
    }
    ~closing_server() {
        if (this->listener != nullptr) {
            evconnlistener_free(this->listener);
        }
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    evconnlistener* listener = nullptr;
    bool ends;
    int accepted = 0;
};

// Accepts connections and sends on each without end.
struct flooding_server {
    flooding_server(event_base* base, const std::string& address) : base(base) {
        auto bound = adapters::parse_address(address);
        this->listener = evconnlistener_new_bind(
            base,
            [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
                static_cast<flooding_server*>(raw)->flood(descriptor);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
            reinterpret_cast<sockaddr*>(&*bound), sizeof *bound);
    }
    ~flooding_server() {
        evconnlistener_free(this->listener);
        for (auto* socket : this->sockets) {
            bufferevent_free(socket);
        }
    }
    flooding_server(const flooding_server&) = delete;
    flooding_server& operator=(const flooding_server&) = delete;

    void flood(evutil_socket_t descriptor) {
        auto* socket = bufferevent_socket_new(this->base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        this->sockets.push_back(socket);
        bufferevent_setcb(
            socket, nullptr,
            [](bufferevent* drained, void* raw) {
                static_cast<flooding_server*>(raw)->send_block(drained);
            },
            nullptr, this);
        this->send_block(socket);
    }

    void send_block(bufferevent* socket) {
        const std::string block(64U << 10U, 'x');
        this->sent += block.size();
        bufferevent_write(socket, block.data(), block.size());
    }

    event_base* base;
    evconnlistener* listener = nullptr;
    std::vector<bufferevent*> sockets;
    std::size_t sent = 0;
};

} // namespace

TEST_CASE("a probe tells a process that has ended from one that listens", "[adapters]") {
    adapters::event_loop loop;
    auto server = std::make_unique<adapters::http_server>(loop.base(), adapters::http_limits{},
                                                          [](const adapters::exchange_ptr&) {});
    const std::string address = tests::own_address(18996);
    REQUIRE(server->listen(address));
    CHECK(probe(loop, address) == address_state::open);
    CHECK(probe(loop, address, base::milliseconds(5)) == address_state::open);
    server.reset();
    CHECK(probe(loop, address) == address_state::refused);
    CHECK(probe(loop, address, base::milliseconds(5)) == address_state::refused);
    CHECK(probe(loop, "no address") == address_state::unknown);
}

// Guards against taking a process for alive that ends just after it was probed, and one for ended
// that has too many connections.
TEST_CASE("a probe whose connection does not stand tries once more", "[adapters]") {
    adapters::event_loop loop;
    const std::string address = tests::own_address(18997);
    // Long enough that a close is seen first on a busy machine.
    constexpr base::milliseconds stand{1500};
    SECTION("and finds that the process has ended") {
        const closing_server server(loop.base(), address, true);
        CHECK(probe(loop, address, stand) == address_state::refused);
        CHECK(server.accepted == 1);
    }
    SECTION("and finds that the process closes connections") {
        const closing_server server(loop.base(), address, false);
        CHECK(probe(loop, address, stand) == address_state::open);
    }
}

// Guards against keeping what a listener sends without end while its connection is watched.
TEST_CASE("a probe reads little of what arrives", "[adapters][endless]") {
    adapters::event_loop loop;
    const std::string address = tests::own_address(18997);
    const flooding_server server(loop.base(), address);
    CHECK(probe(loop, address, base::milliseconds(1500)) == address_state::open);
    // What the kernel holds on both sides comes on top.
    constexpr std::size_t socket_buffers = 12U << 20U;
    CHECK(server.sent <= socket_buffers);
}
