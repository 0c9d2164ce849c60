#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "prefix/prefix_chain.h"
#include "routing/router.h"

#include <cstdint>
#include <vector>

namespace camphorrail::routing {

// An agent's view of its own engine: its prefill speed, and what it probably has cached.
// Implemented as an entry's view of a pool with one member, updated with every response of the
// engine.
struct engine_view {
    pool_view pool;
    affinity_table table;
    routing_rules rules;
    std::int64_t engine_incarnation = 0;
    double prefill_us_per_token = 100;
};

engine_view make_engine_view(const base::upstream_id& self);

// Records the engine's incarnation as reported by the engine. Everything known about earlier
// incarnations becomes invalid.
void record_incarnation(engine_view& view, std::int64_t engine_incarnation, base::instant now);

// Predicted prefill time for the part of a prompt that the engine does not have cached, and the
// basis of that prediction.
struct work_estimate {
    base::micros work{0};
    prediction_basis basis;
};
work_estimate estimate_work(const engine_view& view, const prefix::prefix_chain& chain,
                            base::instant now);

// Records that a request was accepted: its shared levels will be cached by the time that a later
// request is processed.
void record_accepted(engine_view& view, const prefix::prefix_chain& chain, base::instant now);

// Records that a request was served. `prefill` is the time from its start to its first token.
void record_served(engine_view& view, const prefix::prefix_chain& chain,
                   const prediction_basis& basis, base::tokens cached, base::micros prefill,
                   base::instant now);

// Whether the engine probably has a level cached.
bool probably_cached(const engine_view& view, std::uint64_t level_key, base::instant now);

// An agent's decision about a request that was sent to it as the home of its shared prefix.
struct probe_result {
    bool forward = false;
    // Hashes of the upstreams that hold the shared prefix.
    std::vector<std::uint64_t> holders;
};

// Parameters of that decision.
struct probe_rules {
    // A prompt that is cached nowhere is forwarded if it would wait longer than this at the home.
    base::micros max_wait = base::milliseconds(100);
    // A prompt that is cached here is forwarded only if it would wait longer than its prefill
    // elsewhere would take, multiplied by this.
    double recompute_weight = 1.0;
};

// `notes` records which upstreams hold the prefixes that this agent's engine is home to; `wait` is
// the time until the request's prefill would begin here. The decision is made at the home, where
// cache and queue are known exactly, so that an entry with an outdated view costs one hop instead
// of a second prefill.
probe_result evaluate_probe(const engine_view& view, const affinity_table& notes,
                            const prefix::prefix_chain& chain, base::micros wait, base::instant now,
                            const probe_rules& rules);

} // namespace camphorrail::routing
