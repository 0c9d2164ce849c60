#pragma once

#include "mirror/store_mirror.h"
#include "ports/platform_codec.h"

#include <cstdint>
#include <map>
#include <vector>

namespace camphorrail::proxy {

// The upstreams that the platform's store lists.
struct upstream_list {
    std::vector<ports::listed_upstream> upstreams;
    // Entries that no upstream has written, by the id that they stand under, with the revision of
    // the store at which they were written.
    std::map<base::upstream_id, std::int64_t> unreadable;
    // Upstreams whose address another one has taken since, by the id of that one. They have ended
    // without a word, and stand in the list until their entries lapse.
    std::map<base::upstream_id, base::upstream_id> replaced;
};

// Reads the list from what is known of the store. Where most upstreams say when they started, an
// entry that does not is held to be another writer's.
upstream_list read_upstream_list(const mirror::store_mirror& store,
                                 const ports::platform_codec& codec);

} // namespace camphorrail::proxy
