#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>

namespace camphorrail::ports {

// Clock of a process. Simulations and tests provide their own.
struct clock {
    // Monotonic time; leases and deadlines are checked against it.
    std::function<base::instant()> now;
    // Unix time in milliseconds, for data that other processes or later incarnations read.
    std::function<std::int64_t()> wall_ms;
};

// Calls a function once after a delay, on the event loop's thread.
struct timers {
    std::function<void(base::micros, std::function<void()>)> after;
};

} // namespace camphorrail::ports
