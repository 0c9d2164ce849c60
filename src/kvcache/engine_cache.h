#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace camphorrail::kvcache {

// What one engine's memory probably holds, worked out from the prompts that it was seen to read:
// engines drop what was used longest ago, and do not tell entries.
//
// A fixed time in its place, 1.5 s, fitted engines of 72,000 tokens at the peak. Engines of 178,000
// hold a prompt for ten seconds, and their prompts were fetched from the stores' far slower links
// or read again.
struct engine_cache {
    struct cached_part {
        // A level of a prompt at its weights; 0 for tokens that nobody asks for again.
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
        // What the engine had read in all when it last used the part.
        std::int64_t last_used_position = 0;
    };
    // In tokens; 0 where it is not known, and then nothing is known to be held.
    std::int64_t capacity = 0;
    std::int64_t used_tokens = 0;
    // Tokens that it has read in all.
    std::int64_t total_prefilled_tokens = 0;
    // What was used longest ago comes first.
    std::list<cached_part> lru_order;
    std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> by_key;
};

// The engine uses a part, having read it where it did not hold it.
void touch_part(engine_cache& memory, std::uint64_t key, std::int64_t tokens);

// The engine reads tokens that belong to one request alone.
void add_unshared_tokens(engine_cache& memory, std::int64_t tokens);

// Whether the engine probably holds a part.
bool holds(const engine_cache& memory, std::uint64_t key);

// Whether it holds it for sure, as far as that can be worked out: it has read less than half of its
// memory since. One in ten parts nearer to yielding was gone, and the prompt was read anew that a
// store would have had.
bool reliably_holds(const engine_cache& memory, std::uint64_t key);

} // namespace camphorrail::kvcache
