#pragma once

#include "entries/store_sync.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// The duty whose line says who follows the store; see entries/line_up.h.
inline const std::string store_duty_name = "store";

// Keeps the entry's mirror of the platform's store: one long watch tells of changes, and a cheap
// conditional read proves, about once a second, that nothing was missed. A quiet watch is no proof:
// it may be cut off without a sign, and the store may drop history that it has not told.
//
// A few entries do so and tell the others, which ask them for proofs; `entries/store_sync.h` says
// which, and how often. An entry that gets no proof from the others follows the store itself, so
// none depends on them.
class store_follower {
public:
    store_follower(entry_context& context, ports::platform platform);

    void start();
    // Makes the calls to the store that are due.
    void tick();
    // Entries that a link stands to; to be set before the start.
    std::function<std::vector<base::entry_id>()> connected_entries;
    // Tells them what has changed; to be set before the start.
    std::function<void(const peering::store_changes&)> broadcast;
    // Whether this entry is the one that proves the store's contents for all it is linked to.
    [[nodiscard]] bool is_verifier() const;

    // Told after the mirror has changed, with the keys.
    std::function<void(const std::set<std::string>&)> changed;

private:
    void read_all();
    void watch();
    void verify();
    void update_reachability(bool answered);
    void log_following_change(bool was_following);
    void publish(std::int64_t revision_before, const std::set<std::string>& keys);
    void broadcast_changes(std::int64_t revision_before) const;
    [[nodiscard]] entries::store_sync_view view() const;
    [[nodiscard]] ports::transaction make_verification() const;
    [[nodiscard]] std::set<std::string> missing_target_keys() const;

    entry_context& context;
    ports::platform platform;
    entries::store_sync duty;
    entries::store_sync_rules rules;
    // Watches of an earlier generation have been given up; what they still tell is late, not wrong.
    std::int64_t watch_generation = 0;
    bool reachable = false;
};

} // namespace camphorrail::proxy
