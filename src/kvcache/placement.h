#pragma once

#include "fleet/fleet.h"
#include "kvcache/cache_index.h"
#include "kvcache/home_engines.h"
#include "kvcache/store_index.h"
#include "latency/first_byte.h"
#include "routes/operators_config.h"

#include <string>
#include <vector>

namespace camphorrail::kvcache {

// What else than reading makes a prompt wait at an engine, and what keeps it at its home, in
// milliseconds.
struct placement_costs {
    // A request that is generating slows the others on its engine by about this much.
    double running_request_ms = 0.5;
    // An engine whose slots are nearly all taken makes requests wait for one to end: an answer
    // takes about 2.5 s, so with all slots taken each further request waits that long by the slots.
    double slot_pressure_threshold = 0.85;
    double response_ms = 2500.0;
    // An engine's memory holds the prompts of all its requests. Beyond this part of it, new ones
    // wait for others to end, or take running ones' place, whose prompts are then read again; the
    // whole memory turns over in about a second.
    double memory_pressure_threshold = 0.8;
    double memory_turnover_ms = 1500.0;
    // A short prompt on an engine that reads long ones.
    double short_in_long_lane_ms = 40.0;
    // A long prompt on an engine that is kept for short ones. When all are busy, the short lane
    // must not fill up with long prompts too: each would delay some thirty answers that are under
    // way.
    double long_in_short_lane_ms = 10000.0;
    // Away from its home a prompt's shared tokens are fetched, perhaps between zones and after
    // others', or read again where the source has dropped them. With a third of these, requests
    // left their homes at the first sign of a wait and kept each other from finding anything
    // cached.
    double off_home_fetch_factor = 3.0;
    double off_home_prefill_share = 0.8;
    // An answer on outdated weights is worth a fifth less, and one that comes after the target less
    // than half. In targets.
    double outdated_long_penalty = 0.15;
    double outdated_short_penalty = 0.2;
};

// An engine that may take the prompt, with what its weights mean for it.
struct candidate {
    fleet::member* engine = nullptr;
    std::int64_t weights = 0;
    // Newer weights were named long enough ago that an answer on these is worth less.
    bool outdated = false;
};

// One prompt, and the pool it is for.
struct prompt_request {
    const prompt_scope& space;
    const prompt_chain& chain;
    const routes::pool& pool;
    // All members of the pool, fit or not.
    const std::vector<const fleet::member*>& pool_members;
    // Time to the first event within which the answer is on time.
    base::milliseconds target{0};
};

// What an entry goes by.
struct placement_context {
    const cache_index& cache;
    const store_index& stored_prompts;
    const std::vector<routes::kv_store>& stores;
    base::instant now;
    const fleet::fleet_rules& rules;
    // How long the pool's engines take.
    const latency::first_byte_model& model;
    placement_costs costs;
};

// Where a prompt goes.
struct placement {
    candidate target;
    std::string salt;
    // Address to fetch shared parts from, where the target does not hold them; empty for none.
    std::string fetch_from;
    // Address of the store that is to keep it from now on; empty where it is there already.
    std::string save_to;
    // Tokens that the target will probably read.
    std::int64_t prefill_tokens = 0;
    // Tokens that wait there already, over all entries.
    std::int64_t queued_prefill_tokens = 0;
    // How long it will probably wait there before it is read, for its fetch, and until its first
    // event in all, in milliseconds.
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    bool is_home = false;
};

// What a transfer of tokens takes a store's link.
double transfer_ms(const routes::pool& pool, const routes::kv_store& store, double tokens);

// Chooses among candidates, which are not empty.
//
// Every entry finds the same home without a message, so what one entry's request has read is there
// for the others' too. Only a few engines are looked at, those that come next for this prompt:
// entries hear of each other's load a tenth of a second late, and would all send to the one engine
// that looked idle.
placement place(const std::vector<candidate>& candidates, const prompt_request& request,
                const placement_context& view);

} // namespace camphorrail::kvcache
