#include "kvcache/cache_index.h"

namespace camphorrail::kvcache {

namespace {

// Maximum number of engines recorded per level. More copies are not needed to find a source to
// fetch from.
constexpr std::size_t max_readers = 3;

cache_index::record& find_or_add(cache_index& index, std::uint64_t level) {
    const auto [found, is_new] = index.records.try_emplace(level);
    if (is_new) {
        found->second.lru_position = index.lru_order.insert(index.lru_order.end(), level);
    } else {
        index.lru_order.splice(index.lru_order.end(), index.lru_order, found->second.lru_position);
    }
    return found->second;
}

void evict_oldest(cache_index& index) {
    while (index.records.size() > index.max_records) {
        index.records.erase(index.lru_order.front());
        index.lru_order.pop_front();
    }
}

void remove_reader(std::vector<cache_index::reader>& readers, const base::upstream_id& engine) {
    std::erase_if(readers, [&engine](const auto& each) { return each.engine == engine; });
}

engine_cache& engine_cache_of(cache_index& index, const base::upstream_id& engine,
                              std::int64_t capacity) {
    auto& cache = index.engine_caches[engine];
    cache.capacity = capacity;
    return cache;
}

void add_reader(cache_index::record& record, const base::upstream_id& engine, base::instant now) {
    remove_reader(record.readers, engine);
    record.readers.insert(record.readers.begin(), {engine, now});
    if (record.readers.size() > max_readers) {
        record.readers.pop_back();
    }
}

} // namespace

void record_prefill(cache_index& index, const prompt_prefill& prefill, std::int64_t capacity,
                    base::instant now) {
    routing::record_request(index.outer_level_popularity, prefill.levels.front().key, now);
    auto& cache = engine_cache_of(index, prefill.engine.id, capacity);
    for (const auto& level : prefill.levels) {
        const auto key = cached_level_key(level.key, prefill.weights, prefill.shared_space);
        add_reader(find_or_add(index, key), prefill.engine.id, now);
        touch_part(cache, key, level.tokens);
    }
    add_unshared_tokens(cache, prefill.unshared_tokens);
    if (prefill.saved) {
        const auto key =
            cached_level_key(prefill.levels.back().key, prefill.weights, prefill.shared_space);
        find_or_add(index, key).saved_at = now;
    }
    evict_oldest(index);
}

void record_sent(cache_index& index, const base::upstream_id& engine, const prompt_chain& chain,
                 std::int64_t weights, std::int64_t capacity) {
    auto& cache = engine_cache_of(index, engine, capacity);
    for (const auto& level : chain.levels) {
        touch_part(cache, cached_level_key(level.key, weights, chain.shared_space),
                   level.part_tokens);
    }
}

bool holds_level(const cache_index& index, const base::upstream_id& engine, std::uint64_t level) {
    const auto found = index.engine_caches.find(engine);
    return found != index.engine_caches.end() && holds(found->second, level);
}

bool reliably_holds_level(const cache_index& index, const base::upstream_id& engine,
                          std::uint64_t level) {
    const auto found = index.engine_caches.find(engine);
    return found != index.engine_caches.end() && reliably_holds(found->second, level);
}

void forget_engine(cache_index& index, const base::upstream_id& engine) {
    for (auto& [level, record] : index.records) {
        remove_reader(record.readers, engine);
    }
    index.engine_caches.erase(engine);
}

const std::vector<cache_index::reader>& readers_of(const cache_index& index, std::uint64_t level) {
    static const std::vector<cache_index::reader> none;
    const auto found = index.records.find(level);
    return found == index.records.end() ? none : found->second.readers;
}

std::optional<base::instant> last_save_time(const cache_index& index, std::uint64_t level) {
    const auto found = index.records.find(level);
    if (found == index.records.end() || found->second.saved_at == base::instant{}) {
        return std::nullopt;
    }
    return found->second.saved_at;
}

} // namespace camphorrail::kvcache
