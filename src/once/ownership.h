#pragma once

#include "base/ids.h"

#include <vector>

namespace camphorrail::once {

// The owners of a key in order of preference, by rendezvous hashing. If the first owner is removed,
// the second one takes over its keys and no other keys move.
std::vector<base::upstream_id> ranked_owners(const base::idempotency_key& key,
                                             const std::vector<base::upstream_id>& owners);

// Whether `agent` is the first owner of a key.
bool owns(const base::upstream_id& agent, const base::idempotency_key& key,
          const std::vector<base::upstream_id>& owners);

} // namespace camphorrail::once
