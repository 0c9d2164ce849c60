#include "kvcache/kept_copies.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

// News of a store comes four times a second, also when nothing has changed; a follower that ends is
// replaced within two seconds.
constexpr base::seconds longest_unheard{3};
// Stores and engines hold parts in blocks of some tokens; a part that lacks more than this has
// begun to yield.
constexpr double held_share = 0.9;

bool holds(const kept_store& store, std::uint64_t part, std::int64_t tokens) {
    const auto found = store.parts.find(part);
    return found != store.parts.end() &&
           static_cast<double>(found->second) >= held_share * static_cast<double>(tokens);
}

} // namespace

void take_listing(kept_store& store, const std::vector<kept_part>& listing, base::instant now) {
    store.parts.clear();
    take_changes(store, listing, now);
}

void take_changes(kept_store& store, const std::vector<kept_part>& changes, base::instant now) {
    store.heard_at = now;
    store.down = false;
    for (const auto& each : changes) {
        if (each.tokens > 0) {
            store.parts[each.part] = each.tokens;
        } else {
            store.parts.erase(each.part);
        }
    }
}

void note_down(kept_store& store, base::instant now) {
    store.heard_at = now;
    store.down = true;
    store.parts.clear();
}

void note_transfer(kept_store& store, double ms, base::instant now) {
    constexpr double micros_a_ms = 1000.0;
    store.link_free_at = std::max(store.link_free_at, now) +
                         base::micros(static_cast<std::int64_t>(ms * micros_a_ms));
}

double transfer_wait_ms(const kept_copies& copies, const std::string& address, base::instant now) {
    const auto found = copies.find(address);
    if (found == copies.end() || found->second.link_free_at <= now) {
        return 0.0;
    }
    return std::chrono::duration<double, std::milli>(found->second.link_free_at - now).count();
}

bool is_known(const kept_copies& copies, const std::string& address, base::instant now) {
    const auto found = copies.find(address);
    return found != copies.end() && found->second.heard_at != base::instant{} &&
           now - found->second.heard_at <= longest_unheard;
}

std::int64_t kept_tokens(const kept_copies& copies, const std::string& address,
                         const prompt_chain& chain, const std::string& salt) {
    const auto found = copies.find(address);
    if (found == copies.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& level : chain.levels) {
        if (!holds(found->second, part_key(salt, level), level.part_tokens)) {
            break;
        }
        tokens = level.tokens;
    }
    return tokens;
}

} // namespace camphorrail::kvcache
