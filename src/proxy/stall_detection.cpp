#include "proxy/stall_detection.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using base::milliseconds;

// A request that has had no answer for this many targets goes elsewhere, if it may. By then it is
// late, and what it has waited for so long it may go on waiting for.
constexpr int request_stall_targets = 6;
constexpr milliseconds min_request_stall{200};
// An upstream that has sent nothing on any request for a quarter more than the target, while one
// waits, is dead or cut off. A step of an engine takes 50 ms at most, with a piece of a long prompt
// in it; the longest prompts alone on an engine take 200 ms to read.
constexpr milliseconds min_unresponsive_time{120};
// A stream's first event may wait behind other prompts; a pause in mid-stream is held to the gap
// target, and upstreams that preempt a stream read its prompt again.
constexpr int stream_stall_gaps = 4;
constexpr milliseconds min_stream_stall{800};
// Timers fire this late on a loaded machine; later means that the process was stopped.
constexpr milliseconds max_timer_delay{250};

base::micros unresponsive_limit(const routes::route& route) {
    return std::max<base::micros>(route.target * 5 / 4, min_unresponsive_time);
}

// How long an upstream may say nothing on a request before the request goes elsewhere.
base::micros stall_limit(const routes::route& route, bool streaming) {
    return streaming ? std::max(route.gap_target * stream_stall_gaps, min_stream_stall)
                     : std::max(route.target * request_stall_targets, min_request_stall);
}

} // namespace

stall detect_stall(const stall_view& view, const routes::route& route) {
    if (view.now - view.check_due > max_timer_delay) {
        return stall::process_suspended;
    }
    if (view.now - view.last_upstream_byte >= unresponsive_limit(route)) {
        return stall::upstream_unresponsive;
    }
    const bool stalled =
        view.now - view.last_request_progress >= stall_limit(route, view.streaming);
    return stalled ? stall::request_stalled : stall::none;
}

base::micros first_check_delay(const routes::route& route, bool streaming) {
    return std::min(stall_limit(route, streaming), unresponsive_limit(route));
}

base::micros next_check_delay(const stall_view& view, const routes::route& route) {
    const base::micros left =
        stall_limit(route, view.streaming) - (view.now - view.last_request_progress);
    return left > base::micros(0) ? std::min(left, unresponsive_limit(route))
                                  : unresponsive_limit(route);
}

} // namespace camphorrail::proxy
