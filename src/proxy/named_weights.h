#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <map>

namespace camphorrail::proxy {

// The versions of a model's weights that operators have named, each with when this process first
// saw it.
struct weights_history {
    std::map<std::int64_t, base::instant> seen;
};

// Notes a named version; true where it is new.
bool note_named(weights_history& history, std::int64_t version, base::instant now);

// The newest named version; 0 where none is.
std::int64_t newest(const weights_history& history);

// Since when a version is outdated: when the first newer one was seen. Nothing may begin on it much
// later. The far future for the newest.
base::instant outdated_since(const weights_history& history, std::int64_t version);

} // namespace camphorrail::proxy
