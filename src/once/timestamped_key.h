#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>

namespace camphorrail::once {

// The time at which a version-7 UUID (RFC 9562) key was created, in milliseconds since 1970;
// nothing for any other key. A key can't have been used before its creation.
std::optional<std::int64_t> creation_time_ms(const base::idempotency_key& key);

} // namespace camphorrail::once
