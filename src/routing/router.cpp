#include "routing/router.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::routing {

namespace {

constexpr double first_age_bucket_us = 62500;
// Share of a level's own tokens that must have been cached for a hit, since the engine's blocks are
// not aligned with levels.
constexpr double min_hit_fraction = 0.5;
// A home is notified again of the same prefix after this time, since it may have dropped its note.
constexpr base::micros notify_interval = base::seconds(5);

std::size_t age_bucket(base::micros age) {
    const double units = static_cast<double>(age.count()) / first_age_bucket_us;
    if (units < 1) {
        return 0;
    }
    return std::min(age_bucket_count - 1, static_cast<std::size_t>(std::log2(units)) + 1);
}

const holder* find_holder(const affinity_table& table, std::uint64_t key,
                          const upstream_view& view) {
    const auto* record = find(table, key);
    if (record == nullptr) {
        return nullptr;
    }
    for (const holder& each : record->holders) {
        // A hint from an earlier incarnation of the engine is invalid, since the engine has lost
        // its cache.
        if (each.upstream == view.hash &&
            each.engine_incarnation == view.health.engine_incarnation) {
            return &each;
        }
    }
    return nullptr;
}

// Homes of each level of a chain, computed once per request. Homes are nested: those of a deeper
// level are among those of the outermost one. If the histories of one agency were hashed
// independently, the agency's own long prefix would end up in every engine's cache.
using level_homes = std::vector<std::vector<std::size_t>>;

std::size_t home_count(const pool_view& pool, std::uint64_t key, base::instant now,
                       const routing_rules& rules) {
    const double engines = static_cast<double>(pool.upstreams.size());
    const double wanted =
        std::ceil(traffic_share(pool.prefix_popularity, key, now) * engines * rules.spread);
    const auto least = std::min(rules.min_spread, pool.upstreams.size());
    return std::clamp(static_cast<std::size_t>(wanted), least, pool.upstreams.size());
}

std::vector<std::size_t> rank_within(const pool_view& pool, const std::vector<std::size_t>& set,
                                     std::uint64_t key) {
    std::vector<std::uint64_t> members;
    members.reserve(set.size());
    for (const std::size_t index : set) {
        members.push_back(pool.hashes[index]);
    }
    std::vector<std::size_t> ranked = rank_members(members, key, homes_per_level);
    for (std::size_t& place : ranked) {
        place = set[place];
    }
    return ranked;
}

level_homes find_homes(const pool_view& pool, const prefix::prefix_chain& chain, base::instant now,
                       const routing_rules& rules) {
    level_homes found;
    if (chain.empty()) {
        return found;
    }
    found.reserve(chain.size());
    const std::uint64_t outermost = chain.front().key;
    found.push_back(rank_members(pool.hashes, outermost, home_count(pool, outermost, now, rules)));
    for (std::size_t level = 1; level < chain.size(); ++level) {
        // The prompt's last level is not shared and has no homes except those of its shared prefix.
        const bool is_unshared_tail = level + 1 == chain.size();
        found.push_back(is_unshared_tail ? found.back()
                                         : rank_within(pool, found.front(), chain[level].key));
    }
    return found;
}

std::size_t home_rank(const std::vector<std::size_t>& level, std::size_t index) {
    const auto found = std::find(level.begin(), level.end(), index);
    if (found == level.end()) {
        return 0;
    }
    return std::min(homes_per_level, static_cast<std::size_t>(found - level.begin()) + 1);
}

std::size_t depth_from_end(const prefix::prefix_chain& chain, std::size_t level) {
    return std::min(depth_count - 1, chain.size() - 1 - level);
}

prediction_basis prediction_basis_of(const pool_view& pool, const affinity_table& table,
                                     const prefix::prefix_chain& chain, const level_homes& home_of,
                                     std::size_t index, base::instant now) {
    prediction_basis basis;
    for (std::size_t level = 0; level < chain.size(); ++level) {
        const holder* hint = find_holder(table, chain[level].key, pool.upstreams[index]);
        basis.push_back({hint != nullptr, hint != nullptr ? age_bucket(now - hint->last_used)
                                                          : home_rank(home_of[level], index)});
    }
    return basis;
}

// Expected number of the chain's tokens that are cached at one upstream. A cached level implies
// that the shorter ones are cached.
double expected_cached(const pool_view& pool, const affinity_table& table,
                       const prefix::prefix_chain& chain, const level_homes& home_of,
                       std::size_t index, base::instant now) {
    double cached = 0;
    double probability = 0;
    for (std::size_t level = chain.size(); level-- > 0;) {
        const holder* hint = find_holder(table, chain[level].key, pool.upstreams[index]);
        const double level_probability =
            hint != nullptr ? pool.hint_priors[age_bucket(now - hint->last_used)].rate
                            : pool.home_priors[depth_from_end(chain, level)]
                                  .by_rank[home_rank(home_of[level], index)]
                                  .rate;
        probability = std::max(probability, level_probability);
        const std::int64_t previous_length = level == 0 ? 0 : chain[level - 1].length.value;
        cached += probability * static_cast<double>(chain[level].length.value - previous_length);
    }
    return cached;
}

base::micros expected_wait(const upstream_view& view, base::instant now,
                           const routing_rules& rules) {
    // The upstream works off the reported backlog while the report ages.
    const base::micros age = now - view.reported_at;
    base::micros wait = std::max(base::micros{0}, view.reported_wait + view.unreported_work - age);
    const double cold = 1.0 - membership::slow_start_factor(view.health, now, rules.health);
    wait += base::micros(
        static_cast<std::int64_t>(cold * static_cast<double>(rules.slow_start_wait.count())));
    return wait;
}

void add_candidate(std::vector<std::size_t>& candidates, std::size_t index) {
    if (std::find(candidates.begin(), candidates.end(), index) == candidates.end()) {
        candidates.push_back(index);
    }
}

void add_holders(const pool_view& pool, const affinity_table& table, std::uint64_t key,
                 std::vector<std::size_t>& candidates) {
    const auto* record = find(table, key);
    if (record == nullptr) {
        return;
    }
    for (const holder& each : record->holders) {
        const auto found = std::find(pool.hashes.begin(), pool.hashes.end(), each.upstream);
        if (each.upstream != 0 && found != pool.hashes.end()) {
            add_candidate(candidates, static_cast<std::size_t>(found - pool.hashes.begin()));
        }
    }
}

std::vector<std::size_t> find_candidates(const pool_view& pool, const affinity_table& table,
                                         const prefix::prefix_chain& chain,
                                         const level_homes& home_of, base::random_source& random,
                                         const routing_rules& rules) {
    std::vector<std::size_t> candidates;
    for (std::size_t level = chain.size(); level-- > 0;) {
        for (const std::size_t index : home_of[level]) {
            add_candidate(candidates, index);
        }
        add_holders(pool, table, chain[level].key, candidates);
    }
    for (std::size_t count = 0; count < rules.random_choices; ++count) {
        add_candidate(candidates, base::random_below(random, pool.upstreams.size()));
    }
    return candidates;
}

bool excluded(const routing_request& request, const upstream_view& view) {
    return std::find(request.excluded.begin(), request.excluded.end(), view.id) !=
           request.excluded.end();
}

std::optional<choice> cheapest(const pool_view& pool, const affinity_table& table,
                               const routing_request& request, const level_homes& home_of,
                               const std::vector<std::size_t>& candidates, base::instant now,
                               const routing_rules& rules) {
    std::optional<choice> best;
    double best_cost = 0;
    const std::int64_t length = request.chain->empty() ? 0 : request.chain->back().length.value;
    for (const std::size_t index : candidates) {
        const upstream_view& view = pool.upstreams[index];
        if (!membership::is_usable(view.health, now) || excluded(request, view)) {
            continue;
        }
        const double cached = expected_cached(pool, table, *request.chain, home_of, index, now);
        const base::micros wait = expected_wait(view, now, rules);
        const double prefill = (static_cast<double>(length) - cached) * view.prefill_us_per_token;
        const double cost = static_cast<double>(wait.count()) + rules.recompute_weight * prefill;
        if (!best || cost < best_cost) {
            best = choice{index, {},
                          false, {static_cast<std::int64_t>(cached)},
                          wait,  base::micros(static_cast<std::int64_t>(prefill))};
            best_cost = cost;
        }
    }
    if (best) {
        best->basis = prediction_basis_of(pool, table, *request.chain, home_of, best->index, now);
    }
    return best;
}

bool has_holder(const pool_view& pool, const affinity_table& table, std::uint64_t key) {
    return std::any_of(
        pool.upstreams.begin(), pool.upstreams.end(),
        [&](const upstream_view& view) { return find_holder(table, key, view) != nullptr; });
}

// Chooses the home of the shared prefix if this entry knows no holder of that prefix.
std::optional<choice> probe_home_upstream(const pool_view& pool, const affinity_table& table,
                                          const routing_request& request,
                                          const level_homes& home_of, base::instant now,
                                          const routing_rules& rules) {
    const prefix::prefix_level* shared = shared_level(*request.chain);
    if (shared == nullptr ||
        (find(table, shared->key) != nullptr && has_holder(pool, table, shared->key))) {
        return std::nullopt;
    }
    const std::size_t index = home_of[request.chain->size() - 2].front();
    auto home = cheapest(pool, table, request, home_of, {index}, now, rules);
    if (home) {
        home->is_probe = true;
    }
    return home;
}

void update_estimate(hit_estimate& prior, bool hit, double step) {
    prior.rate += step * ((hit ? 1.0 : 0.0) - prior.rate);
}

} // namespace

