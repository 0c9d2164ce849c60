#pragma once

#include "fleet/fleet.h"
#include "kvcache/prompt_chain.h"
#include "routing/popularity.h"

#include <cstddef>
#include <vector>

namespace camphorrail::kvcache {

// Limits how many engines serve the prompts below one outermost level. Each of these engines also
// caches the outermost level itself: with 70 teams and 27 engines, prompts scattered over all
// engines filled a third of their memory with copies of it.
struct home_engine_rules {
    // Number of engines per engine's worth of traffic. With 1.5, the engines of a few popular
    // levels were overloaded while others idled.
    double overprovisioning = 2.5;
    std::size_t min_engines = 4;
    // Until this many prompts have been observed, traffic shares are unreliable and prompts are
    // spread over the whole lane. Otherwise all prompts of the most popular level met at four
    // engines in the first second of traffic.
    double min_observed_prompts = 100;
};

// Ranks the engines of a prompt's lane by rendezvous hashing; the first one is the prompt's home
// engine, where its prefix is cached preferably. `pool_members` are all members of the pool,
// including unavailable ones, so that a home does not move when an engine is briefly busy. Where
// speed factors are in force, an engine is home to a share of prompts by its capacity. Entries that
// see the same list and similar traffic compute the same home without communicating.
std::vector<const fleet::member*>
rank_engines(const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
             const routing::popularity& outer_levels, base::instant now,
             const home_engine_rules& rules);

} // namespace camphorrail::kvcache
