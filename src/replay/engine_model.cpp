#include "replay/engine_model.h"

namespace camphorrail::replay {

namespace {

// Each request that decodes beside a prefill takes this part of the engine's time.
constexpr double slowdown_a_request = 0.02;

void evict(engine_model& engine) {
    while (engine.held_tokens > engine.traits.cache_tokens && !engine.newest_first.empty()) {
        engine.held_tokens -= engine.newest_first.back().tokens;
        engine.by_key.erase(engine.newest_first.back().key);
        engine.newest_first.pop_back();
    }
}

} // namespace

base::tokens cached_tokens(const engine_model& engine, const prefix::prefix_chain& chain) {
    base::tokens found;
    for (const auto& level : chain) {
        if (engine.by_key.count(level.key) == 0) {
            break;
        }
        found = level.length;
    }
    return found;
}

void store(engine_model& engine, const prefix::prefix_chain& chain) {
    for (std::size_t level = chain.size(); level-- > 0;) {
        const std::uint64_t key = chain[level].key;
        const auto known = engine.by_key.find(key);
        if (known != engine.by_key.end()) {
            engine.newest_first.splice(engine.newest_first.begin(), engine.newest_first,
                                       known->second);
            continue;
        }
        const std::int64_t below = level == 0 ? 0 : chain[level - 1].length.value;
        engine.newest_first.push_front({key, chain[level].length.value - below});
        engine.by_key[key] = engine.newest_first.begin();
        engine.held_tokens += engine.newest_first.front().tokens;
    }
    evict(engine);
}

base::micros prefill_time(const engine_model& engine, base::tokens computed) {
    const double slow = 1.0 + slowdown_a_request * static_cast<double>(engine.running);
    return base::micros(static_cast<std::int64_t>(static_cast<double>(computed.value) *
                                                  engine.traits.prefill_us_per_token * slow));
}

void come_back(engine_model& engine) {
    engine.up = true;
    ++engine.incarnation;
    engine.newest_first.clear();
    engine.by_key.clear();
    engine.held_tokens = 0;
    engine.running = 0;
    engine.prefill_free = {};
}

} // namespace camphorrail::replay
