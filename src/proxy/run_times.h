#pragma once

#include "base/units.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// The longest runs of one route's requests in the current period and in the one before it.
struct route_run_times {
    base::instant period_began{};
    base::micros longest{0};
    base::micros longest_before{0};
};

// How long requests have run at upstreams lately, by route name.
struct run_times {
    std::map<std::string, route_run_times> routes;
};

// Records a request that an upstream has completed.
void record_run_time(run_times& times, const std::string& route, base::micros span,
                     base::instant now);

// The longest that a recent request of the route ran; empty if none is known. Recent is what ended
// in the current period of 30 s or in the one before it that had any.
std::optional<base::micros> longest_run_time(const run_times& times, const std::string& route);

// Forgets the routes that are not among these.
void keep_routes(run_times& times, const std::set<std::string>& names);

// What decides whether a stopping entry may still send a request to an upstream.
struct last_request {
    // Until the entry ends what is still open.
    base::micros entry_time_left{0};
    // Until the request's client gives up.
    base::micros client_time_left{0};
    std::optional<base::micros> longest_run;
    // It can be sent again, or its stream resumed, if it is cut off.
    bool repeatable = false;
    // The load balancer still sends new clients to this entry.
    bool new_clients_arrive = false;
};

// Whether the request can probably be answered before the entry ends. Without a known run time, it
// may take all the time that its client has. While clients still arrive, repeatable requests and
// those without a known run time are sent in any case: most of them are short, and a refusal uses
// up one of their client's attempts.
bool may_be_sent_before_exit(const last_request& request);

} // namespace camphorrail::proxy
