#pragma once

#include "proxy/context.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Keeps the record of each pool's software versions in the platform's store, so that all entries
// agree on which versions may have begun streams. Only pools that serve streams have a record. The
// leader writes it, or any other entry if the leader does not.
class software_records {
public:
    // `is_leader` returns whether this entry is the leader.
    software_records(entry_context& context, ports::platform platform,
                     std::function<bool()> is_leader);

    // Applies changed keys of the mirror. To be called after each change of it.
    void apply(const std::set<std::string>& keys);
    // Writes records that have become due.
    void tick();

    // Called when streams of a pool may have begun on different versions from now on.
    std::function<void(const base::pool_id&)> several_versions;

private:
    [[nodiscard]] std::string prefix() const;
    [[nodiscard]] std::optional<resumption::version_record>
    stored_record(const std::string& key) const;
    [[nodiscard]] std::set<base::pool_id> stream_pools() const;
    [[nodiscard]] std::set<base::software_version> running(const base::pool_id& pool) const;
    [[nodiscard]] bool is_our_turn(const base::pool_id& pool);
    void apply_pool(const base::pool_id& pool);
    void write(const base::pool_id& pool, const resumption::version_record& record);

    entry_context& context;
    ports::platform platform;
    std::function<bool()> is_leader;
    // Since when the record of a pool has been due for a change that nobody has written.
    std::map<base::pool_id, base::instant> due_since;
    bool call_pending = false;
    base::instant next_call{};
};

} // namespace camphorrail::proxy
