#pragma once

#include "adapters/http_server.h"
#include "base/codes.h"
#include "base/units.h"

#include <string>

namespace camphorrail::process {

// The final answer to a request that gets no other: a problem document with its number, and
// whether the request ran.
struct problem {
    base::code number;
    base::execution_state ran = base::execution_state::not_run;
    // When to come back; 0 for no hint.
    base::milliseconds retry_after{0};
    std::string detail;
};

std::string to_json(const problem& answer);

// The fields and the body of such an answer.
adapters::refusal make_refusal(const problem& answer);

void reply_problem(adapters::http_exchange& exchange, const problem& answer);

} // namespace camphorrail::process
