#include "kvcache/store_index.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

// Updates of a store arrive four times per second, even if nothing has changed. If the entry that
// follows a store terminates, another one takes over within two seconds.
constexpr base::seconds max_update_age{3};
// Fraction of a part that must be present. Stores and engines hold parts in blocks of tokens, so a
// few tokens may be missing; a part that lacks more is being evicted.
constexpr double min_held_fraction = 0.9;

bool holds(const store_contents& store, std::uint64_t part, std::int64_t tokens) {
    const auto found = store.parts.find(part);
    return found != store.parts.end() &&
           static_cast<double>(found->second) >= min_held_fraction * static_cast<double>(tokens);
}

} // namespace

void apply_listing(store_contents& store, const std::vector<stored_part>& listing,
                   base::instant now) {
    store.parts.clear();
    apply_changes(store, listing, now);
}

void apply_changes(store_contents& store, const std::vector<stored_part>& changes,
                   base::instant now) {
    store.updated_at = now;
    store.down = false;
    for (const auto& each : changes) {
        if (each.tokens > 0) {
            store.parts[each.part] = each.tokens;
        } else {
            store.parts.erase(each.part);
        }
    }
}

void mark_down(store_contents& store, base::instant now) {
    store.updated_at = now;
    store.down = true;
    store.parts.clear();
}

void record_transfer(store_contents& store, double ms, base::instant now) {
    constexpr double micros_per_ms = 1000.0;
    store.link_free_at = std::max(store.link_free_at, now) +
                         base::micros(static_cast<std::int64_t>(ms * micros_per_ms));
}

double transfer_wait_ms(const store_index& index, const std::string& address, base::instant now) {
    const auto found = index.find(address);
    if (found == index.end() || found->second.link_free_at <= now) {
        return 0.0;
    }
    return std::chrono::duration<double, std::milli>(found->second.link_free_at - now).count();
}

bool is_up_to_date(const store_index& index, const std::string& address, base::instant now) {
    const auto found = index.find(address);
    return found != index.end() && found->second.updated_at != base::instant{} &&
           now - found->second.updated_at <= max_update_age;
}

std::int64_t stored_tokens(const store_index& index, const std::string& address,
                           const prompt_chain& chain, const std::string& salt) {
    const auto found = index.find(address);
    if (found == index.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& level : chain.levels) {
        if (!holds(found->second, part_key(salt, level), level.part_tokens)) {
            break;
        }
        tokens = level.prefix_tokens;
    }
    return tokens;
}

} // namespace camphorrail::kvcache
