#include "routes/operators_config.h"

#include <algorithm>
#include <cctype>

namespace camphorrail::routes {

namespace {

// Host names are compared without case and port.
std::string normalize_host(std::string_view host) {
    std::string normalized(host.substr(0, host.find(':')));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return normalized;
}

} // namespace

void build_indexes(operators_config& config) {
    config.routes_by_host.clear();
    config.team_by_key.clear();
    for (std::size_t at = 0; at < config.routes.size(); ++at) {
        config.routes_by_host[normalize_host(config.routes[at].host)].push_back(at);
    }
    for (auto& [host, positions] : config.routes_by_host) {
        std::stable_sort(
            positions.begin(), positions.end(), [&](std::size_t left, std::size_t right) {
                return config.routes[left].prefix.size() > config.routes[right].prefix.size();
            });
    }
    for (std::size_t at = 0; at < config.teams.size(); ++at) {
        for (const auto& key : config.teams[at].keys) {
            config.team_by_key.emplace(key, at);
        }
    }
}

const route* find_route(const operators_config& config, std::string_view host,
                        std::string_view target) {
    const auto found = config.routes_by_host.find(normalize_host(host));
    if (found == config.routes_by_host.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t at : found->second) {
        if (path.starts_with(config.routes[at].prefix)) {
            return &config.routes[at];
        }
    }
    return nullptr;
}

bool requires_keys(const operators_config& config) {
    return config.lists_teams || !config.teams.empty();
}

const team* find_team(const operators_config& config, const std::string& key) {
    const auto found = config.team_by_key.find(key);
    return found == config.team_by_key.end() ? nullptr : &config.teams[found->second];
}

base::pool_id choose_pool(const route& chosen, std::uint64_t number) {
    std::uint64_t total = 0;
    for (const auto& each : chosen.destinations) {
        total += static_cast<std::uint64_t>(std::max<std::int64_t>(each.weight, 0));
    }
    if (total == 0) {
        return chosen.destinations.empty() ? base::pool_id{} : chosen.destinations.front().pool;
    }
    std::uint64_t place = number % total;
    for (const auto& each : chosen.destinations) {
        const auto weight = static_cast<std::uint64_t>(std::max<std::int64_t>(each.weight, 0));
        if (place < weight) {
            return each.pool;
        }
        place -= weight;
    }
    return chosen.destinations.back().pool;
}

} // namespace camphorrail::routes
