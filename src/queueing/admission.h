#pragma once

#include "base/units.h"
#include "queueing/service_record.h"

#include <string_view>

namespace camphorrail::queueing {

// What a caller demands of a response, as its route states it.
struct caller_terms {
    base::milliseconds target{0};
    base::milliseconds gap_target{0};
    // From the arrival of a request that was not refused before to its deadline.
    base::milliseconds timeout{0};
    base::milliseconds time_left{0};
};

// Whether the caller has likely been refused before, or can't return again: its deadline is clearly
// shorter than the timeout of its route.
bool is_likely_return(const caller_terms& caller);

// The longest expected time to the first byte with which a request is worth sending. Callers
// abandon a stream that sends nothing for a while, and the response takes `slot_ms` besides.
double max_first_byte_ms(const caller_terms& caller, double slot_ms);

// A request to decide on, with the expected times at its best upstream.
struct ranked_request {
    rank of;
    double wait_ms = 0.0;
    double first_byte_ms = 0.0;
    double max_first_byte_ms = 0.0;
    base::milliseconds target{0};
    bool likely_return = false;
    // Others of its rank that were refused will return.
    bool returns_expected = false;
    // It would be accepted by its wait and its size alone; see kvcache/size_fairness.h.
    bool acceptable = false;
};

enum class ranked_decision {
    accepted,
    // It will be late, but its rank has been served too rarely.
    accepted_underserved,
    // It will be late, but the caller could hardly return once more.
    accepted_return,
    refused,
    // Less urgent requests have been served too rarely.
    refused_yields,
    // The room is kept for requests that were refused before.
    refused_for_returns,
    // Its caller would not wait for the response.
    refused_hopeless
};

// Decides whether a request is accepted. In this order: nothing that its caller would not wait for;
// ranks that are served too rarely, ahead of the more urgent ones that take their room; the
// request's own wait and size. Requests that were refused before are refused last: new ones leave
// them a part of the queue, and a few of them are accepted that will be late.
ranked_decision decide(const service_record& record, const ranked_request& request,
                       const starvation_rules& rules);

bool is_accepted(ranked_decision decision);

// For logs and metrics.
std::string_view name_of(ranked_decision decision);

} // namespace camphorrail::queueing
