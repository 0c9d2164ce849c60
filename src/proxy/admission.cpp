#include "proxy/admission.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

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
    if (route->is_public || !(state.has_had_teams || routes::requires_keys(*state.config))) {
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

namespace {

std::optional<int> priority_of(const routes::team* team) {
    const bool has_priority = team != nullptr && team->priority >= 0;
    return has_priority ? std::optional(team->priority) : std::nullopt;
}

queueing::priority_pair priorities_of(const routes::route& route,
                                      std::optional<int> team_priority) {
    return queueing::make_priorities(team_priority, std::max(route.priority, 0));
}

} // namespace

queueing::rank_table make_rank_table(const routes::operators_config& config) {
    // Many routes and teams have the same few priorities.
    std::set<std::optional<int>> team_priorities;
    for (const auto& team : config.teams) {
        team_priorities.insert(priority_of(&team));
    }
    std::set<queueing::priority_pair> pairs;
    for (const auto& route : config.routes) {
        if (route.is_public || team_priorities.empty()) {
            pairs.insert(priorities_of(route, std::nullopt));
            continue;
        }
        for (const auto& team_priority : team_priorities) {
            pairs.insert(priorities_of(route, team_priority));
        }
    }
    return queueing::make_rank_table({pairs.begin(), pairs.end()});
}

queueing::rank queueing_rank(const queueing::rank_table& table, const admitted_request& request) {
    return queueing::rank_of(table, priorities_of(*request.route, priority_of(request.team)));
}

} // namespace camphorrail::proxy
