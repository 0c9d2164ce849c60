#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"
#include "prefix/prefix_chain.h"

#include <string>
#include <vector>

// Recorded traces and their replay. docs/TRACES.md describes the format.
namespace camphorrail::replay {

// What all engines of a pool are like.
struct engine_traits {
    std::int64_t count = 0;
    std::int64_t cache_tokens = 0;
    std::int64_t slots = 16;
    double prefill_us_per_token = 100;
    base::micros token_gap{20000};
};

struct pool_traits {
    std::string name;
    engine_traits engines;
};

// One recorded request.
struct request {
    base::micros at{0};
    std::size_t pool = 0;
    base::team_id team;
    int priority = 5;
    base::micros target{0};
    prefix::prefix_chain chain;
    std::int64_t output_tokens = 0;
};

// An engine crashes and comes back empty.
struct crash {
    base::micros at{0};
    std::size_t pool = 0;
    std::size_t engine = 0;
    base::micros back_after{0};
};

// Bounds that a replay must keep, stated beside the trace.
struct stated_outcomes {
    double least_hit_rate = 0;
    double most_p99_first_token_ms = 0;
    double least_on_time = 0;
};

struct trace {
    std::string name;
    std::size_t entries = 4;
    std::vector<pool_traits> pools;
    stated_outcomes outcomes;
    std::vector<request> requests;
    std::vector<crash> crashes;
};

// Reads a trace: JSON lines, the first one the header. A malformed line is refused with its number.
struct parsed_trace {
    trace recorded;
    // 0 when the trace is whole; otherwise the first line that can't be read.
    int bad_line = 0;
};
parsed_trace parse_trace(const std::string& text);

std::string to_text(const trace& recorded);

} // namespace camphorrail::replay
