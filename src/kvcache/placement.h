#pragma once

#include "fleet/fleet.h"
#include "kvcache/cache_index.h"
#include "kvcache/home_engines.h"
#include "kvcache/store_index.h"
#include "latency/first_byte.h"
#include "routes/operators_config.h"

#include <optional>
#include <string>
#include <vector>

namespace camphorrail::kvcache {

// Costs of serving a prompt at an engine besides its prefill, in milliseconds. They cover waits
// caused by other requests, and losses caused by leaving the prompt's home engine.
struct placement_costs {
    // Slowdown that each running request causes to the others on its engine.
    double running_request_ms = 0.5;
    // Above this share of taken slots, requests have to wait for a running one to complete. A
    // response takes about 2.5 s, so with all slots taken each further request adds that time
    // divided by the number of slots.
    double slot_pressure_threshold = 0.85;
    double response_ms = 2500.0;
    // An engine's memory holds the prompts of all its requests. Above this share, new requests wait
    // for others to complete, or preempt running ones, whose prompts are then prefilled again. The
    // whole memory turns over in about a second.
    double memory_pressure_threshold = 0.8;
    double memory_turnover_ms = 1500.0;
    // Cost of a short prompt on an engine of the long lane.
    double short_in_long_lane_ms = 40.0;
    // Cost of a long prompt on an engine of the short lane. High enough that the short lane does
    // not fill up with long prompts when all engines are busy: each would delay some thirty running
    // requests.
    double long_in_short_lane_ms = 10000.0;
    // Away from its home, a prompt's shared tokens are fetched, possibly across availability zones
    // and behind other transfers, or prefilled again if the source has evicted them. With a third
    // of these values, requests left their homes at the first sign of a wait and destroyed each
    // other's cache hits.
    double off_home_fetch_factor = 3.0;
    double off_home_prefill_share = 0.8;
    // Cost of serving on outdated weights, as a fraction of the target: such a response is worth a
    // fifth less, and a response after the target less than half.
    double outdated_long_penalty = 0.15;
    double outdated_short_penalty = 0.2;
};

// An engine that may serve the prompt, and the weights it would use.
struct candidate {
    fleet::member* engine = nullptr;
    std::int64_t weights = 0;
    // Whether newer weights have been available for so long that a response on these is worth less.
    bool outdated = false;
};

// A prompt and the pool that is to serve it.
struct prompt_request {
    const prompt_scope& scope;
    const prompt_chain& chain;
    const routes::pool& pool;
    // All members of the pool, including unavailable ones.
    const std::vector<const fleet::member*>& pool_members;
    // Responses whose first event arrives within this time are on time.
    base::milliseconds target{0};
    // The prompt waits only behind those of this rank or before; behind all if empty.
    std::optional<queueing::rank> rank;
};

// The state of an entry that placement decisions depend on.
struct placement_context {
    const cache_index& cache;
    const store_index& stored_prompts;
    const std::vector<routes::kv_store>& stores;
    base::instant now;
    const fleet::fleet_rules& rules;
    // Predicts how long the pool's engines take until the first event.
    const latency::first_byte_model& model;
    placement_costs costs;
};

// The engine chosen for a prompt, and the expected times.
struct placement {
    candidate target;
    std::string salt;
    // Address to fetch shared parts from if the target does not hold them; empty for none.
    std::string fetch_from;
    // Address of the store that should save the prompt; empty if no save is needed.
    std::string save_to;
    // Tokens of the prompt that the target will probably prefill.
    std::int64_t prefill_tokens = 0;
    // Tokens of all entries' requests that wait for prefill at the target.
    std::int64_t queued_prefill_tokens = 0;
    // Expected time in the target's queue before prefill, for the fetch, and in total until the
    // first event, in milliseconds.
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    bool is_home = false;
};

// Time that transferring `tokens` takes on a store's link, in milliseconds.
double transfer_ms(const routes::pool& pool, const routes::kv_store& store, double tokens);

// Chooses one of the candidates, which must not be empty.
//
// All entries compute the same home for a prompt without communicating, so the prefix cached by one
// entry's request is found by the others' requests. Only the few engines that rank highest for the
// prompt are considered: entries learn about each other's load with a delay of a tenth of a second,
// and would otherwise all send to the same idle engine.
placement place(const std::vector<candidate>& candidates, const prompt_request& request,
                const placement_context& view);

} // namespace camphorrail::kvcache
