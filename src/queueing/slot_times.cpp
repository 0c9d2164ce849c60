#include "queueing/slot_times.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::queueing {

namespace {

// Half-life of an observation: some responses long, so that it follows a change of the traffic
// without following single responses.
constexpr double half_life_s = 8.0;
// Number of requests that the prior counts for.
constexpr double prior_weight = 10.0;
// Responses that a client reads slowly, or that a stalled engine holds, do not tell how fast slots
// turn over.
constexpr double max_slot_ms = 30'000.0;

double decay(const route_slot_time& route, base::instant now) {
    const std::chrono::duration<double> age = now - route.updated_at;
    return std::exp2(-std::max(0.0, age.count()) / half_life_s);
}

// Four in five waits are shorter than this multiple of the mean.
constexpr double caution = 1.25;

double mean_ms(double total_ms, double weight, double prior_ms) {
    return (total_ms + prior_weight * prior_ms) / (weight + prior_weight);
}

} // namespace

void record_slot_time(slot_times& times, const std::string& route, double ms, base::instant now) {
    auto& known = times.routes[route];
    const double kept = decay(known, now);
    known.total_ms = known.total_ms * kept + std::clamp(ms, 0.0, max_slot_ms);
    known.weight = known.weight * kept + 1.0;
    known.updated_at = now;
}

double route_slot_ms(const slot_times& times, const std::string& route, double prior_ms,
                     base::instant now) {
    const auto found = times.routes.find(route);
    if (found == times.routes.end()) {
        return prior_ms;
    }
    const double kept = decay(found->second, now);
    return mean_ms(found->second.total_ms * kept, found->second.weight * kept, prior_ms);
}

double mean_slot_ms(const slot_times& times, double prior_ms, base::instant now) {
    double total_ms = 0.0;
    double weight = 0.0;
    for (const auto& [name, route] : times.routes) {
        const double kept = decay(route, now);
        total_ms += route.total_ms * kept;
        weight += route.weight * kept;
    }
    return mean_ms(total_ms, weight, prior_ms);
}

double cautious_slot_ms(const slot_times& times, double prior_ms, base::instant now) {
    return caution * mean_slot_ms(times, prior_ms, now);
}

} // namespace camphorrail::queueing
