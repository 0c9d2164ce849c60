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

// An entry's view of one upstream of a pool.
struct upstream_view {
    base::upstream_id id;
    base::availability_zone zone;
    std::uint64_t hash = 0;
    membership::health health;
    // Values of the last load report from the upstream's agent.
    base::micros reported_wait{0};
    double prefill_us_per_token = 100;
    base::instant reported_at{};
    // Expected prefill time of requests that this entry has sent since that report, and that the
    // report can't include.
    base::micros unreported_work{0};
};

// Estimated probability that a prefix is found in the cache where it is expected. Learned from
// finished requests.
struct hit_estimate {
    double rate = 0.9;
};

inline constexpr std::size_t homes_per_level = 3;
// Number of depths, counted from the end of a prompt, with separate estimates: the request's own
// part, parts shared with a few prompts, parts shared with many.
inline constexpr std::size_t depth_count = 4;

// Index 0 is for upstreams that are not among a level's homes. The initial values assume that the
// other entries send a prefix to its first home, which makes the assumption come true.
struct rank_priors {
    std::array<hit_estimate, homes_per_level + 1> by_rank{{{0.02}, {0.8}, {0.3}, {0.1}}};
};

inline constexpr std::size_t age_bucket_count = 12;

// Parameters of the routing policy.
struct routing_rules {
    // Weight of repeated prefill relative to waiting; above 1, since repeated prefill also delays
    // the requests queued behind it.
    double recompute_weight = 2.0;
    // Number of engines that a popular prefix is spread over, per engine's worth of its traffic.
    double spread = 3.0;
    std::size_t min_spread = 1;
    // Wait added for an engine that has just restarted with an empty cache, so that not all entries
    // send to it at once.
    base::micros slow_start_wait = base::milliseconds(100);
    // Number of random upstreams considered in addition to the candidates by prefix.
    std::size_t random_choices = 2;
    double learning_rate = 0.01;
    membership::health_rules health;
};

// An entry's view of one pool.
struct pool_view {
    std::vector<upstream_view> upstreams;
    std::vector<std::uint64_t> hashes;
    // Hit rates of hints by age, in buckets that double from 62.5 ms.
    std::array<hit_estimate, age_bucket_count> hint_priors;
    // Hit rates without a hint, by the level's depth from the end of its prompt and by the
    // upstream's rank among the level's homes.
    std::array<rank_priors, depth_count> home_priors;
    // Traffic shares of the prompts' outermost levels.
    popularity prefix_popularity;
};

struct routing_request {
    const prefix::prefix_chain* chain = nullptr;
    // Upstreams that were already tried; they are not chosen again.
    std::vector<base::upstream_id> excluded;
    // Whether a prompt whose shared prefix is unknown to this entry is first sent to that prefix's
    // home, which knows the holders. False after the home has forwarded the request.
    bool probe_home = true;
};

// Basis of the expectation that a level was cached, recorded when its request was sent. The outcome
// is attributed to this basis instead of the current state, which the request itself has changed.
struct level_basis {
    bool from_hint = false;
    // Age bucket of the hint, or the upstream's rank among the level's homes.
    std::size_t index = 0;
};
using prediction_basis = std::vector<level_basis>;

struct choice {
    std::size_t index = 0;
    prediction_basis basis;
    // The request is a probe of the prefix's home, which may forward it.
    bool is_probe = false;
    base::tokens expected_cached;
    base::micros expected_wait{0};
    base::micros expected_prefill{0};
};

// Updates the pool's members; the state of members that remain is kept.
void set_members(pool_view& pool, const std::vector<base::upstream_id>& ids,
                 const std::vector<base::availability_zone>& zones);

// Returns the upstream for a request, or nullopt if none is usable.
std::optional<choice> choose_upstream(const pool_view& pool, const affinity_table& table,
                                      const routing_request& request, base::instant now,
                                      base::random_source& random, const routing_rules& rules);

// Records that the request was sent to the chosen upstream. The upstream counts as a holder of its
// shared levels from now on, so that requests that follow during the prefill are sent there too.
void record_sent(pool_view& pool, affinity_table& table, const choice& made,
                 const prefix::prefix_chain& chain, base::instant now);

// Records that the upstream did not accept the request.
void record_rejected(const pool_view& pool, affinity_table& table, const base::upstream_id& id,
                     const prefix::prefix_chain& chain);

// Applies a load report; `wait` is the agent's prediction for a new request.
void record_load(pool_view& pool, const base::upstream_id& id, base::micros wait,
                 double prefill_us_per_token, std::int64_t engine_incarnation, base::instant now);

// Records that another upstream reportedly holds a level; `upstream` is its hash.
void record_reported_holder(const pool_view& pool, affinity_table& table, std::uint64_t level_key,
                            std::uint64_t upstream, base::instant now);

// Returns the deepest level that other prompts may share: the one before the prompt's last.
const prefix::prefix_level* shared_level(const prefix::prefix_chain& chain);

// Returns the home of the request's shared prefix if it should be notified that the request goes
// elsewhere, so that it can forward later requests to the prefix's holder; nullopt if the
// notification is not worth a message. Must be called before the request is recorded as sent.
std::optional<std::size_t> home_to_notify(const pool_view& pool, const affinity_table& table,
                                          const base::upstream_id& chosen,
                                          const prefix::prefix_chain& chain, base::instant now,
                                          const routing_rules& rules);

// Records that the upstream served the request, with `cached` of its prompt's tokens found in the
// cache.
void record_served(pool_view& pool, affinity_table& table, const base::upstream_id& id,
                   const prefix::prefix_chain& chain, const prediction_basis& basis,
                   base::tokens cached, base::instant now, const routing_rules& rules);

// Hit rate of hints of this age.
double hint_hit_rate(const pool_view& pool, base::micros age);

upstream_view* find(pool_view& pool, const base::upstream_id& id);

} // namespace camphorrail::routing
