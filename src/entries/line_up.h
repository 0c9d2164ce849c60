#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// How many of the other entries come before this one for a duty. The order follows from the names
// alone, so entries that are linked to the same ones agree on it without a message; it differs from
// duty to duty, so that the work is spread.
std::size_t place_in_line(const std::vector<base::entry_id>& others, const base::entry_id& self,
                          const std::string& duty);

} // namespace camphorrail::proxy
