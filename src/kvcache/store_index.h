#pragma once

#include "base/units.h"
#include "kvcache/prompt_chain.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorrail::kvcache {

// A prompt part that a KV cache store holds, completely or partially; 0 tokens if the store no
// longer holds it.
struct stored_part {
    std::uint64_t part = 0;
    std::int64_t tokens = 0;
};

// Contents of one KV cache store, according to its own events. When entries inferred the contents
// from the saves they had ordered, they saved prompts that were already stored and waited for
// others that were missing, and the saves alone took two thirds of the stores' link capacity.
struct store_contents {
    std::unordered_map<std::uint64_t, std::int64_t> parts;
    // When this entry, or another one that reported to it, last received an event from the store;
    // the epoch if never.
    base::instant updated_at{};
    // Whether the store refuses connections. An engine instructed to fetch from it would wait for
    // it on every prompt.
    bool down = false;
    // When the store's link will have finished all transfers that entries have ordered, as far as
    // reported.
    base::instant link_free_at{};
};

// Contents of all stores by address.
using store_index = std::map<std::string, store_contents>;

// Replaces the known contents of a store by a complete listing.
void apply_listing(store_contents& store, const std::vector<stored_part>& listing,
                   base::instant now);

// Applies changes of a store's contents.
void apply_changes(store_contents& store, const std::vector<stored_part>& changes,
                   base::instant now);

// Marks a store as unreachable and drops its contents, since it restarts empty.
void mark_down(store_contents& store, base::instant now);

// Records that a fetch or save was ordered which occupies the store's link for `ms`. Transfers of a
// store run one after the other: after new weights, saves of every prompt filled the link of a slow
// store for ten seconds, and prompts waited one second for parts that could have been prefilled in
// a quarter of that time.
void record_transfer(store_contents& store, double ms, base::instant now);

// How long a transfer ordered now would wait for earlier ones.
double transfer_wait_ms(const store_index& index, const std::string& address, base::instant now);

// Whether the known contents of a store are recent enough to rely on. Without recent events, the
// store may hold anything.
bool is_up_to_date(const store_index& index, const std::string& address, base::instant now);

// Number of tokens in a prompt's leading levels that the store holds under a salt.
std::int64_t stored_tokens(const store_index& index, const std::string& address,
                           const prompt_chain& chain, const std::string& salt);

} // namespace camphorrail::kvcache
