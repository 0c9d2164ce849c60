#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Tracks the contents of the KV cache stores. A store serves only a dozen concurrent queries, far
// fewer than there are entries, so one entry polls each store and broadcasts its contents. Which
// entry does so follows from the names of the store and the entries; the next one takes over if it
// is silent.
class kv_store_follower {
public:
    kv_store_follower(entry_context& context,
                      std::function<std::vector<base::entry_id>()> connected_entries);

    // Polls the stores that this entry is responsible for.
    void tick();
    // Applies store contents received from another entry.
    void receive(const base::entry_id& from, const peering::kv_store_contents& contents);
    // The complete contents of all stores polled by this entry, for a newly connected peer.
    [[nodiscard]] std::vector<peering::message> complete_views() const;

    // Sends contents to the other entries; must be set before the first tick.
    std::function<void(const peering::kv_store_contents&)> broadcast;

private:
    // The polling state of one store.
    struct followed_store {
        // This entry currently polls the store.
        bool followed = false;
        bool request_pending = false;
        // The full listing has been read; later polls request changes starting at `next_sequence`.
        bool listed = false;
        std::int64_t incarnation = 0;
        std::int64_t next_sequence = 0;
        base::instant next_request_at{};
        int failures = 0;
        // When another entry last reported on the store.
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
