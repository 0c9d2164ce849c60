#include "speed/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::speed {

namespace {

double seconds_between(base::instant from, base::instant to) {
    return std::chrono::duration<double>(std::max(to - from, base::micros(0))).count();
}

double evidence_at(const upstream_speed& state, base::instant now, const speed_rules& rules) {
    const double half_life_s = std::chrono::duration<double>(rules.evidence_half_life).count();
    return state.evidence * std::exp2(-seconds_between(state.sampled_at, now) / half_life_s);
}

// The part of what was learned that counts: 0 without evidence, towards 1 with much.
double certainty(const upstream_speed& state, base::instant now, const speed_rules& rules) {
    const double evidence = evidence_at(state, now, rules);
    return evidence / (evidence + rules.prior_evidence);
}

double clamp_factor(double factor, const speed_rules& rules) {
    return std::clamp(factor, rules.min_factor, rules.max_factor);
}

// The average logarithm over a pool, weighted by certainty, so that what few samples say of one
// upstream does not shift the factors of the others.
double average_log(const std::vector<upstream_speed*>& pool, base::instant now,
                   const speed_rules& rules) {
    double sum = 0.0;
    double weight = 0.0;
    for (const auto* each : pool) {
        const double share = certainty(*each, now, rules);
        sum += share * each->mean_log;
        weight += share;
    }
    return weight > 0.0 ? sum / weight : 0.0;
}

double round_factor(double learned, double in_force, const speed_rules& rules) {
    const double step = std::log(rules.step_ratio);
    const double steps = std::log(learned) / step;
    const double current_steps = std::log(in_force) / step;
    const double tolerance = 0.5 + rules.hysteresis;
    return std::abs(steps - current_steps) <= tolerance
               ? in_force
               : std::pow(rules.step_ratio, std::round(steps));
}

void learn_factor(upstream_speed& state, double observed_ms, double expected_ms, base::instant now,
                  const speed_rules& rules) {
    if (!(observed_ms > 0.0) || !(expected_ms > 0.0)) {
        return;
    }
    const double deviation = std::clamp(std::log(observed_ms / expected_ms) - state.mean_log,
                                        -rules.max_deviation, rules.max_deviation);
    state.evidence = std::min(evidence_at(state, now, rules) + 1.0, rules.max_evidence);
    state.sampled_at = std::max(state.sampled_at, now);
    state.mean_log += deviation / state.evidence;
}

} // namespace

void record_first_byte(upstream_speed& state, latency::first_byte_model& model,
                       const latency::first_byte_sample& sample, base::instant now,
                       const speed_rules& rules) {
    if (model.weight >= rules.min_model_weight) {
        learn_factor(state, sample.ms, latency::expected_first_byte_ms(model, sample.work), now,
                     rules);
    }
    const double factor = state.in_force ? learned_factor(state, now, rules) : 1.0;
    latency::record_first_byte(model, {sample.work, sample.ms / factor}, now);
}

void record_statement(upstream_speed& state, double slowdown, base::instant now,
                      const speed_rules& rules) {
    if (!(slowdown > 0.0)) {
        return;
    }
    const double value = clamp_factor(slowdown, rules);
    // What an upstream usually states is in the learned factor already, as far as it was learned.
    const double usual = std::exp(certainty(state, now, rules) * state.usual_stated_log);
    state.stated = {value, value / usual, now};
    state.usual_stated_log +=
        rules.usual_statement_weight * (std::log(value) - state.usual_stated_log);
}

bool is_stating(base::instant last_stated, base::instant now, const speed_rules& rules) {
    return now - last_stated <= rules.stating_lifetime;
}

double learned_factor(const upstream_speed& state, base::instant now, const speed_rules& rules) {
    const double relative = state.mean_log - state.pool_log;
    return clamp_factor(std::exp(certainty(state, now, rules) * relative), rules);
}

double current_slowdown(const upstream_speed& state, base::instant now, const speed_rules& rules) {
    if (!state.stated) {
        return 1.0;
    }
    const double lifetime_s = std::chrono::duration<double>(rules.statement_lifetime).count();
    const double remaining = 1.0 - seconds_between(state.stated->stated_at, now) / lifetime_s;
    return 1.0 + (state.stated->unlearned - 1.0) * std::max(0.0, remaining);
}

double time_factor(const upstream_speed& state, base::instant now, const speed_rules& rules) {
    return state.in_force ? state.learned * current_slowdown(state, now, rules) : 1.0;
}

double capacity(const upstream_speed& state) {
    return state.capacity;
}

void update_pool(const std::vector<upstream_speed*>& pool, bool stating, base::instant now,
                 const speed_rules& rules) {
    const double pool_log = stating ? average_log(pool, now, rules) : 0.0;
    for (auto* each : pool) {
        each->in_force = stating;
        each->pool_log = pool_log;
        each->learned = stating ? learned_factor(*each, now, rules) : 1.0;
        each->factor = stating ? round_factor(each->learned, each->factor, rules) : 1.0;
        each->capacity = 1.0 / each->factor;
    }
}

} // namespace camphorrail::speed
