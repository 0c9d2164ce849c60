#include "proxy/stall_detection.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using base::milliseconds;

// A request that has had no response for this many target latencies is moved to another upstream if
// it may be. By then it is late in any case, and one that has waited for that long may as well wait
// on, so a move earlier would gain little.
constexpr int request_stall_targets = 6;
constexpr milliseconds min_request_stall{200};
// The shortest time after which an upstream that has sent nothing on any request, while one waits,
// counts as dead or cut off; otherwise the limit is a quarter more than the target. An engine's
// step takes at most 50 ms, with a piece of a long prompt in it; the longest prompts alone on an
// engine take 200 ms to read.
constexpr milliseconds min_unresponsive_time{120};
// A stream's first event may be queued behind other prompts, so only pauses within a stream are
// measured against the gap target. Upstreams that preempt a stream process its prompt again.
constexpr int stream_stall_gaps = 4;
constexpr milliseconds min_stream_stall{800};
// Timers may fire this late on a loaded machine; a longer delay means that the process was
// suspended.
constexpr milliseconds max_timer_delay{250};

base::micros unresponsive_limit(const routes::route& route) {
    return std::max<base::micros>(route.target * 5 / 4, min_unresponsive_time);
}

// How long a request may make no progress before it is moved to another upstream.
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
