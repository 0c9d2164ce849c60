#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>

namespace camphorrail::once {

// The time in milliseconds since 1970 at which a key was made, where it is a version-7 UUID
// (RFC 9562). Such a key can't have been used before that time.
std::optional<std::int64_t> creation_time_ms(const base::idempotency_key& key);

} // namespace camphorrail::once
