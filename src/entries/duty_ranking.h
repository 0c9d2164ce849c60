#pragma once

#include "base/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::entries {

// The rank of this entry for a duty: the number of other entries that rank before it, so rank 0 is
// responsible. The ranking is computed from the entry ids alone, so entries linked to the same
// peers agree on it without exchanging messages. It differs from duty to duty, which spreads the
// work.
std::size_t duty_rank(const std::vector<base::entry_id>& others, const base::entry_id& self,
                      const std::string& duty);

// The entry that this entry queries first for what the entry of rank 0 knows; nothing if this entry
// has rank 0 itself. The lower ranks form a tree in which no entry is queried by more than
// `max_duty_children` others. If all entries queried rank 0 directly, its load would grow with the
// fleet, and it may run on the weakest VM.
inline constexpr std::size_t max_duty_children = 8;
std::optional<base::entry_id> duty_parent(const std::vector<base::entry_id>& others,
                                          const base::entry_id& self, const std::string& duty);

} // namespace camphorrail::entries