void set_members(pool_view& pool, const std::vector<base::upstream_id>& ids,
                 const std::vector<base::availability_zone>& zones) {
    std::vector<upstream_view> updated;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        upstream_view view;
        if (const upstream_view* known = find(pool, ids[index])) {
            view = *known;
        } else {
            view.id = ids[index];
            view.hash = base::stable_hash(ids[index].value);
        }
        view.zone = zones[index];
        updated.push_back(std::move(view));
    }
    pool.upstreams = std::move(updated);
    pool.hashes.clear();
    for (const upstream_view& view : pool.upstreams) {
        pool.hashes.push_back(view.hash);
    }
}

std::optional<choice> choose_upstream(const pool_view& pool, const affinity_table& table,
                                      const routing_request& request, base::instant now,
                                      base::random_source& random, const routing_rules& rules) {
    if (pool.upstreams.empty()) {
        return std::nullopt;
    }
    const level_homes home_of = find_homes(pool, *request.chain, now, rules);
    if (request.probe_home) {
        if (auto home = probe_home_upstream(pool, table, request, home_of, now, rules)) {
            return home;
        }
    }
    const auto candidates = find_candidates(pool, table, *request.chain, home_of, random, rules);
    if (auto best = cheapest(pool, table, request, home_of, candidates, now, rules)) {
        return best;
    }
    // All candidates are unavailable or were already tried. Any other upstream is better than
    // rejecting the request.
    std::vector<std::size_t> all(pool.upstreams.size());
    for (std::size_t index = 0; index < all.size(); ++index) {
        all[index] = index;
    }
    return cheapest(pool, table, request, home_of, all, now, rules);
}

