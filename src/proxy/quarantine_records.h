#pragma once

#include "proxy/context.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Records quarantined requests in the platform's store, so that entries that start later, or all at
// once, know of them. One entry writes each key on behalf of all, and the leader deletes it when
// the quarantine has expired.
class quarantine_records {
public:
    // `is_leader` returns whether this entry is the leader.
    quarantine_records(entry_context& context, ports::platform platform,
                       std::function<bool()> is_leader);

    // Records a quarantined request, now or once the store is reachable again.
    void add(const quarantine::quarantined_request& quarantined);
    // Returns the quarantined requests recorded under the given changed keys of the mirror.
    [[nodiscard]] std::vector<quarantine::quarantined_request>
    read(const std::set<std::string>& keys) const;
    void tick();

private:
    [[nodiscard]] std::string prefix() const;
    [[nodiscard]] bool is_held(const base::request_digest& request) const;
    // As the leader, writes the records again that a store restored from an older copy has lost.
    void rewrite_lost();
    void write_next();
    void erase_next();
    void commit(const ports::transaction& change);

    entry_context& context;
    ports::platform platform;
    std::function<bool()> is_leader;
    std::map<base::request_digest, quarantine::quarantined_request> unwritten;
    // The era of the store to which this entry knows all records to be written; empty before the
    // first read.
    std::optional<std::int64_t> complete_era;
    bool call_pending = false;
    base::instant next_call{};
};

} // namespace camphorrail::proxy
