#pragma once

#include "base/units.h"

#include <cstddef>
#include <netinet/in.h>
#include <optional>
#include <string>

struct bufferevent;
struct event_base;
struct timeval;

namespace camphorrail::adapters {

// When a connection whose other end has fallen silent is given up.
struct silence_limits {
    // Bytes that stay unacknowledged for this long break the connection.
    base::milliseconds unacknowledged{0};
    // An idle connection is probed after this long, and then as often; after `probes` without an
    // answer it breaks.
    base::seconds probe_after{1};
    int probes = 3;
};

// Sends small writes at once, and has the kernel notice a silent other end. Without it a connection
// over a link that drops everything hangs for minutes, and so does the request on it.
void watch_for_silence(int descriptor, silence_limits limits);

// Reads "IP:PORT"; port 0 stands for any free one. Nothing where the text makes no sense.
std::optional<sockaddr_in> parse_address(const std::string& text);

// Starts to connect to "IP:PORT". Null where the address makes no sense.
bufferevent* start_connecting(event_base* base, const std::string& address);

// How many file descriptors this process may have open.
std::size_t descriptor_limit();

timeval to_timeval(base::micros span);

} // namespace camphorrail::adapters
