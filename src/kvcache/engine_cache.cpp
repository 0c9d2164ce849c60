#include "kvcache/engine_cache.h"

namespace camphorrail::kvcache {

namespace {

// Unshared tokens of consecutive requests are merged into blocks of up to this size, so that the
// list's length stays proportional to the number of shared parts.
constexpr std::int64_t max_unshared_block_tokens = 4096;
// Fraction of the cache that is available to finished prompts. The rest is taken by running
// requests and by the tokens that they generate.
constexpr double cache_fraction = 0.85;

void evict_oldest_parts(engine_cache& memory) {
    const auto most =
        static_cast<std::int64_t>(cache_fraction * static_cast<double>(memory.capacity));
    while (memory.used_tokens > most && !memory.lru_order.empty()) {
        const auto oldest = memory.lru_order.front();
        memory.lru_order.pop_front();
        memory.used_tokens -= oldest.tokens;
        if (oldest.key != 0) {
            memory.by_key.erase(oldest.key);
        }
    }
}

} // namespace

void touch_part(engine_cache& memory, std::uint64_t key, std::int64_t tokens) {
    const auto found = memory.by_key.find(key);
    if (found != memory.by_key.end()) {
        found->second->last_used_position = memory.total_prefilled_tokens;
        memory.lru_order.splice(memory.lru_order.end(), memory.lru_order, found->second);
        return;
    }
    memory.used_tokens += tokens;
    memory.total_prefilled_tokens += tokens;
    memory.by_key[key] = memory.lru_order.insert(memory.lru_order.end(),
                                                 {key, tokens, memory.total_prefilled_tokens});
    evict_oldest_parts(memory);
}

void add_unshared_tokens(engine_cache& memory, std::int64_t tokens) {
    if (tokens <= 0) {
        return;
    }
    const bool joins = !memory.lru_order.empty() && memory.lru_order.back().key == 0 &&
                       memory.lru_order.back().tokens + tokens <= max_unshared_block_tokens;
    if (joins) {
        memory.lru_order.back().tokens += tokens;
    } else {
        memory.lru_order.push_back({0, tokens, 0});
    }
    memory.used_tokens += tokens;
    memory.total_prefilled_tokens += tokens;
    evict_oldest_parts(memory);
}

bool reliably_holds(const engine_cache& memory, std::uint64_t key) {
    const auto found = memory.by_key.find(key);
    return found != memory.by_key.end() &&
           2 * (memory.total_prefilled_tokens - found->second->last_used_position) <
               memory.capacity;
}

bool holds(const engine_cache& memory, std::uint64_t key) {
    return memory.by_key.count(key) > 0;
}

} // namespace camphorrail::kvcache
