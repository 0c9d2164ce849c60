#pragma once

#include "fleet/fleet.h"
#include "kvcache/prompt_chain.h"

namespace camphorrail::kvcache {

// Some engines of a pool are kept for short prompts. An engine reads long prompts in large pieces
// between the tokens of the answers it is generating, so on an engine that takes both, short
// answers pause while a long prompt is read: one in ten comes late although nothing else is wrong.
struct lane_rules {
    // A prompt of this many tokens to read is long: half of the pieces that engines read in.
    std::int64_t long_prompt = 2048;
    // Part of the pool that is kept for short prompts. At the peak their answers take four fifths
    // of its slots; with a quarter they filled it, with 45 of 100 long prompts came too late.
    double short_share = 0.3;
    // Smaller pools are not divided: a lane of one engine would fail with it.
    std::size_t smallest_pool = 4;
};

// Decides which engines of each pool are kept for short prompts. Every entry that sees the same
// list decides alike.
void assign_lanes(fleet::fleet& state, const lane_rules& rules);

// Whether a prompt belongs to the lane for long ones.
bool is_long(const prompt_chain& chain);

// Whether an engine is of the prompt's lane.
bool in_lane(const fleet::member& one, const prompt_chain& chain);

} // namespace camphorrail::kvcache
