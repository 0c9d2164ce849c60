#pragma once

#include "base/units.h"
#include "http/fields.h"

namespace camphorrail::proxy {

// With less time left than this, no upstream can respond before the deadline.
inline constexpr base::milliseconds min_attempt_time{15};

// Limits retries per request. A refusal executes nothing, but each retry costs a round trip and one
// unit of the retry budget.
inline constexpr int max_retries = 3;

// Retry-After hint when no other entry is known to be better off: a client that reconnects is
// likely to reach another entry.
inline constexpr base::milliseconds other_entry_delay{60};

// The header fields of an upstream's response that are passed to the client: all but the hop-by-hop
// fields and the length.
http::fields client_fields(const http::response_head& head);

} // namespace camphorrail::proxy
