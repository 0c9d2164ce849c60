#pragma once

#include "base/units.h"
#include "routes/operators_config.h"

namespace camphorrail::proxy {

// Inputs for deciding whether a request or its upstream has stalled.
struct stall_view {
    base::instant now;
    // When this check was due.
    base::instant check_due;
    // When the upstream last sent a byte on any request.
    base::instant last_upstream_byte;
    // When the request last made progress, or was sent.
    base::instant last_request_progress;
    // Part of the response has been received.
    bool streaming = false;
};

enum class stall {
    // This process was suspended, so all its timers are due at once before it has read what arrived
    // meanwhile. When this was taken for a stall, every stream of the process was aborted.
    process_suspended,
    // The request may be slow but is within its limits.
    none,
    // The request has waited for too long, while the upstream still responds to others.
    request_stalled,
    // The upstream sends nothing at all.
    upstream_unresponsive,
};

stall detect_stall(const stall_view& view, const routes::route& route);

// How long after the last progress to check first, and how long until each further check.
base::micros first_check_delay(const routes::route& route, bool streaming);
base::micros next_check_delay(const stall_view& view, const routes::route& route);

} // namespace camphorrail::proxy
