#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/units.h"
#include "membership/health.h"
#include "prefix/prefix_chain.h"
#include "routing/affinity.h"
#include "routing/popularity.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::routing {

// What an entry knows of one upstream of a pool.
struct upstream_view {
    base::upstream_id id;
    base::availability_zone zone;
    std::uint64_t hash = 0;
    membership::health health;
    // As last reported by its agent.
    base::micros reported_wait{0};
    double prefill_us_per_token = 100;
    base::instant reported_at{};
    // Work that this entry sent since that report and that the report can't include.
    base::micros unreported_work{0};
};

// How often a prefix was found where it was expected. Learnt from finished requests.
struct hit_estimate {
    double rate = 0.9;
};

inline constexpr std::size_t homes_per_level = 3;
// Levels from the end of a prompt that are told apart: its own request, what is shared with a few
// others, what is shared with many.
inline constexpr std::size_t depth_count = 4;

// Index 0 is for upstreams that are not among a level's homes. At the start each entry takes it
// that the others send a prefix to its first home, which makes it so.
struct rank_priors {
    std::array<hit_estimate, homes_per_level + 1> by_rank{{{0.02}, {0.8}, {0.3}, {0.1}}};
};

inline constexpr std::size_t age_bucket_count = 12;

// Tunables of the policy; docs/MEASUREMENTS.md says which run chose them.
struct routing_rules {
    // Weight of a token computed again against time spent waiting; above 1 since recomputation
    // delays the requests behind it as well.
    double recompute_weight = 2.0;
    // Engines that a widely shared prefix is spread over, for each engine's worth of its traffic.
    double spread = 3.0;
    std::size_t min_spread = 1;
    // Wait added to an engine that has just come back empty, so that not all entries rush to it.
    base::micros slow_start_wait = base::milliseconds(100);
    // Random upstreams looked at beside the candidates by prefix.
    std::size_t random_choices = 2;
    double learning_rate = 0.01;
    membership::health_rules health;
};

// An entry's state of one pool.
struct pool_view {
    std::vector<upstream_view> upstreams;
    std::vector<std::uint64_t> hashes;
    // By age of the hint, in powers of two of 62.5 ms.
    std::array<hit_estimate, age_bucket_count> hint_priors;
    // Where no hint is at hand: by how far a level is from the end of its prompt, and by the
    // upstream's rank among the level's homes.
    std::array<rank_priors, depth_count> home_priors;
    // Of the prompts' outermost levels.
    popularity prefix_popularity;
};

struct routing_request {
    const prefix::prefix_chain* chain = nullptr;
    // Upstreams tried already; they are not chosen again.
    std::vector<base::upstream_id> excluded;
    // Whether a prompt whose shared prefix this entry has not seen goes to that prefix's home
    // first, where it is known who holds it. False once the home has passed the request on.
    bool probe_home = true;
};

// What a level was expected by when its request was sent. What becomes of the request is learnt
// against this and not against what is known later, which the request itself has changed.
struct level_basis {
    bool from_hint = false;
    // The hint's age bucket, or the upstream's rank among the level's homes.
    std::size_t index = 0;
};
using prediction_basis = std::vector<level_basis>;

struct choice {
    std::size_t index = 0;
    prediction_basis basis;
    // The home is asked and may pass the request on.
    bool is_probe = false;
    base::tokens expected_cached;
    base::micros expected_wait{0};
    base::micros expected_prefill{0};
};

// Makes the view follow a pool's members; what is known of those that stay is kept.
void set_members(pool_view& pool, const std::vector<base::upstream_id>& ids,
                 const std::vector<base::availability_zone>& zones);

// The upstream for a request, or nothing when none may be used.
std::optional<choice> choose_upstream(const pool_view& pool, const affinity_table& table,
                                      const routing_request& request, base::instant now,
                                      base::random_source& random, const routing_rules& rules);

// The request has left for the chosen upstream, which will hold its shared levels from now on:
// others that follow while the first one is still being computed must go there too.
void record_sent(pool_view& pool, affinity_table& table, const choice& made,
                 const prefix::prefix_chain& chain, base::instant now);

// The upstream did not take the request.
void record_rejected(const pool_view& pool, affinity_table& table, const base::upstream_id& id,
                     const prefix::prefix_chain& chain);

// A load report has come; `wait` is what its agent predicts for a new order.
void record_load(pool_view& pool, const base::upstream_id& id, base::micros wait,
                 double prefill_us_per_token, std::int64_t engine_incarnation, base::instant now);

// Another upstream is said to hold a level; `upstream` is its hash.
void record_reported_holder(const pool_view& pool, affinity_table& table, std::uint64_t level_key,
                            std::uint64_t upstream, base::instant now);

// The deepest level that other prompts may share: all but the prompt's own end.
const prefix::prefix_level* shared_level(const prefix::prefix_chain& chain);

// The upstream to tell that a request goes elsewhere, or nothing if that is not worth a message:
// its shared prefix's home, which passes later requests on to where the prefix is. To be asked
// before the request is noted as sent.
std::optional<std::size_t> home_to_notify(const pool_view& pool, const affinity_table& table,
                                          const base::upstream_id& chosen,
                                          const prefix::prefix_chain& chain, base::instant now,
                                          const routing_rules& rules);

// The request was served there with `cached` of its prompt's tokens found in the cache.
void record_served(pool_view& pool, affinity_table& table, const base::upstream_id& id,
                   const prefix::prefix_chain& chain, const prediction_basis& basis,
                   base::tokens cached, base::instant now, const routing_rules& rules);

// How often a hint of this age was right.
double hint_hit_rate(const pool_view& pool, base::micros age);

upstream_view* find(pool_view& pool, const base::upstream_id& id);

} // namespace camphorrail::routing
