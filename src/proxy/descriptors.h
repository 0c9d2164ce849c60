#pragma once

#include "adapters/event_log.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>

namespace camphorrail::proxy {

// How a process's file descriptors are shared out. A caller's request takes one for the caller and
// at most one for an upstream, so that `callers` counts twice.
struct descriptor_shares {
    // Connections of callers.
    std::size_t clients = 0;
    // Connections to upstreams that are kept for the next request.
    std::size_t idle_upstreams = 0;
    // For files, the store, other entries, the balancer, operators, and orders to upstreams.
    std::size_t reserve = 0;
};

descriptor_shares share_descriptors(std::size_t limit);

// What a server of callers says of its accepting.
struct accept_status {
    bool paused = false;
    std::int64_t pauses = 0;
    std::size_t clients = 0;
    std::size_t max_clients = 0;
};

// What the log says of it.
struct accept_log_state {
    bool pause_logged = false;
    std::int64_t pauses_seen = 0;
    std::int64_t pauses_logged = 0;
    base::instant last_pause{};
};

// Logs that accepting pauses, and that it goes on once it has not paused for a while: at most one
// pair of lines in that time, however often it pauses.
void log_accept_pauses(accept_log_state& log_state, const accept_status& status, base::instant now,
                       adapters::event_log& log);

} // namespace camphorrail::proxy
