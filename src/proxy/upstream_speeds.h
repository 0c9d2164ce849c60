#pragma once

#include "proxy/context.h"

namespace camphorrail::proxy {

// Records the load that an upstream reported in a response of its own.
void record_reported_load(entry_context& context, const base::upstream_instance& upstream,
                          const ports::response_metadata& response);

// Updates the speed factors of all upstreams; must run before lanes are assigned. Logs and counts
// each change.
void update_upstream_speeds(entry_context& context);

// Refreshes the metrics of the pools whose upstreams state slowdowns.
void refresh_speed_metrics(const entry_context& context);

} // namespace camphorrail::proxy
