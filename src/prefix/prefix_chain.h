#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::prefix {

// Scope of a cached block. Two prompts share cached blocks only if all fields are equal, so blocks
// of another team, another model or older weights can't even be looked up.
struct cache_scope {
    base::team_id team;
    base::model_id model;
    std::string weights;
};

// One nested level of a prompt: the prefix up to the level's end.
struct prefix_level {
    std::uint64_t key = 0;
    base::tokens length;
};

// The levels of a prompt, shortest first; each key covers all levels before it.
using prefix_chain = std::vector<prefix_level>;

inline constexpr std::size_t max_levels = 8;

// Approximate number of bytes per token; used for estimates only.
inline constexpr std::int64_t bytes_per_token = 4;

// Builds the chain of a prompt that consists of parts, such as the messages of a chat. A part
// longer than `split_bytes` is split at that size, so that a long conversation log shares its
// beginning with an earlier one.
prefix_chain make_chain(const cache_scope& scope, const std::vector<std::string>& parts);

} // namespace camphorrail::prefix
