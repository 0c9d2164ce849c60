#include "raw_client.h"

#include "adapters/sockets.h"

#include <event2/util.h>

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorrail::tests {

int connect_client(const std::string& address) {
    const auto to = adapters::parse_address(address);
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    if (!to || connect(descriptor, reinterpret_cast<const sockaddr*>(&*to), sizeof *to) != 0) {
        close(descriptor);
        return -1;
    }
    evutil_make_socket_nonblocking(descriptor);
    return descriptor;
}

std::optional<std::size_t> send_some(int descriptor, const std::string& bytes) {
    const auto count = send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count >= 0) {
        return static_cast<std::size_t>(count);
    }
    return errno == EAGAIN ? std::optional<std::size_t>(0) : std::nullopt;
}

std::string repeat(const std::string& bytes, std::size_t at_least) {
    std::string all;
    while (all.size() < at_least) {
        all += bytes;
    }
    return all;
}

} // namespace camphorrail::tests
