#include "membership/health.h"

#include <algorithm>

namespace camphorrail::membership {

void record_success(health& state, const health_rules& rules) {
    state.consecutive_failures = 0;
    state.failure_rate *= 1.0 - rules.smoothing_factor;
    if (state.failure_rate < rules.probation_failure_rate) {
        state.consecutive_ejections = 0;
    }
}

namespace {

void eject(health& state, base::instant now, const health_rules& rules) {
    constexpr int max_doublings = 10;
    const auto span =
        rules.base_ejection * (1 << std::min(state.consecutive_ejections, max_doublings));
    state.ejected_until = now + std::min(span, rules.max_ejection);
    ++state.consecutive_ejections;
    state.consecutive_failures = 0;
    state.failure_rate = std::min(state.failure_rate, rules.probation_failure_rate);
}

} // namespace

void record_failure(health& state, base::instant now, const health_rules& rules) {
    ++state.consecutive_failures;
    if (state.consecutive_failures >= rules.failures_to_eject) {
        state.failure_rate += (1.0 - state.failure_rate) * rules.smoothing_factor;
        eject(state, now, rules);
        return;
    }
    record_error(state, now, rules);
}

void record_error(health& state, base::instant now, const health_rules& rules) {
    state.failure_rate += (1.0 - state.failure_rate) * rules.smoothing_factor;
    if (state.failure_rate >= rules.ejection_failure_rate) {
        eject(state, now, rules);
    }
}

bool record_incarnation(health& state, std::int64_t engine_incarnation, base::instant now) {
    // Reports may arrive late; an older incarnation must not undo what is known of a newer one.
    if (engine_incarnation <= state.engine_incarnation) {
        return false;
    }
    const bool is_first = state.engine_incarnation == 0;
    state.engine_incarnation = engine_incarnation;
    if (is_first) {
        return false;
    }
    state.restarted_at = now;
    return true;
}

void end_ejection(health& state, base::instant now) {
    state.ejected_until = std::min(state.ejected_until, now);
    state.consecutive_failures = 0;
}

bool is_usable(const health& state, base::instant now) {
    return !state.draining && !state.listed_draining && now >= state.ejected_until;
}

double slow_start_factor(const health& state, base::instant now, const health_rules& rules) {
    if (state.restarted_at == base::instant{}) {
        return 1.0;
    }
    const double share = static_cast<double>((now - state.restarted_at).count()) /
                         static_cast<double>(rules.slow_start.count());
    return std::clamp(share, 0.0, 1.0);
}

} // namespace camphorrail::membership
