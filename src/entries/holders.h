#pragma once

#include "entries/relays.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrail::entries {

// Number of entries that keep a record which one of them must still know after others have failed.
inline constexpr std::size_t record_holder_count = 3;

// The first `count` entries in the order in which they hold what has the given name: a record, or a
// share of a limit. The first ones are in different availability zones. Computed from ids and zones
// alone, so entries linked to the same others agree on it without exchanging messages.
std::vector<base::entry_id> rank_holders(const std::vector<linked_entry>& among,
                                         const std::string& name, std::size_t count);

} // namespace camphorrail::entries