void record_sent(pool_view& pool, affinity_table& table, const choice& chosen,
                 const prefix::prefix_chain& chain, base::instant now) {
    const upstream_view& view = pool.upstreams[chosen.index];
    for (std::size_t level = 0; level + 1 < chain.size(); ++level) {
        add_holder(table, chain[level].key, {view.hash, view.health.engine_incarnation, now});
    }
    if (!chain.empty()) {
        record_request(pool.prefix_popularity, chain.front().key, now);
    }
    pool.upstreams[chosen.index].unreported_work += chosen.expected_prefill;
}

void record_rejected(const pool_view& pool, affinity_table& table, const base::upstream_id& id,
                     const prefix::prefix_chain& chain) {
    const prefix::prefix_level* shared = shared_level(chain);
    for (const upstream_view& view : pool.upstreams) {
        if (shared != nullptr && view.id == id) {
            remove_holder(table, shared->key, view.hash);
        }
    }
}

void record_load(pool_view& pool, const base::upstream_id& id, base::micros wait,
                 double prefill_us_per_token, std::int64_t engine_incarnation, base::instant now) {
    upstream_view* view = find(pool, id);
    if (view == nullptr) {
        return;
    }
    membership::record_incarnation(view->health, engine_incarnation, now);
    view->reported_wait = wait;
    view->reported_at = now;
    view->unreported_work = base::micros{0};
    if (prefill_us_per_token > 0) {
        view->prefill_us_per_token = prefill_us_per_token;
    }
}

