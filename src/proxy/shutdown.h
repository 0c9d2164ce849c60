#pragma once

#include "base/units.h"

#include <cstddef>
#include <optional>

namespace camphorrail::proxy {

// An entry's orderly end, from the signal to stop until the process may exit.
struct shutdown_state {
    // When the signal came; nothing where none has.
    std::optional<base::instant> started_at;
    // Callers' connections are still accepted and read.
    bool accepting = true;
    // When the entry gave up what it does for the others.
    std::optional<base::instant> resigned_at;
};

struct shutdown_rules {
    // The balancer asks once a second and takes an entry out after two misses; until then callers
    // still arrive, and must be served.
    base::micros balancer_detection_time = base::milliseconds(2800);
    // What giving up the lead and writing the last log lines takes.
    base::micros resign_time = base::milliseconds(150);
};

// What callers still wait for.
struct shutdown_view {
    base::instant now{};
    std::size_t open_requests = 0;
    std::size_t unsent_bytes = 0;
};

enum class shutdown_step { wait, stop_accepting, resign, exit };

// What is to be done now, and notes it as done. To be asked again until it says to wait.
shutdown_step advance_shutdown(shutdown_state& state, const shutdown_view& view,
                               const shutdown_rules& rules);

} // namespace camphorrail::proxy
