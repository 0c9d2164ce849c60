#include "entries/entry_count.h"

#include <algorithm>

namespace camphorrail::entries {

void record_entry_count(entry_count_history& history, std::int64_t count, base::instant now,
                        base::micros window) {
    std::erase_if(history.counts, [&](const known_entry_count& each) {
        return each.count <= count || now - each.last_known_at > window;
    });
    history.counts.push_back({count, now});
}

std::int64_t largest_entry_count(const entry_count_history& history) {
    return history.counts.empty() ? 1 : std::max<std::int64_t>(history.counts.front().count, 1);
}

} // namespace camphorrail::entries
