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
    // Since when a newer version is named.
    base::instant outdated_since{};
    // Requests that it would have to finish first.
    std::int64_t in_flight = 0;
    // Upstreams of one lane serve one kind of request; each lane gets its part of the new ones.
    int lane = 0;
    // No request goes there any more, since its weights are outdated for too long.
    bool unused = false;
    // An order was sent and is not carried out yet.
    bool loading = false;
    // It can't be reached, or has failed lately.
    bool suspected = false;
};

struct load_rules {
    // Part of the sound upstreams that may be in change at once. Most of a change is the wait for
    // running answers to end, which slows nobody; the loads themselves rarely coincide.
    double in_change = 0.5;
    // The sound upstreams bear all they can. Then only so many are taken out at once, and the
    // others go on with prompts that they hold: on new weights each prompt is read anew, which
    // takes three times as long, and with half of them away the rest fall behind for many seconds.
    bool pressed = false;
    double in_change_pressed = 0.2;
    // The part of the upstreams that gets a new version at once. Requests wait for these, and they
    // bear the load until the others follow.
    double first_part = 0.6;
    // The others wait for so long: a version that is named meanwhile saves them a load. It leaves
    // them time before they are held to be outdated.
    base::micros rest_after = base::milliseconds(5500);
};

// The upstreams that are to be ordered now to load the version, the least busy first.
std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules);

} // namespace camphorrail::weights