void record_served(pool_view& pool, affinity_table& table, const base::upstream_id& id,
                   const prefix::prefix_chain& chain, const prediction_basis& basis,
                   base::tokens cached, base::instant now, const routing_rules& rules) {
    const upstream_view* view = find(pool, id);
    if (view == nullptr) {
        return;
    }
    for (std::size_t level = 0; level < std::min(chain.size(), basis.size()); ++level) {
        const std::int64_t previous_length = level == 0 ? 0 : chain[level - 1].length.value;
        const bool hit =
            static_cast<double>(cached.value - previous_length) >=
            min_hit_fraction * static_cast<double>(chain[level].length.value - previous_length);
        const level_basis& expected = basis[level];
        update_estimate(
            expected.from_hint
                ? pool.hint_priors[expected.index]
                : pool.home_priors[depth_from_end(chain, level)].by_rank[expected.index],
            hit, rules.learning_rate);
    }
    for (const auto& level : chain) {
        add_holder(table, level.key, {view->hash, view->health.engine_incarnation, now});
    }
}

double hint_hit_rate(const pool_view& pool, base::micros age) {
    return pool.hint_priors[age_bucket(age)].rate;
}

void record_reported_holder(const pool_view& pool, affinity_table& table, std::uint64_t level_key,
                            std::uint64_t upstream, base::instant now) {
    for (const upstream_view& view : pool.upstreams) {
        if (view.hash == upstream) {
            add_holder(table, level_key, {upstream, view.health.engine_incarnation, now});
        }
    }
}

const prefix::prefix_level* shared_level(const prefix::prefix_chain& chain) {
    return chain.size() < 2 ? nullptr : &chain[chain.size() - 2];
}

std::optional<std::size_t> home_to_notify(const pool_view& pool, const affinity_table& table,
                                          const base::upstream_id& chosen,
                                          const prefix::prefix_chain& chain, base::instant now,
                                          const routing_rules& rules) {
    const prefix::prefix_level* shared = shared_level(chain);
    if (shared == nullptr || pool.hashes.empty()) {
        return std::nullopt;
    }
    const std::size_t home = find_homes(pool, chain, now, rules)[chain.size() - 2].front();
    if (pool.upstreams[home].id == chosen) {
        return std::nullopt;
    }
    for (const upstream_view& view : pool.upstreams) {
        const holder* hint = view.id == chosen ? find_holder(table, shared->key, view) : nullptr;
        if (hint != nullptr && now - hint->last_used < notify_interval) {
            return std::nullopt;
        }
    }
    return home;
}

upstream_view* find(pool_view& pool, const base::upstream_id& id) {
    for (upstream_view& view : pool.upstreams) {
        if (view.id == id) {
            return &view;
        }
    }
    return nullptr;
}

} // namespace camphorrail::routing
