#include "proxy/shutdown.h"

namespace camphorrail::proxy {

shutdown_step advance_shutdown(shutdown_state& state, const shutdown_view& view,
                               const shutdown_rules& rules) {
    if (!state.started_at || view.now - *state.started_at < rules.balancer_detection_time) {
        return shutdown_step::wait;
    }
    if (state.accepting) {
        state.accepting = false;
        return shutdown_step::stop_accepting;
    }
    // Requests may still arrive after the entry has resigned, on connections that were being read.
    if (view.open_requests > 0 || view.unsent_bytes > 0) {
        return shutdown_step::wait;
    }
    if (!state.resigned_at) {
        state.resigned_at = view.now;
        return shutdown_step::resign;
    }
    const bool resigned = view.now - *state.resigned_at >= rules.resign_time;
    return resigned ? shutdown_step::exit : shutdown_step::wait;
}

} // namespace camphorrail::proxy
