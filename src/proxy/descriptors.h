#pragma once

#include "adapters/event_log.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>

namespace camphorrail::proxy {

// How a process's file descriptors are divided. A request takes one for its client and at most one
// for an upstream, so `clients` counts twice.
struct descriptor_shares {
    // Limit on client connections.
    std::size_t clients = 0;
    // Limit on idle connections that are kept open to upstreams.
    std::size_t idle_upstreams = 0;
    // For files and for connections to the store, other entries, the load balancer and operators,
    // and for commands to upstreams.
    std::size_t reserve = 0;
};

descriptor_shares share_descriptors(std::size_t limit);

// Whether the frontend server accepts connections, and how many it has.
struct accept_status {
    bool paused = false;
    std::int64_t pauses = 0;
    std::size_t clients = 0;
    std::size_t max_clients = 0;
};

// What has been logged about pauses in accepting.
struct accept_log_state {
    bool pause_logged = false;
    std::int64_t pauses_seen = 0;
    std::int64_t pauses_logged = 0;
    base::instant last_pause{};
};

// Logs when accepting pauses, and when it has resumed and not paused again for a while: at most one
// pair of lines in that time, however often it pauses.
void log_accept_pauses(accept_log_state& log_state, const accept_status& status, base::instant now,
                       adapters::event_log& log);

} // namespace camphorrail::proxy
