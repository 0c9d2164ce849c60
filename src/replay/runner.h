#pragma once

#include "admission/queue.h"
#include "replay/policy.h"
#include "replay/trace.h"
#include "routing/engine_view.h"

#include <map>
#include <string>
#include <vector>

namespace camphorrail::replay {

// What became of one request.
struct outcome {
    bool answered = false;
    // The engine's crash cut it and no attempt was left, or all candidates refused it.
    base::code refusal{};
    base::micros first_token{0};
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    // Tokens computed for it that some engine had computed before.
    std::int64_t recomputed_tokens = 0;
    int attempts = 0;
};

struct run_result {
    std::string policy;
    std::vector<outcome> outcomes;
    // Orders sent to agents, over all requests.
    std::int64_t orders = 0;
    // Notes sent to prefixes' homes.
    std::int64_t notes = 0;
    // All tokens computed again, also for requests that were cut.
    std::int64_t recomputed_tokens = 0;
};

struct run_rules {
    routing::probe_rules probe;
    admission::admission_rules admission;
    int most_attempts = 4;
    std::size_t queue_capacity = 64;
    base::micros hop = base::micros(500);
    base::micros heartbeat = base::seconds(1);
};

// Replays a trace on a virtual clock. The same trace, policy and rules give the same result to the
// byte.
run_result run(const trace& recorded, const policy_maker& make, const run_rules& rules);

} // namespace camphorrail::replay
