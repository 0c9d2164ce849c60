#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <vector>

namespace camphorrail::weights {

// An upstream as a candidate for loading new weights.
struct load_candidate {
    base::upstream_id id;
    // The version that the upstream holds.
    std::int64_t version = 0;
    // When the upstream was last seen to complete a load; the epoch if long ago.
    base::instant loaded_at{};
    // Requests in flight that the upstream would have to complete first.
    std::int64_t in_flight = 0;
    // Upstreams of one lane serve one kind of request; the limits apply to each lane separately.
    int lane = 0;
    // How long a change of weights takes the upstream out of service, as far as known.
    base::micros load_duration = base::milliseconds(1500);
    // The upstream gets no requests any more, since its weights have been outdated for too long.
    bool out_of_service = false;
    // A load was ordered and has not completed yet.
    bool loading = false;
    // The upstream is unreachable or has failed recently.
    bool suspected = false;
};

struct load_rules {
    // Maximum share of a lane that may change weights at the same time. A change takes an upstream
    // out of service for about a second; afterwards it has to prefill each of its prompts again,
    // which takes three times as long as usual. With half of a lane changing, the rest fell behind
    // and clients timed out.
    double max_loading_share = 0.2;
    // Time in which a version is rolled out to a whole lane; more upstreams change at the same time
    // if necessary. After that time, outdated upstreams no longer serve, and the others would have
    // to take all of the load.
    base::micros rollout_duration = base::seconds(6);
    // Minimum time between two changes of an upstream. If versions follow each other within
    // seconds, an upstream skips one of them, which saves a load.
    base::micros cooldown = base::seconds(6);
};

// Returns the upstreams that should be ordered to load the version now: those with the oldest
// weights first, and among these the least busy.
std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules);

} // namespace camphorrail::weights
