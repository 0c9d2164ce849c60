#pragma once

#include "base/units.h"
#include "ports/platform.h"

#include <string>

struct event_base;

namespace camphorrail::adapters {

// The platform's key-value service over its JSON gateway (POST /v3/kv/range, /v3/kv/txn,
// /v3/lease/grant and /v3/lease/keepalive; keys and values in base64). Each call has a connection
// of its own, so a connection that went silent can't hold a later call up.
ports::platform make_http_platform(event_base* base, const std::string& endpoint,
                                   base::milliseconds timeout);

} // namespace camphorrail::adapters
