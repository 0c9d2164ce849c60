#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "prefix/prefix_chain.h"
#include "routing/router.h"

#include <cstdint>
#include <vector>

namespace camphorrail::routing {

// What the agent knows of its own engine: how fast it computes, and what it probably has cached.
// It is an entry's view of a pool with one member, fed with every answer of the engine.
struct engine_view {
    pool_view pool;
    affinity_table table;
    routing_rules rules;
    std::int64_t engine_incarnation = 0;
    double prefill_us_per_token = 100;
};

engine_view make_engine_view(const base::upstream_id& self);

// The engine's life, as it reports it. Everything known of an earlier one is void.
void record_incarnation(engine_view& view, std::int64_t engine_incarnation, base::instant now);

// Time the engine will need for the part of a prompt that it does not have cached, and what that
// was expected by.
struct work_estimate {
    base::micros work{0};
    prediction_basis basis;
};
work_estimate estimate_work(const engine_view& view, const prefix::prefix_chain& chain,
                            base::instant now);

// An order was taken: its shared levels will be cached by the time a later one's turn comes.
void record_accepted(engine_view& view, const prefix::prefix_chain& chain, base::instant now);

// An order was served. `prefill` is the time from its start to its first token.
void record_served(engine_view& view, const prefix::prefix_chain& chain,
                   const prediction_basis& basis, base::tokens cached, base::micros prefill,
                   base::instant now);

// Whether the engine probably has a level cached.
bool probably_cached(const engine_view& view, std::uint64_t level_key, base::instant now);

// What an agent decides about an order that was sent to it as its shared prefix's home.
struct probe_result {
    bool forward = false;
    // Hashes of the upstreams that hold the shared prefix.
    std::vector<std::uint64_t> holders;
};

// Tunables of that decision; docs/MEASUREMENTS.md says which run chose them.
struct probe_rules {
    // A prompt that is cached nowhere is passed on when it would wait longer than this here.
    base::micros max_wait = base::milliseconds(100);
    // A cached one waits as long as computing it elsewhere would take, times this.
    double recompute_weight = 1.0;
};

// `notes` is the home's memory of who holds the prefixes it is home of; `wait` the time until the
// order's prefill would begin here. Decided where cache and queue are known exactly, so an entry
// with an old view loses one hop and not a recomputation.
probe_result evaluate_probe(const engine_view& view, const affinity_table& notes,
                            const prefix::prefix_chain& chain, base::micros wait, base::instant now,
                            const probe_rules& rules);

} // namespace camphorrail::routing
