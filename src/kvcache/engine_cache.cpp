#include "kvcache/engine_cache.h"

namespace camphorrail::kvcache {

namespace {

// Unshared tokens of consecutive requests are merged into blocks of up to this size, so that the
// list's length stays proportional to the number of shared parts.
constexpr std::int64_t max_unshared_block_tokens = 4096;
// Fraction of the cache that is available to finished prompts. The rest is taken by running
// requests and by the tokens that they generate.
constexpr double cache_fraction = 0.85;

void evict_oldest_parts(engine_cache& cache) {
    const auto limit =
        static_cast<std::int64_t>(cache_fraction * static_cast<double>(cache.capacity));
    while (cache.used_tokens > limit && !cache.lru_order.empty()) {
        const auto oldest = cache.lru_order.front();
        cache.lru_order.pop_front();
        cache.used_tokens -= oldest.tokens;
        if (oldest.key != 0) {
            cache.by_key.erase(oldest.key);
        }
    }
}

} // namespace

void touch_part(engine_cache& cache, std::uint64_t key, std::int64_t tokens) {
    const auto found = cache.by_key.find(key);
    if (found != cache.by_key.end()) {
        found->second->last_used_position = cache.total_prefilled_tokens;
        cache.lru_order.splice(cache.lru_order.end(), cache.lru_order, found->second);
        return;
    }
    cache.used_tokens += tokens;
    cache.total_prefilled_tokens += tokens;
    cache.by_key[key] =
        cache.lru_order.insert(cache.lru_order.end(), {key, tokens, cache.total_prefilled_tokens});
    evict_oldest_parts(cache);
}

void add_unshared_tokens(engine_cache& cache, std::int64_t tokens) {
    if (tokens <= 0) {
        return;
    }
    const bool can_merge = !cache.lru_order.empty() && cache.lru_order.back().key == 0 &&
                           cache.lru_order.back().tokens + tokens <= max_unshared_block_tokens;
    if (can_merge) {
        cache.lru_order.back().tokens += tokens;
    } else {
        cache.lru_order.push_back({0, tokens, 0});
    }
    cache.used_tokens += tokens;
    cache.total_prefilled_tokens += tokens;
    evict_oldest_parts(cache);
}

bool reliably_holds(const engine_cache& cache, std::uint64_t key) {
    const auto found = cache.by_key.find(key);
    return found != cache.by_key.end() &&
           2 * (cache.total_prefilled_tokens - found->second->last_used_position) < cache.capacity;
}

bool holds(const engine_cache& cache, std::uint64_t key) {
    return cache.by_key.count(key) > 0;
}

} // namespace camphorrail::kvcache
