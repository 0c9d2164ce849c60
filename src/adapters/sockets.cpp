#include "adapters/sockets.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace camphorrail::adapters {

namespace {

// Where the system names no limit, or none that matters.
constexpr rlim_t most_descriptors = 1U << 20U;

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

std::optional<sockaddr_in> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    std::uint16_t port = 0;
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(begin, end, port);
    const bool whole = read.ec == std::errc{} && read.ptr == end && begin != end;
    if (!whole || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(port);
    return address;
}

bufferevent* start_connecting(event_base* base, const std::string& address) {
    auto parsed = parse_address(address);
    if (!parsed) {
        return nullptr;
    }
    bufferevent* socket = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (bufferevent_socket_connect(socket, reinterpret_cast<sockaddr*>(&*parsed), sizeof *parsed) !=
        0) {
        bufferevent_free(socket);
        return nullptr;
    }
    return socket;
}

std::size_t descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return most_descriptors;
    }
    return std::min(limit.rlim_cur, most_descriptors);
}

timeval to_timeval(base::micros span) {
    constexpr std::int64_t second = 1000000;
    return {static_cast<time_t>(span.count() / second),
            static_cast<suseconds_t>(span.count() % second)};
}

} // namespace camphorrail::adapters
