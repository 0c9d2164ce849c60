#pragma once

#include "mirror/store_mirror.h"
#include "ports/platform_codec.h"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorrail::proxy {

// The upstreams listed in the platform's store.
struct upstream_list {
    std::vector<ports::listed_upstream> upstreams;
    // Records that cannot be read as an upstream's, by the id in their key, with the revision of
    // the store at which they were written.
    std::map<base::upstream_id, base::revision> unreadable;
    // Upstreams whose address another upstream has taken over since, with the id of that upstream.
    // They have ended without deregistering and stay listed until their records expire.
    std::map<base::upstream_id, base::upstream_id> replaced;
};

// Reads the list from the local copy of the store. If most records state an incarnation, one
// without it is taken to be written by another program.
upstream_list read_upstream_list(const mirror::store_mirror& store,
                                 const ports::platform_codec& codec);

} // namespace camphorrail::proxy
