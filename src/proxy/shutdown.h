#pragma once

#include "base/units.h"

#include <cstddef>
#include <optional>

namespace camphorrail::proxy {

// The graceful shutdown of an entry, from the stop signal until the process may exit.
struct shutdown_state {
    // When the stop signal arrived; empty before.
    std::optional<base::instant> started_at;
    // Client connections are still accepted and read.
    bool accepting = true;
    // When the entry gave up its roles in the cluster, such as leadership.
    std::optional<base::instant> resigned_at;
};

struct shutdown_rules {
    // The load balancer polls once a second and removes an entry after two failed polls. Until then
    // clients still arrive and must be served.
    base::micros balancer_detection_time = base::milliseconds(2800);
    // Time allowed for giving up leadership and writing the last log lines.
    base::micros resign_time = base::milliseconds(150);
};

// What clients still wait for.
struct shutdown_view {
    base::instant now{};
    std::size_t open_requests = 0;
    std::size_t unsent_bytes = 0;
};

enum class shutdown_step { wait, stop_accepting, resign, exit };

// Returns the next step and records it as done. Call it repeatedly until it returns `wait`.
shutdown_step advance_shutdown(shutdown_state& state, const shutdown_view& view,
                               const shutdown_rules& rules);

} // namespace camphorrail::proxy
