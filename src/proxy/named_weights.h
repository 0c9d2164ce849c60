#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <map>

namespace camphorrail::proxy {

// The versions of a model's weights that operators have named, each with when an entry first saw
// it.
struct weights_history {
    std::map<std::int64_t, base::instant> seen;
};

// Notes a named version; true where it is new.
bool note_named(weights_history& history, std::int64_t version, base::instant now);

// Notes a version that was there when this process began to read the store. It may have been named
// at any time before, so it is taken to have been named long ago until another entry tells better:
// were its age counted from here, entries that all restart at once would begin requests on weights
// that have been outdated for longer than allowed.
bool note_found(weights_history& history, std::int64_t version);

// Notes when another entry first saw a version. Whoever saw it first is right.
void note_told(weights_history& history, std::int64_t version, base::instant at);

// Whether it is known when a version was named.
bool is_dated(base::instant seen);

// The newest named version; 0 where none is.
std::int64_t newest(const weights_history& history);

// Since when a version is outdated: when the first newer one was seen. Nothing may begin on it much
// later. The far future for the newest.
base::instant outdated_since(const weights_history& history, std::int64_t version);

} // namespace camphorrail::proxy
