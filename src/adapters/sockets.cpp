#include "adapters/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorrail::adapters {

namespace {

void set_option(int descriptor, int level, int option, int value) {
    // A kernel that lacks the option leaves the connection as it is; the request's own timeouts
    // still hold.
    (void)setsockopt(descriptor, level, option, &value, sizeof value);
}

} // namespace

void watch_for_silence(int descriptor, silence_limits limits) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<int>(limits.unacknowledged.count()));
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(limits.probe_after.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
               static_cast<int>(limits.probe_after.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, limits.probes);
}

bufferevent* start_connecting(event_base* base, const std::string& address) {
    sockaddr_storage storage{};
    int length = sizeof storage;
    if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr*>(&storage),
                                   &length) != 0) {
        return nullptr;
    }
    bufferevent* socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (bufferevent_socket_connect(socket, reinterpret_cast<sockaddr*>(&storage), length) != 0) {
        bufferevent_free(socket);
        return nullptr;
    }
    return socket;
}

timeval to_timeval(base::micros span) {
    constexpr std::int64_t second = 1000000;
    return {static_cast<time_t>(span.count() / second),
            static_cast<suseconds_t>(span.count() % second)};
}

} // namespace camphorrail::adapters
