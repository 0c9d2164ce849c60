#include "kvcache/prompt_sources.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

constexpr double bits_a_byte = 8.0;
constexpr double bits_a_ms_by_mbps = 1000.0;
// Moving a token where the pool's figures are not known: 190 KB over 350 Gbit/s.
constexpr double unknown_fetch_ms = 0.0044;
// Moves between availability zones take this many times as long.
constexpr double between_zones = 2.0;
// A millisecond of an engine's reading delays all that wait there too, and is paid for; a
// millisecond of waiting for a link delays this prompt alone.
constexpr double reading_weight = 2.0;
// An engine that has read a prompt this recently may hold it, whatever it has read since.
constexpr base::seconds perhaps_held{10};
// A store's link is shared by the fetches and saves of all engines, which have one each.
constexpr double shared_link_weight = 1.2;
// Engines do not begin a transfer that would wait for longer.
constexpr double longest_transfer_wait_ms = 2000.0;

double zone_factor(const base::availability_zone& one, const base::availability_zone& other) {
    return one == other ? 1.0 : between_zones;
}

// A member that can be asked for what it holds; null where it has left or fails.
const fleet::member* askable(const base::upstream_id& id, const prompt_request& request,
                             const placement_view& view) {
    const auto found = std::find_if(request.pool_members.begin(), request.pool_members.end(),
                                    [&](const auto* one) { return one->listed.id == id; });
    const bool can_ask = found != request.pool_members.end() && fleet::is_available(**found) &&
                         membership::is_usable((*found)->health, view.now);
    return can_ask ? *found : nullptr;
}

enum class certainty { holds, perhaps };

// The engine other than the target that read a level last and still holds it, or perhaps does; null
// where there is none that can be asked.
const fleet::member* last_reader(const prompt_level& level, const candidate& target,
                                 const prompt_request& request, const placement_view& view,
                                 certainty wanted) {
    const auto key = key_at(level.key, target.weights);
    for (const auto& reading : readings_of(view.beliefs, key)) {
        const bool counts = wanted == certainty::holds
                                ? surely_holds_level(view.beliefs, reading.by, key)
                                : view.now - reading.at <= perhaps_held;
        if (reading.by == target.engine->listed.id || !counts) {
            continue;
        }
        if (const auto* reader = askable(reading.by, request, view)) {
            return reader;
        }
    }
    return nullptr;
}

prompt_source engine_source(const candidate& target, const prompt_request& request,
                            const placement_view& view, std::int64_t held) {
    const auto& levels = request.chain.levels;
    for (auto level = levels.rbegin(); level != levels.rend(); ++level) {
        const auto* reader = last_reader(*level, target, request, view, certainty::holds);
        if (reader != nullptr && level->tokens > held) {
            const double factor = zone_factor(reader->listed.zone, target.engine->listed.zone);
            return {reader->listed.address, level->tokens,
                    factor * fetch_token_ms(request.pool) * static_cast<double>(level->tokens)};
        }
    }
    // What an engine holds is worked out and may be wrong; a vain question costs a millisecond.
    const auto* once = last_reader(levels.back(), target, request, view, certainty::perhaps);
    return once == nullptr ? prompt_source{} : prompt_source{once->listed.address, 0, 0.0};
}

prompt_source store_source(const candidate& target, const prompt_request& request,
                           const placement_view& view, const routes::kv_store& store) {
    const auto salt = make_salt(request.space, target.weights);
    const auto tokens = kept_tokens(view.copies, store.address, request.chain, salt);
    const bool is_guess = !is_known(view.copies, store.address, view.now);
    if (tokens == 0 && !is_guess) {
        return {};
    }
    const double factor = zone_factor(store.zone, target.engine->listed.zone);
    const double wait = transfer_wait_ms(view.copies, store.address, view.now);
    if (wait > longest_transfer_wait_ms) {
        return {};
    }
    return {store.address, tokens,
            wait + factor * transfer_ms(request.pool, store, static_cast<double>(tokens))};
}

double time_with(const prompt_source& source, const prompt_request& request,
                 const placement_view& view) {
    const auto all = static_cast<double>(request.chain.all_tokens());
    const double to_read = all - static_cast<double>(source.tokens);
    const latency::reading_work work{to_read, 0.0, latency::attention_pairs(to_read, all)};
    return source.fetch_ms + reading_weight * latency::reading_ms(view.model, work);
}

} // namespace

std::int64_t held_by(const candidate& target, const prompt_request& request,
                     const placement_view& view) {
    const auto& levels = request.chain.levels;
    const auto innermost = std::find_if(levels.rbegin(), levels.rend(), [&](const auto& level) {
        return holds_level(view.beliefs, target.engine->listed.id,
                           key_at(level.key, target.weights));
    });
    return innermost == levels.rend() ? 0 : innermost->tokens;
}

const routes::kv_store* store_of(const prompt_request& request, const placement_view& view,
                                 const fleet::member* home) {
    std::vector<const routes::kv_store*> up;
    std::vector<const routes::kv_store*> near_home;
    for (const auto& each : view.stores) {
        const auto known = view.copies.find(each.address);
        if (known != view.copies.end() && known->second.down) {
            continue;
        }
        up.push_back(&each);
        if (home != nullptr && each.zone == home->listed.zone) {
            near_home.push_back(&each);
        }
    }
    const auto& among = near_home.empty() ? up : near_home;
    return among.empty() ? nullptr : among[request.chain.levels.back().key % among.size()];
}

prompt_source best_source(const candidate& target, const prompt_request& request,
                          const placement_view& view, const routes::kv_store* store,
                          std::int64_t held) {
    auto from_engine = engine_source(target, request, view, held);
    if (store == nullptr) {
        return from_engine;
    }
    auto from_store = store_source(target, request, view, *store);
    const double by_engine = time_with(from_engine, request, view);
    const double by_store =
        time_with(from_store, request, view) + (shared_link_weight - 1.0) * from_store.fetch_ms;
    const bool guess_alone = from_engine.address.empty() && from_store.tokens == 0;
    return guess_alone || by_store < by_engine ? from_store : from_engine;
}

double fetch_token_ms(const routes::pool& pool) {
    const bool known = pool.kv_token_bytes > 0 && pool.link_mbps > 0;
    return known ? pool.kv_token_bytes * bits_a_byte / (pool.link_mbps * bits_a_ms_by_mbps)
                 : unknown_fetch_ms;
}

double transfer_ms(const routes::pool& pool, const routes::kv_store& store, double tokens) {
    const bool known = pool.kv_token_bytes > 0 && store.link_mbps > 0;
    const double token_ms =
        known ? pool.kv_token_bytes * bits_a_byte / (store.link_mbps * bits_a_ms_by_mbps)
              : unknown_fetch_ms;
    return token_ms * tokens;
}

} // namespace camphorrail::kvcache
