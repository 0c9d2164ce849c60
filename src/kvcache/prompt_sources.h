#pragma once

#include "kvcache/placement.h"

#include <string>

namespace camphorrail::kvcache {

// An engine or a KV cache store that can supply the leading part of a prompt.
struct prompt_source {
    // Empty if there is no source.
    std::string address;
    // Tokens of the prompt that the source probably holds.
    std::int64_t tokens = 0;
    // Expected time until the engine has fetched them.
    double fetch_ms = 0.0;
};

// Number of the prompt's tokens that an engine probably holds in its cache, or will have prefilled
// by the time it processes this prompt.
std::int64_t cached_tokens_at(const candidate& target, const prompt_request& request,
                              const placement_context& view);

// Selects the store that saves a prompt: a store in the availability zone of the prompt's home,
// since transfers across zones take twice as long. If the zone has several stores, the prompt's key
// selects one, so that all their links are used. All entries select the same store. Null if no
// store is reachable.
const routes::kv_store* select_store(const prompt_request& request, const placement_context& view,
                                     const fleet::member* home);

// Returns the source with which the engine would finish the prompt's prefill earliest. An engine
// that has prefilled the prompt recently is preferred to a store, whose link is shared by all
// fetches and saves, and a store to prefilling again. A source is also named if the target probably
// holds the prompt itself, since it fetches only what it lacks. `held` is the number of tokens that
// the target holds; see `cached_tokens_at`.
prompt_source best_source(const candidate& target, const prompt_request& request,
                          const placement_context& view, const routes::kv_store* store,
                          std::int64_t held);

// Time that transferring one token between two engines of an availability zone takes, in
// milliseconds.
double fetch_ms_per_token(const routes::pool& pool);

} // namespace camphorrail::kvcache
