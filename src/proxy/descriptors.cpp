#include "proxy/descriptors.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

constexpr std::size_t min_reserve = 256;
// Divisors of the descriptor limit.
constexpr std::size_t reserve_divisor = 8;
constexpr std::size_t idle_upstreams_divisor = 8;
constexpr base::milliseconds resume_log_delay{1000};

} // namespace

descriptor_shares share_descriptors(std::size_t limit) {
    descriptor_shares shares;
    // A process with few descriptors reserves half of them.
    shares.reserve = std::max(limit / reserve_divisor, std::min(min_reserve, limit / 2));
    const std::size_t left = limit - shares.reserve;
    shares.idle_upstreams = left / idle_upstreams_divisor;
    shares.clients = std::max<std::size_t>(1, (left - shares.idle_upstreams) / 2);
    return shares;
}

void log_accept_pauses(accept_log_state& log_state, const accept_status& status, base::instant now,
                       adapters::event_log& log) {
    const bool under_pressure = status.paused || status.pauses != log_state.pauses_seen;
    log_state.pauses_seen = status.pauses;
    if (under_pressure) {
        log_state.last_pause = now;
    }
    const auto log_event = [&](const char* event) {
        log.line(adapters::importance::keep, event)
            .number("callers", static_cast<std::int64_t>(status.clients))
            .number("most_callers", static_cast<std::int64_t>(status.max_clients))
            .number("pauses", status.pauses - log_state.pauses_logged);
        log_state.pauses_logged = status.pauses;
    };
    if (under_pressure && !log_state.pause_logged) {
        log_state.pause_logged = true;
        log_event("accepting_paused");
    } else if (!under_pressure && log_state.pause_logged &&
               now - log_state.last_pause >= resume_log_delay) {
        log_state.pause_logged = false;
        log_event("accepting_resumed");
    }
}

} // namespace camphorrail::proxy
