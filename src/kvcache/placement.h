#pragma once

#include "fleet/fleet.h"
#include "kvcache/cache_beliefs.h"

#include <string>
#include <vector>

namespace camphorrail::kvcache {

// What moving and reading prompts costs in time, in milliseconds a token.
struct placement_costs {
    // Reading: about 100 tokens a millisecond on the engines that the users run.
    double read_ms = 0.01;
    // Fetching from another engine: 190 KB a token over 350 Gbit/s, and as much again for waiting.
    double fetch_ms = 0.009;
    // A request that is generating slows the others on its engine by about this much.
    double running_ms = 0.5;
    // A short prompt on an engine that reads long ones.
    double short_among_long_ms = 40.0;
    // A long prompt on an engine that is kept for short ones. When all are busy, the short lane
    // must not fill up with long prompts too: each would delay some thirty answers that are under
    // way.
    double long_among_short_ms = 1000.0;
    // Requests of a prompt spread only when the home is behind by more than this.
    double away_from_home_ms = 20.0;
};

// How long the prompts that wait at a member, over all entries, take to be read, in milliseconds.
double reading_ms(const fleet::member& one, base::instant now, const fleet::fleet_rules& rules,
                  const placement_costs& costs = {});

// Where a prompt goes.
struct placement {
    fleet::member* target = nullptr;
    // Address to fetch shared parts from, where the target does not hold them; empty for none.
    std::string fetch_from;
    // Tokens that the target will probably read.
    std::int64_t to_read = 0;
    bool is_home = false;
};

// Chooses among candidates, which are not empty. `pool_members` are all members of the pool, fit or
// not: a prompt's home must not move when one is busy for a moment. `kv_store` is the address of
// the store of kept KV cache, empty for none.
//
// Every entry finds the same home without a message, so what one entry's request has read is there
// for the others' too. A source is always named: engines drop what was used longest ago within
// seconds, reading 6,300 tokens again takes 57 ms of an engine, and fetching them half as long and
// none of its time, while asking in vain costs one millisecond. With a source only where the target
// was not believed to hold the prompt, a third of all shared tokens were read again on a calm day.
placement place(const std::vector<fleet::member*>& candidates,
                const std::vector<const fleet::member*>& pool_members, const prompt_chain& chain,
                const cache_beliefs& beliefs, const std::string& kv_store, base::instant now,
                const fleet::fleet_rules& rules, const placement_costs& costs);

} // namespace camphorrail::kvcache
