#pragma once

#include "ports/platform_codec.h"
#include "ports/upstream.h"

namespace camphorrail::proxy {

// A call of ours to an upstream or a store, as the HTTP client takes it.
ports::upstream_call to_call(const ports::control_request& from);

} // namespace camphorrail::proxy
