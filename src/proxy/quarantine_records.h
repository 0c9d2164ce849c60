#pragma once

#include "proxy/context.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorrail::proxy {

// Writes down in the platform's store which requests are held back, so that entries know it that
// start later, or all at once. Each key is written once for all entries, and erased by the leader
// when its time is over.
class quarantine_records {
public:
    // `leads`: whether this entry is the leader.
    quarantine_records(entry_context& context, ports::platform platform,
                       std::function<bool()> is_leader);

    // Has a hold written down, now or when the store answers again.
    void add(const quarantine::quarantined_request& quarantined);
    // The holds among keys that have changed in the mirror.
    [[nodiscard]] std::vector<quarantine::quarantined_request>
    read(const std::set<std::string>& keys) const;
    void tick();

private:
    [[nodiscard]] std::string prefix() const;
    [[nodiscard]] bool is_held(const base::request_digest& request) const;
    void write_next();
    void erase_next();
    void commit(const ports::transaction& change);

    entry_context& context;
    ports::platform platform;
    std::function<bool()> is_leader;
    std::map<base::request_digest, quarantine::quarantined_request> unwritten;
    bool call_pending = false;
    base::instant next_call{};
};

} // namespace camphorrail::proxy
