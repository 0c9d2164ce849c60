#pragma once

#include "base/codes.h"
#include "base/result.h"
#include "ports/platform_codec.h"
#include "routes/operators_config.h"

#include <memory>
#include <optional>

namespace camphorrail::proxy {

// What an entry knows when a request arrives.
struct admission_state {
    // The configuration in force; null before the first.
    std::shared_ptr<const routes::operators_config> config;
    // How old the proof of it is; nothing where there is none.
    std::optional<base::micros> config_age;
    // A removed key must be refused within a bound even by a process that is cut off, so no key is
    // honoured on a proof older than this.
    base::micros max_config_age{0};
};

// A request that may be sent on.
struct admitted_request {
    std::shared_ptr<const routes::operators_config> config;
    const routes::route* route = nullptr;
    // Null on routes that are open to all.
    const routes::team* team = nullptr;
};

// Finds the request's route and team, or the code to refuse it with.
base::result<admitted_request> admit(const admission_state& state, const http::request_head& head,
                                     const ports::client_request& metadata);

// Whether an attempt may be made again at another upstream after one that may have run.
bool may_repeat(const routes::route& route);

// The least urgent rank that upstreams know.
inline constexpr int lowest_rank = 9;

// The rank of a request, from 0 (first) to 9: its team's where that has one, else its route's.
int priority_rank(const admitted_request& request);

} // namespace camphorrail::proxy
