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

// Prompts that share fewer tokens are not worth keeping track of: reading 500 tokens takes an
// engine 5 ms, about as long as fetching them.
inline constexpr std::int64_t min_tracked_tokens = 500;

// An engine has read a prompt. Entries tell each other, since each sees only its part of a prompt's
// requests.
struct prompt_prefill {
    // One shared level: its key, and the tokens of its own part.
    struct level {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
    };
    // Outermost first; not empty.
    std::vector<level> levels;
    std::int64_t unshared_tokens = 0;
    std::int64_t weights = 0;
    base::upstream_instance engine;
    // The engine was told to save it in the prompt's store.
    bool saved = false;
    // How long its first event took, and what the engine had to read before; no time where that
    // shows nothing.
    latency::first_byte_sample first_byte;
};

// Who has read which level of which prompts lately, as far as this entry and those it hears from
// have seen. Levels are known by their keys at their weights.
struct cache_index {
    struct reader {
        base::upstream_id engine;
        base::instant read_at{};
    };
    struct record {
        // Newest first, each engine once.
        std::vector<reader> readers;
        // When an engine was last told to save it; the epoch for never.
        base::instant saved_at{};
        std::list<std::uint64_t>::iterator lru_position;
    };
    std::unordered_map<std::uint64_t, record> records;
    // Keys, the one used longest ago first.
    std::list<std::uint64_t> lru_order;
    // What each engine that was seen to read prompts probably holds.
    std::unordered_map<base::upstream_id, engine_cache> engine_caches;
    // A minute of one entry's prompts and half a minute of all entries' at today's sizes; 2 MB.
    std::size_t max_records = 8192;
    // How much of the traffic each outermost level makes up.
    routing::popularity outer_level_popularity;
};

// `room` is the engine's memory in tokens, 0 where that is not known.
void record_prefill(cache_index& beliefs, const prompt_prefill& read, std::int64_t room,
                    base::instant now);

// A request that is read after others finds what these have had read by then. Notes that an engine
// will hold a prompt's shared levels once it has read what was sent to it.
void record_sent(cache_index& beliefs, const base::upstream_id& to, const prompt_chain& chain,
                 std::int64_t weights, std::int64_t room);

// Whether an engine probably holds a level, given by its key at its weights.
bool holds_level(const cache_index& beliefs, const base::upstream_id& engine, std::uint64_t level);
bool reliably_holds_level(const cache_index& beliefs, const base::upstream_id& engine,
                          std::uint64_t level);

// The upstream has lost its cache, as by new weights, or has ended.
void forget_engine(cache_index& beliefs, const base::upstream_id& gone);

// The newest readings of a prompt, newest first; empty where none is known.
const std::vector<cache_index::reader>& readers_of(const cache_index& beliefs,
                                                   std::uint64_t prompt);

// When an engine was last told to save the prompt; nothing where none was.
std::optional<base::instant> last_save_time(const cache_index& beliefs, std::uint64_t prompt);

} // namespace camphorrail::kvcache
