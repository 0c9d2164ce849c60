#pragma once

#include "kvcache/cache_spaces.h"
#include "ports/platform.h"
#include "proxy/context.h"

#include <functional>
#include <set>
#include <string>

namespace camphorrail::proxy {

// Records in the platform's store which teams the shared cache space excludes, so that all entries
// stay with one space when an isolation is lifted, also over restarts. Without a record, the
// isolated teams alone determine the space; entries then separate teams just as well, but may find
// less in the caches.
class cache_space_record {
public:
    cache_space_record(entry_context& context, ports::platform platform,
                       std::function<bool()> is_leader);

    // Applies changed keys of the mirror. To be called after each change of it.
    void apply(const std::set<std::string>& keys);
    // Writes the record if it is outdated and this entry leads.
    void tick();
    // Logs the cache spaces if they have changed since the last call.
    void log_spaces();

private:
    [[nodiscard]] std::string key() const;
    void write(const std::set<base::team_id>& excluded);

    entry_context& context;
    ports::platform platform;
    std::function<bool()> is_leader;
    kvcache::cache_spaces logged;
    bool call_pending = false;
    base::instant next_call{};
};

} // namespace camphorrail::proxy
