#pragma once

#include "base/units.h"
#include "queueing/ranks.h"

#include <array>
#include <cstdint>

namespace camphorrail::queueing {

// What the upstreams of a pool together can take.
struct pool_room {
    std::int64_t slots = 0;
    std::int64_t upstreams = 0;
    // How long a request occupies a slot, and how long an upstream reads its prompt.
    double slot_ms = 0.0;
    double read_ms = 0.0;
    // The share of this entry, from 0 to 1.
    double share = 1.0;
};

// Requests that this entry may send to the pool, per millisecond, as slots become free and prompts
// are read.
double room_per_ms(const pool_room& room);

// When the callers that this entry has refused return, for one pool: at each rank one after the
// other.
struct retry_schedule {
    std::array<base::instant, rank_count> next_return{};
};

// A request that is refused.
struct refused_request {
    rank of;
    // Time until a request that is sent then would no longer wait too long behind what is queued.
    double backlog_ms = 0.0;
    // Room for this rank: what the pool frees, less what more urgent requests take.
    double room_per_ms = 0.0;
    base::milliseconds time_left{0};
};

struct scheduled_return {
    base::milliseconds delay{0};
    // There will be room then. If not, the delay is the longest that the caller waits.
    bool has_room = false;
};

// Room for requests of a rank, if more urgent ones take so much. A part of the room always remains,
// since no rank goes without any; see `starvation_rules`.
double room_for_rank(double room_per_ms, double taken_before_per_ms);

// Whether refused requests of this rank will return.
bool has_returns(const retry_schedule& schedule, rank of, base::instant now);

// Schedules the return of a refused request. `draw`, any number that differs between requests,
// spreads returns over the time that each of them has.
scheduled_return schedule_return(retry_schedule& schedule, const refused_request& refused,
                                 base::instant now, std::uint64_t draw);

} // namespace camphorrail::queueing
