#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Follows what the stores of kept KV cache hold. A store serves a dozen questions at once, far
// fewer than there are entries; so one entry asks each store and tells the others. Which one it is
// follows from the names of store and entries; the next in line takes over where it falls silent.
class kv_store_follower {
public:
    kv_store_follower(entry_context& context,
                      std::function<std::vector<base::entry_id>()> linked_entries);

    // Asks the stores that it is this entry's turn to ask.
    void tick();
    // Takes what another entry says.
    void take(const base::entry_id& from, const peering::kv_store_contents& told);
    // All that the stores hold which this entry asks, for an entry that has just linked to us.
    [[nodiscard]] std::vector<peering::message> whole_views() const;

    // Tells the other entries; to be set before the first tick.
    std::function<void(const peering::kv_store_contents&)> tell;

private:
    // A store, as this entry asks it.
    struct followed_store {
        // This entry asks it now.
        bool followed = false;
        bool asking = false;
        // Its list was read; changes since then are asked for from `next` on.
        bool listed = false;
        std::int64_t incarnation = 0;
        std::int64_t next = 0;
        base::instant next_ask{};
        int failures = 0;
        // When another entry last told of it.
        base::instant told_at{};
    };

    [[nodiscard]] bool is_our_turn(const std::string& address, const followed_store& store) const;
    void ask(const std::string& address, followed_store& store);
    void take_answer(const std::string& address, const ports::cache_update& news, bool listing);
    void take_failure(const std::string& address);
    void note_reachable(const std::string& address, bool reachable);

    entry_context& context;
    std::function<std::vector<base::entry_id>()> linked_entries;
    std::map<std::string, followed_store> stores;
};

} // namespace camphorrail::proxy
