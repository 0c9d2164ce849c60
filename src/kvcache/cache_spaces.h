#pragma once

#include "base/ids.h"

#include <cstdint>
#include <set>

namespace camphorrail::kvcache {

// Which teams share cached prompt parts. Each excluded team has a space of its own in the engines'
// caches; all others share one. The shared space is named after the teams that it excludes, so
// whatever is cached there was made by other teams, however long ago. An entry therefore never uses
// cached parts of an isolated team, whatever it knows of earlier configurations.
struct cache_spaces {
    // All isolated teams, and teams that were isolated before.
    std::set<base::team_id> excluded;
    // The name of the shared space; 0 if no team is excluded.
    std::uint64_t shared_space = 0;

    bool operator==(const cache_spaces&) const = default;
};

// The spaces while operators want these teams isolated. `recorded` are the teams that the shared
// space has excluded so far: as long as they include all isolated ones, it stays in use, so that
// lifting an isolation does not discard what is cached.
cache_spaces choose_cache_spaces(const std::set<base::team_id>& isolated,
                                 const std::set<base::team_id>& recorded);

// Whether the recorded teams have to be replaced, since another team has been isolated.
bool is_record_outdated(const std::set<base::team_id>& isolated,
                        const std::set<base::team_id>& recorded);

} // namespace camphorrail::kvcache
