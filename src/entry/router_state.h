#pragma once

#include "admission/retry_budget.h"
#include "base/ids.h"
#include "config/directory.h"
#include "ports/clock.h"
#include "routing/router.h"
#include "wire/messages.h"

#include <string>
#include <unordered_map>

namespace camphorrail::entry {

// What one entry knows for routing, over all pools.
struct router_state {
    std::unordered_map<base::pool_id, routing::pool_view> pools;
    routing::affinity_table affinity;
    routing::routing_rules rules;
    admission::retry_budget budget;
    base::random_source random;
};

// Follows a new configuration; what is known of upstreams that stay is kept.
void follow(router_state& state, const config::directory& tables);

// A load report came in.
void note_load(router_state& state, const base::upstream_id& from, const wire::load_report& load,
               base::instant now);

// An attempt there failed.
void note_failure(router_state& state, const base::upstream_id& at, base::instant now);

// The platform's list of VMs says whether a VM is leaving. It lags, so it only adds caution.
void note_listed(router_state& state, const base::upstream_id& vm, bool leaving);

} // namespace camphorrail::entry
