#pragma once

#include "base/units.h"
#include "http/fields.h"

namespace camphorrail::proxy {

// With less time than this no upstream can answer.
inline constexpr base::milliseconds min_attempt_time{15};

// Upstreams that refuse are free to ask, but each costs a round trip and a retry.
inline constexpr int max_retries = 3;

// Where no other entry is known to be better off, a caller that comes back meets another entry.
inline constexpr base::milliseconds other_entry_delay{60};

// An upstream's fields as they go to a caller: without those that concern one connection.
http::fields client_fields(const http::response_head& head);

} // namespace camphorrail::proxy
