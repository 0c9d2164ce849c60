#pragma once

#include "replay/runner.h"

#include <map>
#include <string>
#include <vector>

namespace camphorrail::replay {

// The figures that the users measure, of one replay.
struct summary {
    std::string policy;
    std::size_t requests = 0;
    std::size_t answered = 0;
    // Answered with the first token within its target, as a part of all requests.
    double on_time = 0;
    double hit_rate = 0;
    double p50_first_token_ms = 0;
    double p95_first_token_ms = 0;
    double p99_first_token_ms = 0;
    std::int64_t recomputed_tokens = 0;
    double orders_a_request = 0;
    // Targets missed, by team and by cause: "late" or the refusal's name.
    std::map<std::string, std::map<std::string, int>> penalties;
};

summary summarize(const trace& recorded, const run_result& result);

// One row a summary, with what it is compared on.
std::string to_table(const std::vector<summary>& rows);

// Outcomes stated beside the trace that a replay missed; empty when it met all.
std::vector<std::string> missed_outcomes(const trace& recorded, const summary& got);

// First token and hit rate over time, a line a second, for plotting.
std::string to_series(const trace& recorded, const run_result& result);

} // namespace camphorrail::replay
