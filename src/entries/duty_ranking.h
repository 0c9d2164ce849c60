#pragma once

#include "base/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::entries {

// How many of the other entries come before this one for a duty. The order follows from the names
// alone, so entries that are linked to the same ones agree on it without a message; it differs from
// duty to duty, so that the work is spread.
std::size_t duty_rank(const std::vector<base::entry_id>& others, const base::entry_id& self,
                      const std::string& duty);

// The entry that this one asks first for what the first in line knows; nothing for the first
// itself. Those behind it form a tree, so that none is asked by more than `most_askers`, however
// many entries there are: what all asked of the first would grow with the fleet, and the first may
// be the weakest VM.
inline constexpr std::size_t max_duty_children = 8;
std::optional<base::entry_id> duty_parent(const std::vector<base::entry_id>& others,
                                          const base::entry_id& self, const std::string& duty);

} // namespace camphorrail::entries
