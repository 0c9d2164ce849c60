#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorrail::routes {

// How often a request of a route may run.
enum class request_kind {
    // May run any number of times.
    idempotent,
    // Runs at most once per attempt of the client.
    once,
    // The response is an event stream. Runs at most once unless the route is resumable.
    stream,
};

// One destination pool of a route; requests are distributed by weight.
struct destination {
    base::pool_id pool;
    std::int64_t weight = 1;
};

// Configuration of the requests to one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::once;
    // Longest time until a client gets its response.
    base::milliseconds timeout{0};
    // Target time to the first byte.
    base::milliseconds target{0};
    // Target for the longest gap between two events of a stream.
    base::milliseconds gap_target{0};
    // Priority rank; 0 is the most urgent.
    int priority = 0;
    // Maximum number of upstreams that may start on one attempt of a client.
    int attempts = 1;
    // Requests need no API key.
    bool is_public = false;
    // Requests name the parts of their prompt, so that they can be placed by cached prefixes.
    bool prompt_affinity = false;
    bool resumable = false;
    std::vector<destination> destinations;
};

// Configuration of the upstreams of one pool. All figures are 0 if the upstreams run no model.
struct pool {
    base::pool_id id;
    // Tokens that an engine's KV memory holds for running requests and cached prompts together.
    std::int64_t kv_capacity_tokens = 0;
    // KV cache bytes per token, and the bandwidth of an engine's link.
    double kv_token_bytes = 0;
    double link_mbps = 0;
};

// An external KV cache store, where engines save prompts and fetch them from.
struct kv_store {
    std::string address;
    base::availability_zone zone;
    std::int64_t capacity_tokens = 0;
    // Bandwidth of the store's link; 0 if unknown.
    double link_mbps = 0;
};

// Limits on a single client's requests.
struct client_limits {
    std::int64_t header_bytes = 16 << 10;
    std::int64_t body_bytes = 4 << 20;
    base::milliseconds header_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

// The unit that a team's quota counts.
enum class quota_unit { requests, tokens };

// A team's token bucket over all entries. There is no quota if the rate is 0.
struct team_quota {
    quota_unit unit = quota_unit::requests;
    double rate_per_s = 0.0;
    double burst = 0.0;
    // Tokens charged for a request that states no token count.
    std::int64_t default_tokens = 1;
};

inline bool is_limited(const team_quota& quota) {
    return quota.rate_per_s > 0.0;
}

struct team {
    base::team_id id;
    // Priority rank that overrides the route's; negative if unset.
    int priority = -1;
    // Shares no cached prompt parts with other teams.
    bool isolated = false;
    // API keys that identify the team's clients.
    std::vector<std::string> keys;
    team_quota quota;
};

// One validated version of the operators' configuration with its lookup tables.
struct operators_config {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<base::pool_id, pool> pools;
    // By address.
    std::vector<kv_store> kv_stores;
    client_limits limits;
    std::vector<team> teams;
    // The document lists teams, be the list empty. One without a list has no API keys; an empty one
    // is what is left once the last team is removed.
    bool lists_teams = false;
    // Built by `build_indexes`.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    std::unordered_map<std::string, std::size_t> team_by_key;
};

// Builds the lookup tables. To be called once all other fields are set.
void build_indexes(operators_config& config);

// The route of a request: the longest prefix of its path among the routes of its host; null if none
// matches.
const route* find_route(const operators_config& config, std::string_view host,
                        std::string_view target);

// Whether a request needs an API key where its route is not public.
bool requires_keys(const operators_config& config);

// The team that an API key belongs to; null if there is none.
const team* find_team(const operators_config& config, const std::string& key);

// The pool for a request by the weights of its route. The same number always selects the same pool,
// so that requests with the same prompt go to one pool.
base::pool_id choose_pool(const route& chosen, std::uint64_t number);

} // namespace camphorrail::routes
