#pragma once

#include "base/units.h"

#include <map>
#include <string>

namespace camphorrail::queueing {

// How long requests of one route have occupied a slot lately, and how many did.
struct route_slot_time {
    // Both decay with time.
    double total_ms = 0.0;
    double weight = 0.0;
    base::instant updated_at{};
};

// How long requests occupy the slots of one pool's upstreams, by route.
struct slot_times {
    std::map<std::string, route_slot_time> routes;
};

// Mean time in a slot before any is observed; see `kvcache::placement_costs::response_ms`.
inline constexpr double prior_slot_ms = 2000.0;

// Records a request that has occupied a slot for `ms`.
void record_slot_time(slot_times& times, const std::string& route, double ms, base::instant now);

// Mean time that requests of the route occupy a slot. `prior_ms` counts as some requests, so that
// a few unusual ones change little.
double route_slot_ms(const slot_times& times, const std::string& route, double prior_ms,
                     base::instant now);

// The same over all routes, each with its share of the requests: a slot of an upstream that has all
// of them taken becomes free after this time divided by their number.
double mean_slot_ms(const slot_times& times, double prior_ms, base::instant now);

// That time as waits for a slot are expected by. Waits vary, so with the mean half of the requests
// that are accepted at their longest tolerable wait would be late.
double cautious_slot_ms(const slot_times& times, double prior_ms, base::instant now);

} // namespace camphorrail::queueing
