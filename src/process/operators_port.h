#pragma once

#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "adapters/timeline.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorrail::process {

// What a process shows its operators: /healthz, /readyz, /metrics, /status and /timeline.
struct operators_view {
    std::function<bool()> ready;
    std::function<nlohmann::json()> status;
    // Brings gauges up to date before the metrics are read.
    std::function<void()> refresh;
};

// The limits of a port for operators or balancers, whose requests have no bodies, in a process that
// may use so much memory, in MiB.
adapters::http_limits control_port_limits(std::int64_t memory_mb);

std::unique_ptr<adapters::http_server> serve_operators(adapters::event_loop& loop,
                                                       adapters::metrics& metrics,
                                                       adapters::timeline& timeline,
                                                       std::int64_t memory_mb, operators_view view);

} // namespace camphorrail::process
