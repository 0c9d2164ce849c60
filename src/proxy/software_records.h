#pragma once

#include "entries/relays.h"
#include "peering/messages.h"
#include "proxy/context.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Keeps the record of each pool's software versions in the platform's store, so that all entries
// agree on which versions may have begun streams. Only pools that serve streams have a record. A
// few entries write it, chosen by a hash of its key, one if the one before it does not, and all
// others if none of them does. All entries acknowledge to them what they have seen, so that a new
// version begins streams soon.
class software_records {
public:
    software_records(entry_context& context, ports::platform platform);

    // Applies changed keys of the mirror. To be called after each change of it.
    void apply(const std::set<std::string>& keys);
    // Acknowledges the records that announce versions once more, since an entry has connected that
    // may write them.
    void acknowledge_all();
    // Handles another entry's acknowledgement.
    void receive(const base::entry_id& from, const peering::software_record_seen& message);
    // Writes records that have become due.
    void tick();
    // Whether all pools that serve streams and have upstreams have a record. Before that, they
    // begin no streams.
    [[nodiscard]] bool is_complete() const;

    // The acknowledgements that are kept.
    [[nodiscard]] std::size_t acknowledgement_count() const;

    // Called when streams of a pool may have begun on different versions from now on.
    std::function<void(const base::pool_id&)> several_versions;
    // The entries with an open link that understand acknowledgements.
    std::function<std::vector<entries::linked_entry>()> connected_entries;
    // All other entries that are registered in the store.
    std::function<std::set<base::entry_id>()> listed_entries;
    std::function<void(const std::vector<base::entry_id>&, const peering::message&)> send;

private:
    [[nodiscard]] std::string key_of(const base::pool_id& pool) const;
    [[nodiscard]] resumption::stored_record stored_record(const base::pool_id& pool) const;
    [[nodiscard]] std::set<base::pool_id> stream_pools() const;
    [[nodiscard]] std::set<base::software_version> running(const base::pool_id& pool) const;
    [[nodiscard]] std::vector<base::entry_id> writers_of(const base::pool_id& pool) const;
    [[nodiscard]] base::milliseconds write_delay(const base::pool_id& pool) const;
    [[nodiscard]] bool is_our_turn(const base::pool_id& pool);
    [[nodiscard]] bool is_seen_by_all(const base::pool_id& pool, base::revision revision) const;
    void apply_pool(const base::pool_id& pool);
    void drop_old_acknowledgements(const base::pool_id& pool);
    void limit_seen();
    void acknowledge(const base::pool_id& pool);
    void write(const base::pool_id& pool, const resumption::version_record& record);

    entry_context& context;
    ports::platform platform;
    // The latest revision of each pool's record that other entries have acknowledged.
    std::map<base::pool_id, std::map<base::entry_id, base::revision>> seen;
    // Since when the record of a pool has been due for a change that nobody has written.
    std::map<base::pool_id, base::instant> due_since;
    bool call_pending = false;
    base::instant next_check{};
};

} // namespace camphorrail::proxy
