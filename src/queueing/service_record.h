#pragma once

#include "base/units.h"
#include "queueing/ranks.h"

#include <array>

namespace camphorrail::queueing {

// Requests of one rank at one entry lately. The numbers decay with time.
struct rank_service {
    double asked = 0.0;
    // Accepted, without those that ended before their first byte.
    double served = 0.0;
    // Accepted although they were expected to be late.
    double late = 0.0;
};

// How an entry has lately served the requests to one pool, by rank.
struct service_record {
    std::array<rank_service, rank_count> by_rank{};
    base::instant updated_at{};
};

// Limits the extent to which more urgent requests displace less urgent ones. Upstreams admit
// strictly by rank, so without a limit the least urgent would get nothing for as long as the more
// urgent ones alone fill the pool.
struct starvation_rules {
    // A rank whose acceptance rate is below this part of the mean rate is underserved. No rank may
    // stay below a quarter; the margin covers the time until a decision shows.
    double min_relative_service = 0.35;
    // With fewer requests, the rate of a rank is unreliable.
    double min_asked = 10.0;
    // Ranks yield whose requests are this many times what the underserved ones lack, since not all
    // of their requests have to wait.
    double yielding_factor = 3.0;
};

// Records the decision on a request.
void record_decision(service_record& record, rank of, bool accepted, base::instant now);

// Records that an accepted request is expected to be late.
void record_late(service_record& record, rank of);

// Whether one more request of this rank may be accepted that will be late. If all that return were,
// they would queue, and everything behind them would be late too.
bool may_be_late(const service_record& record, rank of);

// Records that an accepted request has ended before its first byte.
void record_loss(service_record& record, rank of, base::instant now);

// Requests of more urgent ranks that are accepted, per millisecond.
double accepted_before_per_ms(const service_record& record, rank of, base::instant now);

// Whether requests of this rank are served too rarely.
bool is_underserved(const service_record& record, rank of, const starvation_rules& rules);

// Whether requests of this rank have to leave room for less urgent ones that are underserved. The
// least urgent of the ranks before those yield, until what they hold is enough: more urgent ones
// would lose more and free no more.
bool has_to_yield(const service_record& record, rank of, const starvation_rules& rules);

} // namespace camphorrail::queueing
