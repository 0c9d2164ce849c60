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

// What may be done again with a request of a route.
enum class request_kind {
    // May run any number of times.
    idempotent,
    // Runs at most once for each attempt of the caller.
    once,
    // Answers with events. Runs at most once, unless the route says that it may be resumed.
    stream,
};

// One destination of a route; requests are spread by weight.
struct destination {
    base::pool_id pool;
    std::int64_t weight = 1;
};

// What the operators want of the requests to one host below one path.
struct route {
    std::string name;
    std::string host;
    std::string prefix;
    request_kind kind = request_kind::once;
    // Longest time that a caller is kept waiting.
    base::milliseconds timeout{0};
    // Time to the first byte within which an answer is on time.
    base::milliseconds target{0};
    // Longest pause between two events with which a stream is on time.
    base::milliseconds gap_target{0};
    // Rank; 0 is the most urgent.
    int priority = 0;
    // Upstreams that may begin on one attempt of a caller.
    int attempts = 1;
    // Needs no key.
    bool is_public = false;
    // Its requests name the parts of their prompt.
    bool prompt_affinity = false;
    bool resumable = false;
    std::vector<destination> destinations;
};

// What the operators say of the upstreams of one pool. All figures are 0 where the upstreams run no
// model.
struct pool {
    base::pool_id id;
    // Tokens that an engine's memory holds, for running requests and cached prompts together.
    std::int64_t kv_capacity_tokens = 0;
    // Size of one token in an engine's memory, and what an engine's link carries.
    double kv_token_bytes = 0;
    double link_mbps = 0;
};

// A store of kept KV cache: engines save prompts there and fetch them from there.
struct kv_store {
    std::string address;
    base::availability_zone zone;
    std::int64_t capacity_tokens = 0;
    // What its link carries; 0 where that is not known.
    double link_mbps = 0;
};

// Bounds on what one caller may send.
struct client_limits {
    std::int64_t header_bytes = 16 << 10;
    std::int64_t body_bytes = 4 << 20;
    base::milliseconds header_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

// What a team's quota counts.
enum class quota_unit { requests, tokens };

// What a team may use over all entries together: a token bucket. None where the rate is 0.
struct team_quota {
    quota_unit unit = quota_unit::requests;
    double rate_per_s = 0.0;
    double burst = 0.0;
    // Units of a request that does not say its tokens, where they are counted.
    std::int64_t default_tokens = 1;
};

inline bool is_limited(const team_quota& quota) {
    return quota.rate_per_s > 0.0;
}

struct team {
    base::team_id id;
    // Rank that goes before the route's; negative for none.
    int priority = -1;
    // Shares no cached part of a prompt with other teams.
    bool isolated = false;
    // Callers' keys that stand for this team.
    std::vector<std::string> keys;
    team_quota quota;
};

// One version of the operators' configuration, checked, with its look-up tables.
struct operators_config {
    std::int64_t version = 0;
    std::vector<route> routes;
    std::map<base::pool_id, pool> pools;
    // By address.
    std::vector<kv_store> kv_stores;
    client_limits limits;
    std::vector<team> teams;
    // Filled by `index`.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    std::unordered_map<std::string, std::size_t> team_by_key;
};

// Builds the look-up tables; to be called once all else is filled.
void build_indexes(operators_config& config);

// The route of a request: among those of its host, the one with the longest prefix that begins the
// path. Null where there is none.
const route* find_route(const operators_config& config, std::string_view host,
                        std::string_view target);

// The team that a key stands for; null where no team holds it.
const team* find_team(const operators_config& config, const std::string& key);

// The pool that takes a request, by the weights of its route. The same number always gives the same
// pool, so that requests with one prompt stay together.
base::pool_id choose_pool(const route& chosen, std::uint64_t number);

} // namespace camphorrail::routes
