#pragma once

#include "entries/store_sync.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Name of the duty that determines which entries follow the store; see entries/duty_ranking.h.
inline const std::string store_duty_name = "store";

// Removes the large values from changes that are sent to other entries and returns their keys. The
// entries read these values from the store themselves.
std::set<std::string> omit_large_values(ports::changes& changes);

// The operators' documents that the store has lost or holds in an older version, for entries that
// may not know them; nothing if there are none.
std::optional<peering::store_changes>
make_retained_documents_message(const mirror::store_mirror& store);

// Keeps this entry's mirror of the platform's store current. A long-polling watch delivers changes,
// and a cheap conditional transaction verifies about once per second that nothing was missed. A
// silent watch proves nothing: it may have been cut off unnoticed, and the store may compact
// history that it has not delivered.
//
// Only a few entries do this and broadcast the changes; the others query them for verifications.
// `entries/store_sync.h` decides which entries do so and how often. An entry that gets no
// verification from its peers follows the store itself, so it does not depend on them.
class store_follower {
public:
    store_follower(entry_context& context, ports::platform platform);

    void start();
    // Makes the store calls that are due.
    void tick();
    // Returns the connected entries; must be set before `start()`.
    std::function<std::vector<base::entry_id>()> connected_entries;
    // Sends changes to all connected entries; must be set before `start()`.
    std::function<void(const peering::store_changes&)> broadcast;
    // Whether this entry verifies the store's contents for all connected entries.
    [[nodiscard]] bool is_verifier() const;

    // Called with the changed keys after the mirror has been updated.
    std::function<void(const std::set<std::string>&)> changed;

private:
    // A verification in progress, which may take several transactions.
    struct verification {
        base::instant began;
        std::int64_t era = 0;
        std::size_t unanswered = 0;
        entries::verification_result outcome;
        // The lowest and the highest revision at which a transaction was executed.
        std::optional<base::revision> reached;
        base::revision newest;
    };

    void read_all();
    void watch();
    void verify();
    void update_reachability(bool answered);
    void log_following_change(bool was_following);
    void publish(base::revision revision_before, const std::set<std::string>& keys);
    void broadcast_changes(base::revision revision_before) const;
    // `after` is the mirror's revision when the watch was sent.
    void handle_watch_result(const base::result<ports::changes>& update, base::revision after,
                             bool is_latest);
    [[nodiscard]] entries::store_sync_view view() const;
    void handle_verification(verification& state, const base::result<ports::commit_result>& answer);
    void end_verification(const verification& state);
    [[nodiscard]] std::vector<ports::transaction> make_verifications() const;
    [[nodiscard]] std::set<std::string> missing_target_keys() const;

    entry_context& context;
    ports::platform platform;
    entries::store_sync sync_state;
    entries::store_sync_rules rules;
    // Watches of earlier generations have been abandoned. Their changes are still applied, since
    // they are late but correct.
    std::int64_t watch_generation = 0;
    bool reachable = false;
};

} // namespace camphorrail::proxy
