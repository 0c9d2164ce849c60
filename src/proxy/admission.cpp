#include "proxy/admission.h"

#include <algorithm>

namespace camphorrail::proxy {

base::result<admitted_request> admit(const admission_state& state, const http::request_head& head,
                                     const ports::client_request& metadata) {
    if (state.config == nullptr || !state.config_age || *state.config_age > state.max_config_age) {
        return base::code::not_ready;
    }
    const auto* route =
        routes::find_route(*state.config, http::value_of(head.all, "Host"), head.target);
    if (route == nullptr) {
        return base::code::unknown_path;
    }
    if (route->is_public || state.config->teams.empty()) {
        return admitted_request{state.config, route, nullptr};
    }
    const auto* team = routes::find_team(*state.config, metadata.bearer_key);
    if (team == nullptr) {
        return base::code::key_missing_or_wrong;
    }
    return admitted_request{state.config, route, team};
}

bool may_repeat(const routes::route& route) {
    return route.kind == routes::request_kind::idempotent ||
           (route.kind == routes::request_kind::stream && route.resumable);
}

int priority_rank(const admitted_request& request) {
    const bool has_team_priority = request.team != nullptr && request.team->priority >= 0;
    return std::clamp(has_team_priority ? request.team->priority : request.route->priority, 0,
                      lowest_rank);
}

} // namespace camphorrail::proxy
