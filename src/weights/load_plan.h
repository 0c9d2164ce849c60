#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <vector>

namespace camphorrail::weights {

// One upstream as a load of new weights sees it.
struct load_candidate {
    base::upstream_id id;
    // The version that it holds.
    std::int64_t version = 0;
    // When it was last seen to have finished a load; the epoch for long ago.
    base::instant loaded_at{};
    // Requests that it would have to finish first.
    std::int64_t in_flight = 0;
    // Upstreams of one lane serve one kind of request; each lane gets its part of the new ones.
    int lane = 0;
    // How long a change takes it out, as far as is known.
    base::micros load_duration = base::milliseconds(1500);
    // No request goes there any more, since its weights are outdated for too long.
    bool out_of_service = false;
    // An order was sent and is not carried out yet.
    bool loading = false;
    // It can't be reached, or has failed lately.
    bool suspected = false;
};

struct load_rules {
    // Part of a lane that may be in change at once. A change takes an upstream out for about a
    // second, and then it reads each of its prompts anew, which takes three times as long as usual.
    // With half of a lane in change the rest fell behind, and callers gave up.
    double max_loading_share = 0.2;
    // A version goes through a lane within this time, with more in change at once if need be: after
    // it, outdated upstreams serve nobody, and the others would have to bear all.
    base::micros rollout_duration = base::seconds(6);
    // An upstream that has changed bears load for so long before the next change: where versions
    // follow each other within seconds, one is skipped, and a load saved.
    base::micros cooldown = base::seconds(6);
};

// The upstreams that are to be ordered now to load the version: those with the oldest weights
// first, of these the least busy.
std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules);

} // namespace camphorrail::weights
