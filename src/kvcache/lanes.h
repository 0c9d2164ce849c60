#pragma once

#include "fleet/fleet.h"
#include "kvcache/prompt_chain.h"

#include <map>

namespace camphorrail::kvcache {

// Some engines of a pool are reserved for short prompts, the short lane. Engines interleave the
// prefill of long prompts, in large chunks, with the decoding of running requests. On an engine
// that serves both kinds, short responses therefore stall while a long prompt is prefilled, and one
// in ten is late even without any other fault.
//
// The lane's size follows from the requests with short prompts that are in flight, summed over all
// entries. With a fixed share of 30 %, a pool of nine engines reserved three for work that one
// could do, while the others fell behind with every change of weights: this lost 0.036 of the score
// on twenty days of heavy load. With 12 %, pools whose short responses take ten times as long lost
// 0.025 and 0.026.
struct lane_rules {
    // Prompts with at least this many tokens are long: half of the chunk size that engines use for
    // prefill.
    std::int64_t long_prompt_tokens = 2048;
    // Target utilization of the slots in the short lane. With more, prompts wait for slots during
    // bursts of a second, and an engine's running requests slow each other down: with 0.6, a pool
    // of 40 engines lost 0.02 of the score under heavy load.
    double target_slot_utilization = 0.4;
    // Maximum share of a pool that is reserved, and the share reserved before any traffic was
    // observed. With up to 0.45, long prompts had too few engines while all were busy: 0.04 of the
    // score under heavy load in a pool of 38.
    double max_share = 0.3;
    double initial_share = 0.3;
    // Time constants for averaging the demand while it rises and while it falls. When traffic
    // starts, requests that take several seconds reach their steady number in flight only after
    // that time.
    base::micros smoothing_time_up = base::seconds(3);
    base::micros smoothing_time_down = base::seconds(5);
    // The size changes only if the demand differs by at least this many engines, or by this share
    // of the pool, since each engine that changes lanes takes the prompts it is home to with it.
    double hysteresis = 0.6;
    double hysteresis_share = 0.08;
    // Smaller pools are not divided, since a lane of a single engine would fail with that engine.
    std::size_t min_pool_size = 4;
};

// Recent demand for a pool's short lane, and the lane's current size.
struct lane_size {
    // Averaged number of engines needed by the short prompts in flight; before any traffic, the
    // initial size. This and `reserved` count engines of capacity 1.0, which all are unless speed
    // factors are in force.
    double demand = 0.0;
    bool has_seen_traffic = false;
    std::size_t reserved = 0;
    base::instant updated_at{};
};

using lane_sizes = std::map<base::pool_id, lane_size>;

// Decides which engines of each pool belong to the short lane. Entries that see the same list and
// similar work reach the same decision, except for single engines while the work changes. Must be
// called frequently, and after every change of the list.
void assign_lanes(fleet::fleet& state, lane_sizes& sizes, base::instant now,
                  const lane_rules& rules);

// Whether a prompt belongs in the long lane.
bool is_long_prompt(const prompt_chain& chain);

// Whether an engine belongs to the prompt's lane.
bool in_lane(const fleet::member& one, const prompt_chain& chain);

} // namespace camphorrail::kvcache
