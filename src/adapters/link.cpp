#include "adapters/link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <type_traits>
#include <utility>

namespace camphorrail::adapters {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

constexpr std::size_t read_piece = 16384;
// A handshake has no body; websocketpp would keep one of 32 MB.
constexpr std::size_t max_handshake_body = 4096;
// Accepting is retried after this time, in microseconds, if the process has no descriptor left.
constexpr suseconds_t accept_retry_period_us = 100'000;

struct socket_address {
    sockaddr_storage storage{};
    int length = sizeof(sockaddr_storage);

    bool parse(const std::string& text) {
        return evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&this->storage),
                                          &this->length) == 0;
    }
    sockaddr* get() { return reinterpret_cast<sockaddr*>(&this->storage); }
};

// Answers of a few tokens each must not wait for the kernel to fill a segment.
void disable_delay(evutil_socket_t socket) {
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

// What a link holds, in bytes.
struct link_bytes {
    // Of a message that is not complete.
    std::size_t incomplete = 0;
    // Of messages that the other end has not read.
    std::size_t unread = 0;
};

// The links that a listener has accepted, and what all of them hold.
struct accepted_links {
    std::map<link*, link_bytes> held;
    link_bytes total;
};

using accepted_links_ptr = std::shared_ptr<accepted_links>;

void record(accepted_links& all, link* one, const link_bytes& bytes) {
    link_bytes& now = all.held[one];
    all.total.incomplete += bytes.incomplete - now.incomplete;
    all.total.unread += bytes.unread - now.unread;
    now = bytes;
}

void remove(accepted_links& all, link* one) {
    if (all.held.count(one) > 0) {
        record(all, one, {});
        all.held.erase(one);
    }
}

// What other ends have read since is not reported.
void measure_unread(accepted_links& all) {
    for (auto& [one, bytes] : all.held) {
        record(all, one, {bytes.incomplete, one->queued_bytes()});
    }
}

link* largest(const accepted_links& all, std::size_t link_bytes::*kind) {
    return std::max_element(all.held.begin(), all.held.end(),
                            [kind](const auto& left, const auto& right) {
                                return left.second.*kind < right.second.*kind;
                            })
        ->first;
}

template <class Endpoint>
class socket_link : public link, public std::enable_shared_from_this<socket_link<Endpoint>> {
public:
    socket_link(Endpoint& endpoint, bufferevent* socket)
        : endpoint(&endpoint), socket(socket),
          end_timer(evtimer_new(bufferevent_get_base(socket), on_end_due, this)) {}

    ~socket_link() override { this->release(); }

    socket_link(const socket_link&) = delete;
    socket_link& operator=(const socket_link&) = delete;

    // Counts this link among those of its listener.
    void join(accepted_links_ptr all) {
        this->listener_links = std::move(all);
        record(*this->listener_links, this, {});
    }

    void attach(typename Endpoint::connection_ptr made, const link_limits& limits) {
        this->connection = made;
        this->max_incomplete_bytes = limits.max_incomplete_bytes;
        this->max_unread_bytes = limits.max_unread_bytes;
        made->set_max_message_size(limits.max_message_bytes);
        made->set_max_http_body_size(max_handshake_body);
        made->set_write_handler(
            [this](websocketpp::connection_hdl, char const* bytes, std::size_t count) {
                if (this->socket != nullptr) {
                    bufferevent_write(this->socket, bytes, count);
                }
                return std::error_code();
            });
        made->set_open_handler([this](websocketpp::connection_hdl) {
            event_del(this->end_timer);
            this->opened.emit();
        });
        made->set_message_handler(
            [this](websocketpp::connection_hdl, typename Endpoint::message_ptr message) {
                this->incomplete_bytes = 0;
                this->received.emit(message->get_payload());
            });
        made->set_fail_handler([this](websocketpp::connection_hdl) { this->broken = true; });
        made->set_close_handler([this](websocketpp::connection_hdl) { this->broken = true; });
        bufferevent_setcb(this->socket, on_read, nullptr, on_event, this);
        bufferevent_enable(this->socket, EV_READ | EV_WRITE);
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(limits.handshake_time);
        const std::chrono::microseconds rest = limits.handshake_time - seconds;
        const timeval wait{seconds.count(), rest.count()};
        evtimer_add(this->end_timer, &wait);
    }

    void send(std::string_view bytes) override {
        if (this->socket == nullptr || !this->connection) {
            return;
        }
        this->connection->send(bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
        this->check_unread();
    }

    void close() override {
        this->finished = true;
        this->release();
    }

    [[nodiscard]] std::size_t queued_bytes() const override {
        return this->socket == nullptr ? 0
                                       : evbuffer_get_length(bufferevent_get_output(this->socket));
    }

private:
    // A link is let go while one of its own handlers runs, as when a message leads to its
    // replacement. Holding it for the length of the callback keeps the handler's ground in place.
    static void on_read(bufferevent* socket, void* self) {
        const auto held = static_cast<socket_link*>(self)->shared_from_this();
        std::array<char, read_piece> piece{};
        while (held->socket != nullptr && !held->broken) {
            const auto count =
                evbuffer_remove(bufferevent_get_input(socket), piece.data(), piece.size());
            if (count <= 0) {
                break;
            }
            held->incomplete_bytes += static_cast<std::size_t>(count);
            held->connection->read_all(piece.data(), static_cast<std::size_t>(count));
        }
        if (held->broken) {
            held->fail();
        } else {
            held->check_incomplete();
        }
    }

    // Messages of many links, none of which ends, would fill the memory together.
    void check_incomplete() {
        if (!this->listener_links || this->socket == nullptr) {
            return;
        }
        auto& all = *this->listener_links;
        record(all, this, {this->incomplete_bytes, this->queued_bytes()});
        if (all.total.incomplete > this->max_incomplete_bytes) {
            const auto held = static_cast<socket_link*>(largest(all, &link_bytes::incomplete))
                                  ->shared_from_this();
            held->fail();
        }
    }

    // A message may be answered by one that is thousands of times as large, and the other end need
    // not read it.
    void check_unread() {
        if (!this->listener_links) {
            return;
        }
        auto& all = *this->listener_links;
        record(all, this, {this->incomplete_bytes, this->queued_bytes()});
        if (all.total.unread <= this->max_unread_bytes) {
            return;
        }
        measure_unread(all);
        if (all.total.unread > this->max_unread_bytes) {
            static_cast<socket_link*>(largest(all, &link_bytes::unread))->fail_soon();
        }
    }

    // Releases what the link holds. Its end is reported from the event loop, since its owner may be
    // the caller.
    void fail_soon() {
        this->release_socket();
        const timeval at_once{0, 0};
        evtimer_add(this->end_timer, &at_once);
    }

    static void on_event(bufferevent* socket, short what, void* self) {
        const auto held = static_cast<socket_link*>(self)->shared_from_this();
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            disable_delay(bufferevent_getfd(socket));
            held->start();
        } else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0) {
            held->fail();
        }
    }

    // Also the end of the time for the handshake: the other end may answer a byte at a time, or not
    // at all, which no other limit ends.
    static void on_end_due(evutil_socket_t /*socket*/, short /*what*/, void* self) {
        const auto held = static_cast<socket_link*>(self)->shared_from_this();
        held->fail();
    }

    void start() {
        if constexpr (std::is_same_v<Endpoint, client_endpoint>) {
            this->endpoint->connect(this->connection);
        }
    }

    void fail() {
        if (this->finished) {
            return;
        }
        this->finished = true;
        this->release();
        this->closed.emit();
    }

    void release() {
        if (this->end_timer != nullptr) {
            event_free(std::exchange(this->end_timer, nullptr));
        }
        this->release_socket();
    }

    void release_socket() {
        if (this->listener_links) {
            remove(*this->listener_links, this);
        }
        if (this->socket != nullptr) {
            bufferevent_free(std::exchange(this->socket, nullptr));
        }
    }

    Endpoint* endpoint;
    bufferevent* socket;
    // Ends the link once it is due.
    event* end_timer;
    typename Endpoint::connection_ptr connection;
    // Null for a link that was not accepted by a listener.
    accepted_links_ptr listener_links;
    std::size_t max_incomplete_bytes = 0;
    std::size_t max_unread_bytes = 0;
    // Bytes received since the last complete message.
    std::size_t incomplete_bytes = 0;
    bool broken = false;
    bool finished = false;
};

