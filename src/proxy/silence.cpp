#include "proxy/silence.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using base::milliseconds;

// A request that has had no answer for this many targets goes elsewhere, if it may. By then it is
// late, and what it has waited for so long it may go on waiting for.
constexpr int silent_targets = 6;
constexpr milliseconds shortest_silence{200};
// An upstream that has sent nothing on any request for a quarter more than the target, while one
// waits, is dead or cut off. A step of an engine takes 50 ms at most, with a piece of a long prompt
// in it; the longest prompts alone on an engine take 200 ms to read.
constexpr milliseconds shortest_dead{120};
// A stream's first event may wait behind other prompts; a pause in mid-stream is held to the gap
// target, and upstreams that preempt a stream read its prompt again.
constexpr int silent_gaps = 4;
constexpr milliseconds shortest_gap{800};
// Timers fire this late on a loaded machine; later means that the process was stopped.
constexpr milliseconds most_late{250};

base::micros dead_after(const routes::route& route) {
    return std::max<base::micros>(route.target * 5 / 4, shortest_dead);
}

// How long an upstream may say nothing on a request before the request goes elsewhere.
base::micros silence_limit(const routes::route& route, bool streaming) {
    return streaming ? std::max(route.gap_target * silent_gaps, shortest_gap)
                     : std::max(route.target * silent_targets, shortest_silence);
}

} // namespace

silence judge_silence(const silence_view& view, const routes::route& route) {
    if (view.now - view.due > most_late) {
        return silence::process_was_stopped;
    }
    if (view.now - view.upstream_heard >= dead_after(route)) {
        return silence::of_upstream;
    }
    const bool too_long = view.now - view.request_heard >= silence_limit(route, view.streaming);
    return too_long ? silence::of_request : silence::none;
}

base::micros first_look(const routes::route& route, bool streaming) {
    return std::min(silence_limit(route, streaming), dead_after(route));
}

base::micros next_look(const silence_view& view, const routes::route& route) {
    const base::micros left =
        silence_limit(route, view.streaming) - (view.now - view.request_heard);
    return left > base::micros(0) ? std::min(left, dead_after(route)) : dead_after(route);
}

} // namespace camphorrail::proxy
