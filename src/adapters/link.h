#pragma once

#include <sigc++/sigc++.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

// This header is also read as C++17 (see CMakeLists.txt), so it includes none of ours.
namespace camphorrail::adapters {

// One connection between two of our processes: whole messages in both directions, over WebSocket.
class link {
public:
    virtual ~link() = default;

    // Queues one message. Does nothing on a link that is closed.
    virtual void send(std::string_view bytes) = 0;
    // Closes without a further signal.
    virtual void close() = 0;
    // Bytes queued and not yet taken by the kernel.
    [[nodiscard]] virtual std::size_t queued_bytes() const = 0;

    sigc::signal<void()> opened;
    sigc::signal<void(std::string_view)> received;
    // The other end closed, the connection failed or the peer broke the protocol.
    sigc::signal<void()> closed;
};

using link_ptr = std::shared_ptr<link>;

// Bounds of a link.
struct link_limits {
    std::size_t max_message_bytes = 0;
    // Time from the start of a connection until the link is open.
    std::chrono::milliseconds handshake_time{3000};
    // Bytes of messages that are not complete, over all links of a listener. Beyond it, the link
    // with the most of them is closed.
    std::size_t max_incomplete_bytes = std::numeric_limits<std::size_t>::max();
    // Bytes of messages that the other ends have not read, over all links of a listener. Beyond it,
    // the link with the most of them is closed.
    std::size_t max_unread_bytes = std::numeric_limits<std::size_t>::max();
    // Links of a listener. Beyond it, new connections are closed.
    std::size_t max_links = 512;
};

// Starts to connect to "IP:PORT"; `opened` or `closed` follows.
link_ptr connect_link(event_base* base, const std::string& address, link_limits limits);

// Takes connections on "IP:PORT".
class link_listener {
public:
    virtual ~link_listener() = default;
    virtual void stop() = 0;
    // Bytes of messages that the other ends of its links have not read.
    [[nodiscard]] virtual std::size_t unread_bytes() const = 0;
};

// Gives nothing when the address can't be listened on.
std::unique_ptr<link_listener> listen_for_links(event_base* base, const std::string& address,
                                                link_limits limits,
                                                std::function<void(link_ptr)> accepted);

} // namespace camphorrail::adapters
