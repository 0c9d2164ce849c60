#pragma once

#include "base/codes.h"
#include "base/result.h"
#include "ports/platform_codec.h"
#include "queueing/ranks.h"
#include "routes/operators_config.h"

#include <memory>
#include <optional>

namespace camphorrail::proxy {

// The entry's state that admission depends on.
struct admission_state {
    // The configuration in force; null before the first one is received.
    std::shared_ptr<const routes::operators_config> config;
    // Time since the configuration was last proved current; empty if it never was.
    std::optional<base::micros> config_age;
    // Requests are refused with `not_ready` if the proof is older than this. A revoked key must be
    // refused within a bound even by a process that is cut off from the store.
    base::micros max_config_age{0};
    // The deployment has had a list of teams, so that a configuration without one still requires
    // keys.
    bool has_had_teams = false;
};

// A request that may be forwarded to an upstream.
struct admitted_request {
    std::shared_ptr<const routes::operators_config> config;
    const routes::route* route = nullptr;
    // Null on public routes and if no teams are configured.
    const routes::team* team = nullptr;
};

// Finds the request's route and team, or returns the code to refuse it with.
base::result<admitted_request> admit(const admission_state& state, const http::request_head& head,
                                     const ports::client_request& metadata);

// Whether a request may be retried at another upstream after an attempt that may have been
// executed.
bool may_repeat(const routes::route& route);

// The lowest priority that upstreams accept.
inline constexpr int lowest_rank = 9;

// The priority of a request, from 0 (most urgent) to 9: the team's if it has one, otherwise the
// route's.
int priority_rank(const admitted_request& request);

// The ranks of the requests that a configuration allows, which take the place of that priority if
// upstreams admit by rank.
queueing::rank_table make_rank_table(const routes::operators_config& config);

// The rank of a request among those of its configuration.
queueing::rank queueing_rank(const queueing::rank_table& table, const admitted_request& request);

} // namespace camphorrail::proxy
