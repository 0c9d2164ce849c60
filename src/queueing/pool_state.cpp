#include "queueing/pool_state.h"

#include <algorithm>

namespace camphorrail::queueing {

ranked_decision admit(pool_state& state, const pool_request& request, base::instant now) {
    const double slot_ms = route_slot_ms(state.times, request.route, prior_slot_ms, now);
    const ranked_request ranked{request.of,
                                request.wait_ms,
                                request.first_byte_ms,
                                max_first_byte_ms(request.caller, slot_ms),
                                request.caller.target,
                                is_likely_return(request.caller),
                                has_returns(state.returns, request.of, now),
                                request.acceptable};
    const auto decision = decide(state.service, ranked, {});
    record_decision(state.service, request.of, is_accepted(decision), now);
    if (decision == ranked_decision::accepted_return) {
        record_late(state.service, request.of);
    }
    return decision;
}

scheduled_return refuse(pool_state& state, const pool_request& request, const pool_size& size,
                        base::instant now, std::uint64_t draw) {
    const double room =
        room_per_ms({size.slots, size.upstreams, mean_slot_ms(state.times, prior_slot_ms, now),
                     size.read_ms, size.share});
    const double taken = accepted_before_per_ms(state.service, request.of, now);
    const auto target_ms = static_cast<double>(request.caller.target.count());
    const double own_ms = request.first_byte_ms - request.wait_ms;
    const double backlog_ms = request.wait_ms - std::max(target_ms - own_ms, 0.0);
    return schedule_return(
        state.returns,
        {request.of, backlog_ms, room_for_rank(room, taken), request.caller.time_left}, now, draw);
}

} // namespace camphorrail::queueing
