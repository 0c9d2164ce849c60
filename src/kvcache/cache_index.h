#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "kvcache/engine_cache.h"
#include "kvcache/prompt_chain.h"
#include "latency/first_byte.h"
#include "routing/popularity.h"

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorrail::kvcache {

// Shared prompt prefixes with fewer tokens are not tracked: prefilling 500 tokens takes an engine 5
// ms, about as long as fetching them.
inline constexpr std::int64_t min_tracked_tokens = 500;

// Reports that an engine has prefilled a prompt. Entries exchange these reports, since each entry
// handles only a part of a prompt's requests.
struct prompt_prefill {
    // One shared level: its key, and the number of tokens in the level's own part.
    struct level {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
    };
    // Outermost level first; never empty.
    std::vector<level> levels;
    std::int64_t unshared_tokens = 0;
    std::int64_t weights = 0;
    base::upstream_instance engine;
    // Whether the engine was instructed to save the prompt in its KV cache store.
    bool saved = false;
    // Time to the request's first event and the prefill work before it. `ms` is 0 if the request
    // does not allow such a measurement.
    latency::first_byte_sample first_byte;
    // The shared space in which the levels are cached.
    std::uint64_t shared_space = 0;
};

// Which engines have recently prefilled which prompt levels, according to this entry's requests and
// the reports of other entries. A level is identified by its `cached_level_key`.
struct cache_index {
    struct reader {
        base::upstream_id engine;
        base::instant read_at{};
    };
    struct record {
        // Most recent first; each engine appears once.
        std::vector<reader> readers;
        // When an engine was last instructed to save the level; the epoch if never.
        base::instant saved_at{};
        std::list<std::uint64_t>::iterator lru_position;
    };
    std::unordered_map<std::uint64_t, record> records;
    // Keys of `records` in order of use, the least recently used first.
    std::list<std::uint64_t> lru_order;
    // Estimated cache contents of each engine that has prefilled a prompt.
    std::unordered_map<base::upstream_id, engine_cache> engine_caches;
    // Maximum number of records. Covers one minute of a single entry's prompts, or half a minute of
    // all entries', and takes 2 MB.
    std::size_t max_records = 8192;
    // Share of each outermost level in the recent traffic.
    routing::popularity outer_level_popularity;
};

// Records that an engine has prefilled a prompt. `capacity` is the size of the engine's KV cache in
// tokens, 0 if unknown.
void record_prefill(cache_index& index, const prompt_prefill& prefill, std::int64_t capacity,
                    base::instant now);

// Records that a prompt was sent to an engine. Requests queued behind it will find its shared
// levels in the cache, so they count as cached from now on.
void record_sent(cache_index& index, const base::upstream_id& engine, const prompt_chain& chain,
                 std::int64_t weights, std::int64_t capacity);

// Whether an engine probably has a level in its cache; `level` is its `cached_level_key`. The
// second function requires that the level was used so recently that eviction is unlikely.
bool holds_level(const cache_index& index, const base::upstream_id& engine, std::uint64_t level);
bool reliably_holds_level(const cache_index& index, const base::upstream_id& engine,
                          std::uint64_t level);

// Removes an engine that has lost its cache, for instance by loading new weights, or has
// terminated.
void forget_engine(cache_index& index, const base::upstream_id& engine);

// The engines that have most recently prefilled a level, the latest first; empty if none is known.
const std::vector<cache_index::reader>& readers_of(const cache_index& index, std::uint64_t level);

// When an engine was last instructed to save the level; nullopt if never.
std::optional<base::instant> last_save_time(const cache_index& index, std::uint64_t level);

} // namespace camphorrail::kvcache
