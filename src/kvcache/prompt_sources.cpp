#include "kvcache/prompt_sources.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

constexpr double bits_per_byte = 8.0;
constexpr double bits_per_ms_per_mbps = 1000.0;
// Default transfer time per token if the pool's figures are unknown: 190 KB at 350 Gbit/s.
constexpr double default_fetch_ms_per_token = 0.0044;
// Transfers across availability zones take this many times as long.
constexpr double cross_zone_factor = 2.0;
// Weight of prefill time relative to fetch time. A millisecond of prefill also delays all requests
// queued at the engine and costs compute, while a millisecond of waiting for a link delays only
// this prompt.
constexpr double prefill_cost_weight = 2.0;
// An engine that has prefilled a prompt within this time may still hold it, regardless of its
// estimated cache contents.
constexpr base::seconds possible_retention{10};
// Additional weight of fetches from a store, since the fetches and saves of all engines share its
// link, while each engine has a link of its own.
constexpr double store_link_weight = 1.2;
// Engines do not start a transfer that would have to wait for longer than this.
constexpr double max_transfer_wait_ms = 2000.0;

double zone_factor(const base::availability_zone& one, const base::availability_zone& other) {
    return one == other ? 1.0 : cross_zone_factor;
}

// Returns the member if it can serve fetches; null if it has left or is failing.
const fleet::member* reachable_member(const base::upstream_id& id, const prompt_request& request,
                                      const placement_context& view) {
    const auto found = std::find_if(request.pool_members.begin(), request.pool_members.end(),
                                    [&](const auto* one) { return one->listed.id == id; });
    const bool can_ask = found != request.pool_members.end() && fleet::is_available(**found) &&
                         membership::is_usable((*found)->health, view.now);
    return can_ask ? *found : nullptr;
}

enum class confidence { holds, perhaps };

// Returns the engine, other than the target, that has prefilled a level most recently and still
// holds it with the required confidence; null if there is none that can serve fetches.
const fleet::member* latest_reader(const prompt_level& level, const candidate& target,
                                   const prompt_request& request, const placement_context& view,
                                   confidence required) {
    const auto key = cached_level_key(level.key, target.weights, request.chain.shared_space);
    for (const auto& reading : readers_of(view.cache, key)) {
        const bool qualifies = required == confidence::holds
                                   ? reliably_holds_level(view.cache, reading.engine, key)
                                   : view.now - reading.read_at <= possible_retention;
        if (reading.engine == target.engine->listed.id || !qualifies) {
            continue;
        }
        if (const auto* reader = reachable_member(reading.engine, request, view)) {
            return reader;
        }
    }
    return nullptr;
}

prompt_source engine_source(const candidate& target, const prompt_request& request,
                            const placement_context& view, std::int64_t held) {
    const auto& levels = request.chain.levels;
    for (auto level = levels.rbegin(); level != levels.rend(); ++level) {
        const auto* reader = latest_reader(*level, target, request, view, confidence::holds);
        if (reader != nullptr && level->prefix_tokens > held) {
            const double factor = zone_factor(reader->listed.zone, target.engine->listed.zone);
            return {reader->listed.address, level->prefix_tokens,
                    factor * fetch_ms_per_token(request.pool) *
                        static_cast<double>(level->prefix_tokens)};
        }
    }
    // The estimate of an engine's cache contents may be wrong; a fetch that finds nothing costs
    // only a millisecond.
    const auto* possible_reader =
        latest_reader(levels.back(), target, request, view, confidence::perhaps);
    return possible_reader == nullptr ? prompt_source{}
                                      : prompt_source{possible_reader->listed.address, 0, 0.0};
}

prompt_source store_source(const candidate& target, const prompt_request& request,
                           const placement_context& view, const routes::kv_store& store) {
    const auto salt = make_salt(request.scope, target.weights);
    const auto tokens = stored_tokens(view.stored_prompts, store.address, request.chain, salt);
    const bool is_speculative = !is_up_to_date(view.stored_prompts, store.address, view.now);
    if (tokens == 0 && !is_speculative) {
        return {};
    }
    const double factor = zone_factor(store.zone, target.engine->listed.zone);
    const double wait = transfer_wait_ms(view.stored_prompts, store.address, view.now);
    if (wait > max_transfer_wait_ms) {
        return {};
    }
    return {store.address, tokens,
            wait + factor * transfer_ms(request.pool, store, static_cast<double>(tokens))};
}

double estimated_cost_ms(const prompt_source& source, const prompt_request& request,
                         const placement_context& view) {
    const auto total_tokens = static_cast<double>(request.chain.total_tokens());
    const double prefill_tokens = total_tokens - static_cast<double>(source.tokens);
    const latency::prefill_work work{prefill_tokens, 0.0,
                                     latency::attention_pairs(prefill_tokens, total_tokens)};
    return source.fetch_ms + prefill_cost_weight * latency::prefill_ms(view.model, work);
}

} // namespace

std::int64_t cached_tokens_at(const candidate& target, const prompt_request& request,
                              const placement_context& view) {
    const auto& levels = request.chain.levels;
    const auto innermost = std::find_if(levels.rbegin(), levels.rend(), [&](const auto& level) {
        return holds_level(view.cache, target.engine->listed.id,
                           cached_level_key(level.key, target.weights, request.chain.shared_space));
    });
    return innermost == levels.rend() ? 0 : innermost->prefix_tokens;
}

const routes::kv_store* select_store(const prompt_request& request, const placement_context& view,
                                     const fleet::member* home) {
    std::vector<const routes::kv_store*> reachable;
    std::vector<const routes::kv_store*> in_home_zone;
    for (const auto& each : view.stores) {
        const auto known = view.stored_prompts.find(each.address);
        if (known != view.stored_prompts.end() && known->second.down) {
            continue;
        }
        reachable.push_back(&each);
        if (home != nullptr && each.zone == home->listed.zone) {
            in_home_zone.push_back(&each);
        }
    }
    const auto& choices = in_home_zone.empty() ? reachable : in_home_zone;
    return choices.empty() ? nullptr : choices[request.chain.levels.back().key % choices.size()];
}

prompt_source best_source(const candidate& target, const prompt_request& request,
                          const placement_context& view, const routes::kv_store* store,
                          std::int64_t held) {
    auto from_engine = engine_source(target, request, view, held);
    if (store == nullptr) {
        return from_engine;
    }
    auto from_store = store_source(target, request, view, *store);
    const double by_engine = estimated_cost_ms(from_engine, request, view);
    const double by_store = estimated_cost_ms(from_store, request, view) +
                            (store_link_weight - 1.0) * from_store.fetch_ms;
    const bool only_speculative = from_engine.address.empty() && from_store.tokens == 0;
    return only_speculative || by_store < by_engine ? from_store : from_engine;
}

double fetch_ms_per_token(const routes::pool& pool) {
    const bool known = pool.kv_token_bytes > 0 && pool.link_mbps > 0;
    return known ? pool.kv_token_bytes * bits_per_byte / (pool.link_mbps * bits_per_ms_per_mbps)
                 : default_fetch_ms_per_token;
}

double transfer_ms(const routes::pool& pool, const routes::kv_store& store, double tokens) {
    const bool known = pool.kv_token_bytes > 0 && store.link_mbps > 0;
    const double token_ms =
        known ? pool.kv_token_bytes * bits_per_byte / (store.link_mbps * bits_per_ms_per_mbps)
              : default_fetch_ms_per_token;
    return token_ms * tokens;
}

} // namespace camphorrail::kvcache
