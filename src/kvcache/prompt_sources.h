#pragma once

#include "kvcache/placement.h"

#include <string>

namespace camphorrail::kvcache {

// Whoever can hand over the leading part of a prompt.
struct prompt_source {
    // Empty where there is nobody.
    std::string address;
    // Tokens of the prompt that it probably has.
    std::int64_t tokens = 0;
    // How long until the engine has fetched them.
    double fetch_ms = 0.0;
};

// Tokens of the prompt that an engine probably holds itself, or will have read by the time that it
// comes to this prompt.
std::int64_t cached_tokens_at(const candidate& target, const prompt_request& request,
                              const placement_context& view);

// The store that keeps a prompt: one in the zone of its home, since moves between zones take twice
// as long; of several there the prompt picks one, so that all their links are used. Every entry and
// engine finds it there. Null where there is none.
const routes::kv_store* select_store(const prompt_request& request, const placement_context& view,
                                     const fleet::member* home);

// The source with which the engine has read the prompt soonest. An engine that has read the prompt
// lately goes before the stores, whose links all fetches and saves share, and those before reading
// it anew. One is named also where the engine holds the prompt as far as is known: it fetches only
// what it lacks. `held`: what the target holds, in tokens; see held_by.
prompt_source best_source(const candidate& target, const prompt_request& request,
                          const placement_context& view, const routes::kv_store* store,
                          std::int64_t held);

// Milliseconds that moving a token between two engines of a zone takes.
double fetch_ms_per_token(const routes::pool& pool);

} // namespace camphorrail::kvcache
