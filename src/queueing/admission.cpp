#include "queueing/admission.h"

#include <algorithm>

namespace camphorrail::queueing {

namespace {

// Part of the route's timeout that a new request has left at least. Requests are sent again after a
// larger part of it; see `min_return_part` in retry_schedule.cpp.
constexpr double new_request_part = 0.95;
// Expected times are met within this part of what the caller allows, since the estimate is off by
// about a fifth in an overload.
constexpr double usable_part = 0.8;
// Waits below this part of the target are no reason to refuse; see kvcache/overload.h.
constexpr double short_wait_part = 0.25;
// A request that has to yield may wait for its reading, but not for a slot.
constexpr double yielding_wait_part = 0.1;
// Four in five waits are longer than expected by less than this part.
constexpr double wait_margin = 0.25;
// While returns are expected, new requests are accepted up to this part of the wait that returns
// are.
constexpr double new_request_wait_part = 0.5;
// How long callers wait for the first byte of a stream, at least and in targets.
constexpr base::milliseconds min_patience{2000};
constexpr int patience_targets = 4;
constexpr int patience_gaps = 8;

bool waits_longer(const ranked_request& request, double part) {
    return request.wait_ms > part * static_cast<double>(request.target.count());
}

// Waits vary: of the requests that are expected just on time, half are late.
bool may_be_late_by_chance(const ranked_request& request) {
    const auto target_ms = static_cast<double>(request.target.count());
    return waits_longer(request, short_wait_part) && request.first_byte_ms <= target_ms &&
           request.first_byte_ms + wait_margin * request.wait_ms > target_ms;
}

// Whether the request leaves enough of the queue to those that return.
bool leaves_room(const ranked_request& request) {
    const double own_ms = request.first_byte_ms - request.wait_ms;
    const double spare_ms = static_cast<double>(request.target.count()) - own_ms;
    return request.likely_return || !request.returns_expected ||
           request.wait_ms <= new_request_wait_part * std::max(spare_ms, 0.0) ||
           !waits_longer(request, short_wait_part);
}

} // namespace

bool is_likely_return(const caller_terms& caller) {
    return static_cast<double>(caller.time_left.count()) <
           new_request_part * static_cast<double>(caller.timeout.count());
}

double max_first_byte_ms(const caller_terms& caller, double slot_ms) {
    const auto patience = std::max(
        {min_patience, caller.target * patience_targets, caller.gap_target * patience_gaps});
    const auto left = static_cast<double>(caller.time_left.count()) - slot_ms;
    return usable_part * std::min(static_cast<double>(patience.count()), left);
}

ranked_decision decide(const service_record& record, const ranked_request& request,
                       const starvation_rules& rules) {
    if (waits_longer(request, short_wait_part) &&
        request.first_byte_ms > request.max_first_byte_ms) {
        return ranked_decision::refused_hopeless;
    }
    if (!request.acceptable && is_underserved(record, request.of, rules)) {
        return ranked_decision::accepted_underserved;
    }
    if (waits_longer(request, yielding_wait_part) && has_to_yield(record, request.of, rules)) {
        return ranked_decision::refused_yields;
    }
    if (request.acceptable && !may_be_late_by_chance(request)) {
        return leaves_room(request) ? ranked_decision::accepted
                                    : ranked_decision::refused_for_returns;
    }
    return request.likely_return && may_be_late(record, request.of)
               ? ranked_decision::accepted_return
               : ranked_decision::refused;
}

bool is_accepted(ranked_decision decision) {
    return decision == ranked_decision::accepted ||
           decision == ranked_decision::accepted_underserved ||
           decision == ranked_decision::accepted_return;
}

std::string_view name_of(ranked_decision decision) {
    switch (decision) {
    case ranked_decision::accepted:
        return "in_time";
    case ranked_decision::accepted_underserved:
        return "rank_underserved";
    case ranked_decision::accepted_return:
        return "likely_return";
    case ranked_decision::refused:
        return "wait";
    case ranked_decision::refused_yields:
        return "yields";
    case ranked_decision::refused_for_returns:
        return "kept_for_returns";
    case ranked_decision::refused_hopeless:
        break;
    }
    return "beyond_patience";
}

} // namespace camphorrail::queueing
