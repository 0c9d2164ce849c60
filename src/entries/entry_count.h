#pragma once

#include "base/units.h"

#include <cstdint>
#include <vector>

namespace camphorrail::entries {

// A number of entries and when it was last known to be right.
struct known_entry_count {
    std::int64_t count = 0;
    base::instant last_known_at{};
};

// The numbers of entries that were known recently: the largest first, each later one smaller.
//
// A limit that entries share evenly is divided by the largest recent number. Entries that have just
// left have used their shares in the current window, and the list of entries may be short: one that
// has just started sees only itself, and a restored store may lack all registrations.
struct entry_count_history {
    std::vector<known_entry_count> counts;
};

// Records the number of entries known now, this one included. Numbers that are older than `window`
// are dropped. Call it periodically, also while the number stays the same.
void record_entry_count(entry_count_history& history, std::int64_t count, base::instant now,
                        base::micros window);

// The largest number recorded within the window of the last call; 1 if there was none.
std::int64_t largest_entry_count(const entry_count_history& history);

} // namespace camphorrail::entries
