#include "ratelimit/stated_limit.h"

#include <algorithm>

namespace camphorrail::ratelimit {

bool is_stricter(const std::optional<requests_per_second>& left,
                 const std::optional<requests_per_second>& right) {
    return left && (!right || *left < *right);
}

bool apply_statement(stated_limit& state, const statement& received) {
    const bool same = received.limit == state.limit;
    if (same) {
        state.asked_at = std::max(state.asked_at, received.asked_at);
        state.stated_at = std::max(state.stated_at, received.heard_at);
        return false;
    }
    const bool applies =
        is_stricter(received.limit, state.limit) || received.asked_at > state.stated_at;
    if (!applies) {
        return false;
    }
    state.limit = received.limit;
    state.stated_at = received.heard_at;
    state.asked_at = received.asked_at;
    state.changed_at = received.heard_at;
    return true;
}

} // namespace camphorrail::ratelimit
