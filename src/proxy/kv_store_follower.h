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
                      std::function<std::vector<base::entry_id>()> connected_entries);

    // Asks the stores that it is this entry's turn to ask.
    void tick();
    // Takes what another entry says.
    void receive(const base::entry_id& from, const peering::kv_store_contents& contents);
    // All that the stores hold which this entry asks, for an entry that has just linked to us.
    [[nodiscard]] std::vector<peering::message> complete_views() const;

    // Tells the other entries; to be set before the first tick.
    std::function<void(const peering::kv_store_contents&)> broadcast;

private:
    // A store, as this entry asks it.
    struct followed_store {
        // This entry asks it now.
        bool followed = false;
        bool request_pending = false;
        // Its list was read; changes since then are asked for from `next` on.
        bool listed = false;
        std::int64_t incarnation = 0;
        std::int64_t next_sequence = 0;
        base::instant next_request_at{};
        int failures = 0;
        // When another entry last told of it.
        base::instant last_reported_at{};
    };

    [[nodiscard]] bool is_our_turn(const std::string& address, const followed_store& store) const;
    void send_request(const std::string& address, followed_store& store);
    void handle_answer(const std::string& address, const ports::cache_update& update, bool listing);
    void handle_failure(const std::string& address);
    void log_reachability(const std::string& address, bool reachable);

    entry_context& context;
    std::function<std::vector<base::entry_id>()> connected_entries;
    std::map<std::string, followed_store> stores;
};

} // namespace camphorrail::proxy