template <class Endpoint>
void silence(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

client_endpoint& shared_client() {
    static client_endpoint* endpoint = [] {
        auto* made = new client_endpoint;
        silence(*made);
        return made;
    }();
    return *endpoint;
}

class socket_listener : public link_listener {
public:
    socket_listener(link_limits limits, std::function<void(link_ptr)> accepted)
        : limits(limits), accepted(std::move(accepted)) {
        silence(this->endpoint);
    }

    ~socket_listener() override { this->stop(); }

    socket_listener(const socket_listener&) = delete;
    socket_listener& operator=(const socket_listener&) = delete;

    bool listen(event_base* base, const std::string& address) {
        socket_address parsed;
        if (!parsed.parse(address)) {
            return false;
        }
        constexpr unsigned flags = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE;
        this->listener =
            evconnlistener_new_bind(base, on_accept, this, flags, -1, parsed.get(), parsed.length);
        if (this->listener == nullptr) {
            return false;
        }
        this->retry_timer = evtimer_new(base, on_accept_retry, this);
        evconnlistener_set_error_cb(this->listener, on_accept_failed);
        return true;
    }

    [[nodiscard]] std::size_t unread_bytes() const override { return this->links->total.unread; }

    void stop() override {
        if (this->retry_timer != nullptr) {
            event_free(std::exchange(this->retry_timer, nullptr));
        }
        if (this->listener != nullptr) {
            evconnlistener_free(this->listener);
            this->listener = nullptr;
        }
    }

private:
    static void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr* /*from*/,
                          int /*length*/, void* self) {
        auto* owner = static_cast<socket_listener*>(self);
        if (owner->links->held.size() >= owner->limits.max_links) {
            evutil_closesocket(socket);
            return;
        }
        disable_delay(socket);
        bufferevent* buffered = bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                       BEV_OPT_CLOSE_ON_FREE);
        auto made = std::make_shared<socket_link<server_endpoint>>(owner->endpoint, buffered);
        auto connection = owner->endpoint.get_connection();
        made->join(owner->links);
        made->attach(connection, owner->limits);
        owner->accepted(made);
        connection->start();
    }

    // Pauses accepting: otherwise the event loop would retry at once for as long as the process
    // lacks descriptors.
    static void on_accept_failed(evconnlistener* listener, void* self) {
        evconnlistener_disable(listener);
        const timeval wait{0, accept_retry_period_us};
        evtimer_add(static_cast<socket_listener*>(self)->retry_timer, &wait);
    }

    static void on_accept_retry(evutil_socket_t /*socket*/, short /*what*/, void* self) {
        evconnlistener_enable(static_cast<socket_listener*>(self)->listener);
    }

    link_limits limits;
    std::function<void(link_ptr)> accepted;
    server_endpoint endpoint;
    accepted_links_ptr links = std::make_shared<accepted_links>();
    evconnlistener* listener = nullptr;
    event* retry_timer = nullptr;
};

} // namespace

link_ptr connect_link(event_base* base, const std::string& address, link_limits limits) {
    socket_address parsed;
    parsed.parse(address);
    bufferevent* buffered = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto made = std::make_shared<socket_link<client_endpoint>>(shared_client(), buffered);
    std::error_code failed;
    auto connection = shared_client().get_connection("ws://" + address + "/", failed);
    made->attach(connection, limits);
    bufferevent_socket_connect(buffered, parsed.get(), parsed.length);
    return made;
}

std::unique_ptr<link_listener> listen_for_links(event_base* base, const std::string& address,
                                                link_limits limits,
                                                std::function<void(link_ptr)> accepted) {
    auto made = std::make_unique<socket_listener>(limits, std::move(accepted));
    if (!made->listen(base, address)) {
        return nullptr;
    }
    return made;
}

} // namespace camphorrail::adapters
