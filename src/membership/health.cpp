#include "membership/health.h"

#include <algorithm>

namespace camphorrail::membership {

void note_success(health& state, const health_rules& rules) {
    state.failures_in_row = 0;
    state.failure_share *= 1.0 - rules.newest_weight;
    if (state.failure_share < rules.share_on_probation) {
        state.ejections_in_row = 0;
    }
}

namespace {

void eject(health& state, base::instant now, const health_rules& rules) {
    constexpr int most_doublings = 10;
    const auto span =
        rules.first_ejection * (1 << std::min(state.ejections_in_row, most_doublings));
    state.ejected_until = now + std::min(span, rules.longest_ejection);
    ++state.ejections_in_row;
    state.failures_in_row = 0;
    state.failure_share = std::min(state.failure_share, rules.share_on_probation);
}

} // namespace

void note_failure(health& state, base::instant now, const health_rules& rules) {
    ++state.failures_in_row;
    if (state.failures_in_row >= rules.failures_to_eject) {
        state.failure_share += (1.0 - state.failure_share) * rules.newest_weight;
        eject(state, now, rules);
        return;
    }
    note_error(state, now, rules);
}

void note_error(health& state, base::instant now, const health_rules& rules) {
    state.failure_share += (1.0 - state.failure_share) * rules.newest_weight;
    if (state.failure_share >= rules.share_to_eject) {
        eject(state, now, rules);
    }
}

bool note_engine(health& state, std::int64_t engine_incarnation, base::instant now) {
    // Reports may arrive late; an older life must not undo what is known of a newer one.
    if (engine_incarnation <= state.engine_incarnation) {
        return false;
    }
    const bool first = state.engine_incarnation == 0;
    state.engine_incarnation = engine_incarnation;
    if (first) {
        return false;
    }
    state.back_since = now;
    return true;
}

bool usable(const health& state, base::instant now) {
    return !state.leaving && !state.listed_leaving && now >= state.ejected_until;
}

double warmth(const health& state, base::instant now, const health_rules& rules) {
    if (state.back_since == base::instant{}) {
        return 1.0;
    }
    const double share = static_cast<double>((now - state.back_since).count()) /
                         static_cast<double>(rules.slow_start.count());
    return std::clamp(share, 0.0, 1.0);
}

} // namespace camphorrail::membership
