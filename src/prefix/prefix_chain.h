#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::prefix {

// What a cached block belongs to. Two prompts share cache only where all of it is equal, so a block
// of another team, model or older weights can't even be looked up.
struct cache_scope {
    base::team_id team;
    base::model_id model;
    std::string weights;
};

// One nested level of a prompt: everything up to its end.
struct prefix_level {
    std::uint64_t key = 0;
    base::tokens length;
};

// The levels of a prompt, shortest first; each one's key covers all before it.
using prefix_chain = std::vector<prefix_level>;

inline constexpr std::size_t max_levels = 8;

// Roughly how many bytes of text make one token; used for estimates only.
inline constexpr std::int64_t bytes_per_token = 4;

// The chain of a prompt that comes in parts, such as the messages of a chat. A part longer than
// `split_bytes` is cut at that size, so that a long log shares its head with an earlier one.
prefix_chain make_chain(const cache_scope& scope, const std::vector<std::string>& parts);

} // namespace camphorrail::prefix
