#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace camphorrail::kvcache {

// Estimate of one engine's KV cache contents, simulated as an LRU cache over the prompts that the
// engine is known to have prefilled. Engines evict the least recently used parts and do not report
// evictions.
//
// A fixed retention time does not work, since the real one depends on the cache size: 1.5 s matched
// engines with 72,000 tokens at peak load, while engines with 178,000 tokens keep a prompt for ten
// seconds, and their prompts were then fetched over the stores' much slower links or prefilled
// again.
struct engine_cache {
    struct cached_part {
        // Key of a prompt level at one version of the weights; 0 for tokens that no other request
        // shares.
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
        // Value of `total_prefilled_tokens` when the part was last used.
        std::int64_t last_used_position = 0;
    };
    // Cache size in tokens; 0 if unknown, and then nothing counts as cached.
    std::int64_t capacity = 0;
    std::int64_t used_tokens = 0;
    // Tokens that the engine has prefilled in total.
    std::int64_t total_prefilled_tokens = 0;
    // Least recently used part first.
    std::list<cached_part> lru_order;
    std::unordered_map<std::uint64_t, std::list<cached_part>::iterator> by_key;
};

// Records that the engine has used a part, which it prefilled if the part was not cached.
void touch_part(engine_cache& cache, std::uint64_t key, std::int64_t tokens);

// Records that the engine has prefilled tokens that belong to a single request.
void add_unshared_tokens(engine_cache& cache, std::int64_t tokens);

// Whether a part is probably cached.
bool holds(const engine_cache& cache, std::uint64_t key);

// Whether a part is cached with high confidence: since its last use the engine has prefilled less
// than half of its cache size. Of the parts closer to eviction, one in ten was already gone, and
// the prompt was prefilled again although a store could have supplied it.
bool reliably_holds(const engine_cache& cache, std::uint64_t key);

} // namespace camphorrail::kvcache
