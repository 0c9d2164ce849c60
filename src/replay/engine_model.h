#pragma once

#include "base/units.h"
#include "prefix/prefix_chain.h"
#include "replay/trace.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace camphorrail::replay {

// The one model of an engine that replays use: a prefix cache of bounded size, prefills one after
// the other, and decoding beside them in a bounded number of slots. Computing is slower the more
// requests decode at the same time.
struct engine_model {
    struct block {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
    };
    engine_traits traits;
    std::int64_t incarnation = 1;
    bool up = true;
    std::int64_t held_tokens = 0;
    std::list<block> newest_first;
    std::unordered_map<std::uint64_t, std::list<block>::iterator> by_key;
    base::instant prefill_free{};
    std::int64_t running = 0;
};

// Tokens of a prompt that are in the cache: its longest unbroken run of levels from the start.
base::tokens cached_tokens(const engine_model& engine, const prefix::prefix_chain& chain);

// Puts a prompt's levels into the cache, the deepest one least worth keeping, and lets the least
// used ones go.
void store(engine_model& engine, const prefix::prefix_chain& chain);

// Time to compute the part of a prompt that is not cached, given what else runs.
base::micros prefill_time(const engine_model& engine, base::tokens computed);

// The engine crashed and is back, with nothing in its cache.
void come_back(engine_model& engine);

} // namespace camphorrail::replay
