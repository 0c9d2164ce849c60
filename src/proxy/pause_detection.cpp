#include "proxy/pause_detection.h"

#include <utility>

namespace camphorrail::proxy {

std::optional<base::micros> record_activity(pause_state& state, base::instant now,
                                            const pause_rules& rules) {
    const base::instant before = std::exchange(state.last_active, now);
    if (before == base::instant{} || now - before < rules.min_pause) {
        return std::nullopt;
    }
    state.resumed_at = now;
    return now - before;
}

bool awaits_verification(const pause_state& state, std::optional<base::instant> verified_at,
                         base::instant now, const pause_rules& rules) {
    if (!state.resumed_at || now - *state.resumed_at >= rules.max_wait) {
        return false;
    }
    return !verified_at || *verified_at < *state.resumed_at - rules.verification_age;
}

} // namespace camphorrail::proxy
