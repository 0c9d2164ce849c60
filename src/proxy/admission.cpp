#include "proxy/admission.h"

#include <algorithm>

namespace camphorrail::proxy {

base::result<admitted> admit(const admission_view& view, const http::request_head& head,
                             const ports::client_request& facts) {
    if (view.config == nullptr || !view.config_age || *view.config_age > view.longest_age) {
        return base::code::not_ready;
    }
    const auto* route =
        routes::find_route(*view.config, http::value_of(head.all, "Host"), head.target);
    if (route == nullptr) {
        return base::code::unknown_path;
    }
    if (route->is_public || view.config->teams.empty()) {
        return admitted{view.config, route, nullptr};
    }
    const auto* team = routes::find_team(*view.config, facts.bearer_key);
    if (team == nullptr) {
        return base::code::key_missing_or_wrong;
    }
    return admitted{view.config, route, team};
}

bool may_repeat(const routes::route& route) {
    return route.kind == routes::request_kind::idempotent ||
           (route.kind == routes::request_kind::stream && route.resumable);
}

int rank_of(const admitted& request) {
    const bool by_team = request.team != nullptr && request.team->priority >= 0;
    return std::clamp(by_team ? request.team->priority : request.route->priority, 0, last_rank);
}

} // namespace camphorrail::proxy
