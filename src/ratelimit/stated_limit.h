#pragma once

#include "base/units.h"

#include <optional>

// Rate limits that upstreams state in their responses, for the requests of all entries together.
namespace camphorrail::ratelimit {

struct requests_per_second {
    double value = 0.0;

    auto operator<=>(const requests_per_second&) const = default;
};

// What one response says of its upstream's limit.
struct statement {
    // Empty if the response states no limit.
    std::optional<requests_per_second> limit;
    // When the request was sent, and when its response arrived.
    base::instant asked_at{};
    base::instant heard_at{};
};

// The limit that holds for one incarnation of an upstream, as far as this entry knows.
struct stated_limit {
    // Empty if the upstream takes requests at any rate.
    std::optional<requests_per_second> limit;
    // When this limit, or a stricter one, was last stated.
    base::instant stated_at{};
    // The latest statement that says what holds now was the response to a request sent then.
    base::instant asked_at{};
    // When the limit last changed; empty if the upstream has never stated one.
    std::optional<base::instant> changed_at;
};

// Whether a limit allows less than another one; no limit allows the most.
bool is_stricter(const std::optional<requests_per_second>& left,
                 const std::optional<requests_per_second>& right);

// Applies a statement; returns whether the limit has changed.
//
// Responses overtake each other on several connections, and reports of other entries do so too. A
// stricter limit therefore holds at once. A looser one, or none, holds only if the request was sent
// after the stricter limit was last stated, since only then was its response certainly made later.
bool apply_statement(stated_limit& state, const statement& received);

} // namespace camphorrail::ratelimit
