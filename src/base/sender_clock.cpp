#include "base/sender_clock.h"

#include <algorithm>

namespace camphorrail::base {

namespace {

instant earliest_start(const sender_clock& state) {
    return std::min(*state.current_earliest_start, state.previous_earliest_start);
}

// Whether the sender has restarted: its uptime is below the longest one seen, and its start is not
// before the last message of the previous incarnation was sent.
bool is_new_incarnation(const sender_clock& state, micros uptime, instant start) {
    return uptime < state.longest_uptime && start >= earliest_start(state) + state.longest_uptime;
}

} // namespace

instant estimate_sent_at(sender_clock& state, micros uptime, instant latest,
                         const sender_clock_rules& rules) {
    const instant start = latest - uptime;
    if (!state.current_earliest_start || is_new_incarnation(state, uptime, start)) {
        state = {start, start, latest, uptime};
        return latest;
    }
    if (latest - state.period_start > rules.period) {
        state.previous_earliest_start = *state.current_earliest_start;
        state.current_earliest_start = start;
        state.period_start = latest;
    }
    const instant known = earliest_start(state);
    if (start < known - rules.max_delay) {
        return known;
    }
    state.current_earliest_start = std::min(*state.current_earliest_start, start);
    state.longest_uptime = std::max(state.longest_uptime, uptime);
    return std::min(latest, earliest_start(state) + uptime);
}

} // namespace camphorrail::base
