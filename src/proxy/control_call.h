#pragma once

#include "ports/platform_codec.h"
#include "ports/upstream.h"

namespace camphorrail::proxy {

// Converts a control request to an upstream or a KV cache store into the form that the HTTP client
// takes.
ports::upstream_call to_call(const ports::control_request& from);

} // namespace camphorrail::proxy
