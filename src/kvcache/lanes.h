#pragma once

#include "fleet/fleet.h"
#include "kvcache/prompt_chain.h"

#include <map>

namespace camphorrail::kvcache {

// Some engines of a pool are kept for short prompts. An engine reads long prompts in large pieces
// between the tokens of the answers it is generating, so on an engine that takes both, short
// answers pause while a long prompt is read: one in ten comes late although nothing else is wrong.
//
// How many follows from the answers to short prompts that are under way, as all entries see them.
// With a fixed share of 30 in 100, a pool of nine engines kept three for answers that one could
// generate, while the others fell behind with every change of weights: 0.036 of the worth on twenty
// heavy days. With 12 in 100, pools whose short answers take ten times as long lost 0.025 and
// 0.026.
struct lane_rules {
    // A prompt of this many tokens to read is long: half of the pieces that engines read in.
    std::int64_t long_prompt_tokens = 2048;
    // Part of their slots that the engines of the lane are to have taken. With more, prompts wait
    // for slots in the peaks of a second, and an engine's answers slow each other: with 0.6 a pool
    // of 40 engines lost 0.02 of the worth on heavy days.
    double target_slot_utilization = 0.4;
    // Largest part of a pool that is kept, and what is kept before anything was seen. With up to
    // 0.45, long prompts had too few engines where all are busy: 0.04 of the worth on heavy days of
    // a pool of 38.
    double max_share = 0.3;
    double initial_share = 0.3;
    // More work is averaged over about so long, less work over longer: where traffic begins,
    // answers of some seconds are under way only after as long.
    base::micros smoothing_time_up = base::seconds(3);
    base::micros smoothing_time_down = base::seconds(5);
    // Engines change sides only when the work asks for so many more or fewer, or for this part of
    // the pool: each takes the prompts that it is home to along.
    double hysteresis = 0.6;
    double hysteresis_share = 0.08;
    // Smaller pools are not divided: a lane of one engine would fail with it.
    std::size_t min_pool_size = 4;
};

// What a pool's lane for short prompts was lately asked for, and how many engines it has.
struct lane_size {
    // Engines that the short prompts under way need; what is kept at first before any was seen.
    double demand = 0.0;
    bool has_seen_traffic = false;
    std::size_t reserved = 0;
    base::instant updated_at{};
};

using lane_sizes = std::map<base::pool_id, lane_size>;

// Decides which engines of each pool are kept for short prompts. Entries that see the same list and
// about the same work decide alike, but for an engine while the work changes. To be called often,
// and whenever the list has changed.
void assign_lanes(fleet::fleet& state, lane_sizes& sizes, base::instant now,
                  const lane_rules& rules);

// Whether a prompt belongs to the lane for long ones.
bool is_long_prompt(const prompt_chain& chain);

// Whether an engine is of the prompt's lane.
bool in_lane(const fleet::member& one, const prompt_chain& chain);

} // namespace camphorrail::kvcache
