#pragma once

#include "base/units.h"
#include "ratelimit/stated_limit.h"

#include <cstddef>

namespace camphorrail::ratelimit {

struct permit_rules {
    // Requests that all entries together may send to an upstream at once, beyond its rate: so many,
    // and what it takes within this time.
    double burst = 2.0;
    double burst_seconds = 1.5;
    // Lower limits than this, such as 0, are treated as this one: only a response can say that a
    // limit has ended, so an upstream must get some requests.
    requests_per_second min_limit{0.1};
};

// One entry's share of an upstream's limit: a token bucket whose tokens permit one request each.
struct permit_bucket {
    requests_per_second rate;
    double capacity = 0.0;
    double permits = 0.0;
    base::instant refilled_at{};
};

// The number of entries among which an upstream's limit is divided. Each must be able to save up a
// whole permit, and all of these together must not exceed the burst; so in a large fleet only some
// entries send requests to an upstream with a low limit.
std::size_t holder_count(requests_per_second limit, std::size_t entry_count,
                         const permit_rules& rules);

// Sets the share of an entry that is one of `holders` entries with a share, or of one without a
// share if `holders` is 0. An entry that had no share begins without permits, since another one may
// just have used them.
void set_share(permit_bucket& bucket, requests_per_second limit, std::size_t holders,
               base::instant now, const permit_rules& rules);

bool has_permit(const permit_bucket& bucket, base::instant now);

// Uses one permit; returns false if there is none.
bool take_permit(permit_bucket& bucket, base::instant now);

} // namespace camphorrail::ratelimit
