#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>

namespace camphorrail::admission {

// How entries divide the retries that all of them together may send to a pool in any window, beyond
// a fraction of the requests. What neither part covers is a reserve for retries that reach
// upstreams late and for entries that count each other late.
struct retry_share_rules {
    // Fraction that is divided evenly among the settled processes.
    double settled_fraction = 0.65;
    // A process is settled once it has run for so long, longer than a window. Before that, its
    // predecessor may have used the entry's share in the current window, and the process may not
    // know of all entries yet.
    base::micros settling_time = base::seconds(12);
    // Fraction for processes that are not settled. It is divided into a few startup slots, and each
    // process has at most one of them.
    double startup_fraction = 0.15;
    std::size_t max_startup_slots = 8;
};

// What an entry's share depends on.
struct retry_share_view {
    // The retries for all entries.
    double slack = 0.0;
    // The largest number of entries known within the settling time.
    std::int64_t entry_count = 1;
    base::micros uptime{0};
    bool has_startup_slot = false;
};

// The number of startup slots: as many as leave at least one whole retry for each.
std::size_t startup_slot_count(double slack, const retry_share_rules& rules);

// The retries of a pool that one entry may send in any window beyond a fraction of its requests.
// Not rounded, since in a large fleet a share is less than one retry.
double retry_share(const retry_share_view& view, const retry_share_rules& rules);

} // namespace camphorrail::admission
