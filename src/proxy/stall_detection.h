#pragma once

#include "base/units.h"
#include "routes/operators_config.h"

namespace camphorrail::proxy {

// What an entry knows when it looks whether an upstream has fallen silent on a request.
struct stall_view {
    base::instant now;
    // When it was to look.
    base::instant check_due;
    // When the upstream last sent a byte, on whatever request and to whatever entry.
    base::instant last_upstream_byte;
    // When something last came of this request, or it was sent.
    base::instant last_request_progress;
    // Part of its answer has come.
    bool streaming = false;
};

enum class stall {
    // This process was stopped for a while and finds all its timers due at once, before it has read
    // what came meanwhile. Taken for silence, that broke off every stream it had.
    process_suspended,
    // Slow perhaps, but within its time.
    none,
    // The request has waited for too long. The upstream still says something on others.
    request_stalled,
    // Nothing at all comes from the upstream.
    upstream_unresponsive,
};

stall detect_stall(const stall_view& view, const routes::route& route);

// How long after something was heard to look first, and then again.
base::micros first_check_delay(const routes::route& route, bool streaming);
base::micros next_check_delay(const stall_view& view, const routes::route& route);

} // namespace camphorrail::proxy
