#pragma once

#include "base/units.h"
#include "ports/upstream.h"

#include <string>

struct event_base;

namespace camphorrail::adapters {

// The back end beside an agent, over HTTP.
ports::upstream make_http_upstream(event_base* base, const std::string& address,
                                   base::milliseconds timeout);

} // namespace camphorrail::adapters
