#include "kvcache/cache_index.h"

namespace camphorrail::kvcache {

namespace {

// Maximum number of engines recorded per level. More copies are not needed to find a source to
// fetch from.
constexpr std::size_t max_readers = 3;

cache_index::record& find_or_add(cache_index& beliefs, std::uint64_t prompt) {
    const auto [found, is_new] = beliefs.records.try_emplace(prompt);
    if (is_new) {
        found->second.lru_position = beliefs.lru_order.insert(beliefs.lru_order.end(), prompt);
    } else {
        beliefs.lru_order.splice(beliefs.lru_order.end(), beliefs.lru_order,
                                 found->second.lru_position);
    }
    return found->second;
}

void evict_oldest(cache_index& beliefs) {
    while (beliefs.records.size() > beliefs.max_records) {
        beliefs.records.erase(beliefs.lru_order.front());
        beliefs.lru_order.pop_front();
    }
}

void remove_reader(std::vector<cache_index::reader>& readings, const base::upstream_id& by) {
    std::erase_if(readings, [&by](const auto& each) { return each.engine == by; });
}

engine_cache& engine_cache_of(cache_index& beliefs, const base::upstream_id& engine,
                              std::int64_t room) {
    auto& memory = beliefs.engine_caches[engine];
    memory.capacity = room;
    return memory;
}

void add_reader(cache_index::record& belief, const base::upstream_id& by, base::instant now) {
    remove_reader(belief.readers, by);
    belief.readers.insert(belief.readers.begin(), {by, now});
    if (belief.readers.size() > max_readers) {
        belief.readers.pop_back();
    }
}

} // namespace

void record_prefill(cache_index& beliefs, const prompt_prefill& read, std::int64_t room,
                    base::instant now) {
    routing::record_request(beliefs.outer_level_popularity, read.levels.front().key, now);
    auto& memory = engine_cache_of(beliefs, read.engine.id, room);
    for (const auto& level : read.levels) {
        const auto key = key_for_weights(level.key, read.weights);
        add_reader(find_or_add(beliefs, key), read.engine.id, now);
        touch_part(memory, key, level.tokens);
    }
    add_unshared_tokens(memory, read.unshared_tokens);
    if (read.saved) {
        find_or_add(beliefs, key_for_weights(read.levels.back().key, read.weights)).saved_at = now;
    }
    evict_oldest(beliefs);
}

void record_sent(cache_index& beliefs, const base::upstream_id& to, const prompt_chain& chain,
                 std::int64_t weights, std::int64_t room) {
    auto& memory = engine_cache_of(beliefs, to, room);
    for (const auto& level : chain.levels) {
        touch_part(memory, key_for_weights(level.key, weights), level.part_tokens);
    }
}

bool holds_level(const cache_index& beliefs, const base::upstream_id& engine, std::uint64_t level) {
    const auto found = beliefs.engine_caches.find(engine);
    return found != beliefs.engine_caches.end() && holds(found->second, level);
}

bool reliably_holds_level(const cache_index& beliefs, const base::upstream_id& engine,
                          std::uint64_t level) {
    const auto found = beliefs.engine_caches.find(engine);
    return found != beliefs.engine_caches.end() && reliably_holds(found->second, level);
}

void forget_engine(cache_index& beliefs, const base::upstream_id& gone) {
    for (auto& [prompt, belief] : beliefs.records) {
        remove_reader(belief.readers, gone);
    }
    beliefs.engine_caches.erase(gone);
}

const std::vector<cache_index::reader>& readers_of(const cache_index& beliefs,
                                                   std::uint64_t prompt) {
    static const std::vector<cache_index::reader> none;
    const auto found = beliefs.records.find(prompt);
    return found == beliefs.records.end() ? none : found->second.readers;
}

std::optional<base::instant> last_save_time(const cache_index& beliefs, std::uint64_t prompt) {
    const auto found = beliefs.records.find(prompt);
    if (found == beliefs.records.end() || found->second.saved_at == base::instant{}) {
        return std::nullopt;
    }
    return found->second.saved_at;
}

} // namespace camphorrail::kvcache
