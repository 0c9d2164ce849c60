#pragma once

#include "ports/upstream.h"
#include "wire/messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace camphorrail::agent {

// The call that an order becomes at its upstream. Engines get the order's priority, and where
// another engine began the answer, the place to go on from, as fields of the JSON body.
ports::upstream_call to_call(const wire::order& order, std::int64_t fencing_number);

// Token counts that an engine states at the end of an answer.
struct usage {
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
};

// Usage in an answer's JSON, or in the payload of one event of a stream.
std::optional<usage> read_usage(const std::string& json_text);

// Whether an event carries usage and nothing for the caller.
bool only_usage(const std::string& json_text);

} // namespace camphorrail::agent
