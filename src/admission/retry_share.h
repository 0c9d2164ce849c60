#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::admission {

// How entries divide the retries that all of them together may send to a pool in any window, beyond
// a fraction of the requests.
struct retry_share_rules {
    // Fraction of these retries that is divided. The rest covers retries that reach upstreams late,
    // and entries that count each other late.
    double divided_fraction = 0.7;
    // A process has no share until it has run for so long: its predecessor may have used the share
    // in the current window, and this process may not know of all entries yet. Longer than a
    // window.
    base::micros settling_time = base::seconds(12);
};

// The retries of a pool that one entry may send in any window beyond a fraction of its requests.
// The result is not rounded: in a large fleet a share is less than one retry. `slack` is the number
// for all entries, `entry_count` the largest number of entries known within the settling time.
double retry_share(double slack, std::int64_t entry_count, base::micros uptime,
                   const retry_share_rules& rules);

} // namespace camphorrail::admission
