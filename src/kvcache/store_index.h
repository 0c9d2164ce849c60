#pragma once

#include "base/units.h"
#include "kvcache/prompt_chain.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorrail::kvcache {

// A part that a store of kept KV cache holds now, in full or in part; 0 tokens for no more.
struct stored_part {
    std::uint64_t part = 0;
    std::int64_t tokens = 0;
};

// What one store holds, by its own events. Without them, entries guessed from what they had saved:
// they saved prompts that were there and waited for others that were not, and the saves alone took
// two thirds of the stores' links.
struct store_contents {
    std::unordered_map<std::uint64_t, std::int64_t> parts;
    // When this entry, or one that told us, last heard from the store; the epoch for never.
    base::instant updated_at{};
    // It takes no connections. An engine that is told to fetch from it would wait for it with every
    // prompt.
    bool down = false;
    // When its link has carried all transfers that entries ordered, as far as they have told.
    base::instant link_free_at{};
};

// By address.
using store_index = std::map<std::string, store_contents>;

// Takes a whole list of what a store holds.
void apply_listing(store_contents& store, const std::vector<stored_part>& listing,
                   base::instant now);

// Takes what has changed at a store.
void apply_changes(store_contents& store, const std::vector<stored_part>& changes,
                   base::instant now);

// The store is gone; what it held is lost, since it comes back empty.
void mark_down(store_contents& store, base::instant now);

// A fetch from a store or a save to it was ordered, which takes its link for so long. The transfers
// of a store run one after the other: after new weights, saves of every prompt filled the link of a
// slow store for ten seconds, and prompts waited a second for parts that would have been read in a
// quarter of it.
void record_transfer(store_contents& store, double ms, base::instant now);

// How long a transfer that is ordered now waits for those before it.
double transfer_wait_ms(const store_index& copies, const std::string& address, base::instant now);

// Whether what is known of a store is recent enough to go by. A store that nobody hears from may
// hold anything.
bool is_up_to_date(const store_index& copies, const std::string& address, base::instant now);

// Tokens of a prompt's leading levels that the store holds under a salt.
std::int64_t stored_tokens(const store_index& copies, const std::string& address,
                           const prompt_chain& chain, const std::string& salt);

} // namespace camphorrail::kvcache
