#pragma once

#include "ports/platform.h"
#include "proxy/context.h"

#include <functional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Records in the platform's store that the deployment has had a list of teams. A later
// configuration that leaves the list out then still requires API keys, at entries that start later
// as well: otherwise the keys that it took away, and any others, would be admitted.
class team_list_record {
public:
    team_list_record(entry_context& context, ports::platform platform,
                     std::function<bool()> is_leader);

    // Applies changed keys of the mirror. To be called after each change of it.
    void apply(const std::set<std::string>& keys);
    // Writes the record if it is missing and this entry leads.
    void tick();

private:
    [[nodiscard]] std::string key() const;

    entry_context& context;
    ports::platform platform;
    std::function<bool()> is_leader;
    bool call_pending = false;
    base::instant next_call{};
};

} // namespace camphorrail::proxy
