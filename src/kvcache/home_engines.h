#pragma once

#include "fleet/fleet.h"
#include "kvcache/prompt_chain.h"
#include "routing/popularity.h"

#include <cstddef>
#include <vector>

namespace camphorrail::kvcache {

// How many engines the prompts below one outermost level are kept to. Every engine that serves such
// a prompt holds the outermost level too; with 70 teams and 27 engines, prompts scattered over all
// of them filled a third of the engines' memory with copies of it.
struct home_engine_rules {
    // Engines for each engine's worth of traffic. With 1.5, the engines of a few popular levels
    // were overloaded while others idled.
    double overprovisioning = 2.5;
    std::size_t min_engines = 4;
    // Before so many prompts were seen, shares mean nothing, and prompts are spread over the lane:
    // in the first second of a day all prompts of the most popular level met at four engines.
    double min_observed_prompts = 100;
};

// The engines of a prompt's lane, the one it belongs to first. `pool_members` are all members of
// the pool, fit or not: a home must not move when one is busy for a moment. Entries that see the
// same list and about the same traffic find the same home without a message.
std::vector<const fleet::member*>
rank_engines(const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
             const routing::popularity& outer_levels, base::instant now,
             const home_engine_rules& rules);

} // namespace camphorrail::kvcache
