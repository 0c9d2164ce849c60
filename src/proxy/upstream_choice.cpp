#include "proxy/upstream_choice.h"

#include "base/random.h"
#include "kvcache/placement.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

// Weights that have been outdated for longer than this make a response worth less to its client.
constexpr base::milliseconds outdated_grace{1300};
// Subtracted from the allowed age of weights at an overloaded engine, where a request may wait for
// up to two seconds, as long as its client does. A request that would begin there on weights
// outdated for too long is not sent.
constexpr base::milliseconds max_overload_wait{1100};
constexpr double high_load_share = 0.5;

// A cancellation reaches the upstream one network hop later, and its timer waits for the current
// turn of the event loop to end, so the deadline is set earlier by this much.
constexpr base::milliseconds cancel_margin{400};

std::vector<const fleet::member*> pool_members(const fleet::fleet& state,
                                               const base::pool_id& pool) {
    std::vector<const fleet::member*> found;
    for (const auto& [id, member] : state.members) {
        if (member.listed.pool == pool) {
            found.push_back(&member);
        }
    }
    return found;
}

// Without ranks, all waits count by the same time in a slot, as in builds that did not learn it.
kvcache::placement_costs placement_costs_of(const entry_context& context,
                                            const selection_criteria& criteria) {
    kvcache::placement_costs costs;
    const auto learned = context.state.queueing.find(criteria.pool);
    if (criteria.rank && learned != context.state.queueing.end()) {
        costs.response_ms = queueing::cautious_slot_ms(learned->second.times,
                                                       queueing::prior_slot_ms, context.now());
    }
    return costs;
}

// Whether the software of a member allows it to take the request.
bool runs_suitable_software(const entry_context& context, const selection_criteria& criteria,
                            const fleet::member& member) {
    if (criteria.software) {
        return member.listed.software == *criteria.software;
    }
    if (!criteria.begins_stream) {
        return true;
    }
    const auto versions = context.state.software.find(criteria.pool);
    return versions != context.state.software.end() &&
           resumption::may_begin_streams(versions->second, member.listed.software);
}

// The members that could take the request if they were neither busy nor limited.
std::vector<const fleet::member*> suitable_members(const entry_context& context,
                                                   const selection_criteria& criteria) {
    auto members = pool_members(context.state.fleet, criteria.pool);
    std::erase_if(members, [&](const auto* member) {
        return !fleet::is_available(*member) || !runs_suitable_software(context, criteria, *member);
    });
    return members;
}

const latency::first_byte_model& latency_model_of(const entry_state& state,
                                                  const base::pool_id& pool) {
    static const latency::first_byte_model untrained;
    const auto found = state.latency.find(pool);
    return found == state.latency.end() ? untrained : found->second;
}

// The transfer time that a placement uses on the stores' links: fetching the shared part of the
// prompt if the engine lacks it, and saving the whole prompt.
std::vector<std::pair<std::string, double>> store_transfers(const routes::operators_config& config,
                                                            const routes::pool& pool,
                                                            const kvcache::placement& placement,
                                                            const kvcache::prompt_chain& chain) {
    std::vector<std::pair<std::string, double>> found;
    for (const auto& store : config.kv_stores) {
        double tokens = 0.0;
        if (placement.fetch_from == store.address && placement.fetch_ms > 0.0) {
            tokens += static_cast<double>(chain.total_tokens() - placement.prefill_tokens);
        }
        if (placement.save_to == store.address) {
            tokens += static_cast<double>(chain.total_tokens());
        }
        if (tokens > 0.0) {
            found.emplace_back(store.address, kvcache::transfer_ms(pool, store, tokens));
        }
    }
    return found;
}

// Whether the prompts in flight fill so much of an engine's memory that new ones may have to wait.
bool may_wait_long(const entry_context& context, const fleet::member& member) {
    const auto& pools = context.state.config->pools;
    const auto pool = pools.find(member.listed.pool);
    const std::int64_t capacity = pool == pools.end() ? 0 : pool->second.kv_capacity_tokens;
    const std::int64_t taken = fleet::total_kv_tokens(member, context.now());
    return static_cast<double>(taken) > high_load_share * static_cast<double>(capacity);
}

// The time since which weights may have been outdated: when newer ones were named, or else when it
// was last proved that there were none. An entry that has lost the store, or was suspended, does
// not know of newer ones while it continues with its requests.
std::optional<base::instant> possibly_outdated_since(const entry_context& context,
                                                     const base::model_id& model,
                                                     std::int64_t weights) {
    const auto since = outdated_since(history_of(context.state, model), weights);
    return since > context.now() ? context.state.store.verified_at : std::optional(since);
}

// The members that hold the model, without those whose weights are outdated for too long. Otherwise
// weights do not affect placement: while upstreams change weights one after another, each prompt
// stays at its home upstream and is processed again there once, instead of moving to the few
// upstreams that have already changed.
std::vector<kvcache::candidate> prompt_candidates(const entry_context& context,
                                                  const std::vector<fleet::member*>& available,
                                                  const base::model_id& model) {
    const base::instant now = context.now();
    const auto& history = history_of(context.state, model);
    const auto longest = max_outdated_weights_age(context.settings);
    std::vector<kvcache::candidate> found;
    for (auto* member : available) {
        const std::int64_t version = fleet::weights_version_of(*member, model);
        const auto since = possibly_outdated_since(context, model, version);
        const auto allowed =
            may_wait_long(context, *member) ? longest - max_overload_wait : longest;
        if (version > 0 && since && now - *since < allowed) {
            const bool outdated = outdated_since(history, version) <= now - outdated_grace;
            found.push_back({member, version, outdated});
        }
    }
    return found;
}

const fleet::member& engine_of(const kvcache::candidate& candidate) {
    return *candidate.engine;
}

const fleet::member& engine_of(const fleet::member* member) {
    return *member;
}

// What a crash of an engine would cost, in order of weight: another suspect on trial there, so that
// the cause of the crash would be unclear; requests that may not be executed twice; other requests.
struct crash_cost {
    bool has_trial = false;
    std::int64_t unrepeatable = 0;
    std::int64_t in_flight = 0;

    auto operator<=>(const crash_cost&) const = default;
};

crash_cost cost_of_crash(const fleet::member& engine, const std::vector<base::upstream_id>& trials,
                         base::instant now) {
    const auto work = fleet::total_work(engine, now);
    const bool has_trial =
        std::find(trials.begin(), trials.end(), engine.listed.id) != trials.end();
    return {has_trial, work.non_retryable, work.in_flight};
}

// Keeps the third of the candidates at which a crash would cost the least. Keeping only the best
// would make all entries send all suspects to the same upstream.
template <class Candidate>
void keep_safest(const entry_context& context, std::vector<Candidate>& candidates) {
    const base::instant now = context.now();
    const auto trials = quarantine::upstreams_with_trials(context.state.quarantine, now);
    std::vector<std::pair<crash_cost, Candidate>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        ranked.emplace_back(cost_of_crash(engine_of(candidate), trials, now), candidate);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>((ranked.size() + 2) / 3),
                 ranked.end());
    candidates.clear();
    for (const auto& [cost, candidate] : ranked) {
        candidates.push_back(candidate);
    }
}

// A response that has been resumed may not be resumed again, so it avoids engines that are about to
// change weights.
void prefer_newest(std::vector<kvcache::candidate>& candidates) {
    const bool any_current = std::any_of(candidates.begin(), candidates.end(),
                                         [](const auto& candidate) { return !candidate.outdated; });
    if (any_current) {
        std::erase_if(candidates, [](const auto& candidate) { return candidate.outdated; });
    }
}

// The configuration may have changed since the request was admitted, for instance before a retry.
kvcache::prompt_scope prompt_scope_of(const kvcache::cache_spaces& spaces,
                                      const selection_criteria& criteria) {
    const bool separate = criteria.is_isolated || spaces.excluded.count(criteria.team) > 0;
    return separate ? kvcache::prompt_scope{criteria.prompt->model, criteria.team}
                    : kvcache::prompt_scope{criteria.prompt->model, {}, spaces.shared_space};
}

std::optional<upstream_choice> choose_for_prompt(const entry_context& context,
                                                 const selection_criteria& criteria,
                                                 const std::vector<fleet::member*>& available) {
    auto candidates = prompt_candidates(context, available, criteria.prompt->model);
    if (criteria.resumed) {
        prefer_newest(candidates);
    }
    if (criteria.suspect) {
        keep_safest(context, candidates);
    }
    const auto& config = *context.state.config;
    const auto pool = config.pools.find(criteria.pool);
    if (candidates.empty() || pool == config.pools.end()) {
        return std::nullopt;
    }
    const base::instant now = context.now();
    const auto rules = fleet_rules_of(context.settings);
    const auto scope = prompt_scope_of(context.state.cache_spaces, criteria);
    auto chain = kvcache::make_chain(scope, criteria.prompt->prompt_parts);
    const auto members = pool_members(context.state.fleet, criteria.pool);
    const auto costs = placement_costs_of(context, criteria);
    auto placement = kvcache::place(
        candidates, {scope, chain, pool->second, members, criteria.target, criteria.rank},
        {context.state.cache, context.state.stored_prompts, config.kv_stores, now, rules,
         latency_model_of(context.state, criteria.pool), costs});
    const auto& target = *placement.target.engine;
    upstream_choice choice;
    choice.id = target.listed.id;
    choice.incarnation = target.listed.incarnation;
    choice.address = target.listed.address;
    choice.software = target.listed.software;
    choice.weights = placement.target.weights;
    choice.cache_salt = std::move(placement.salt);
    choice.fetch_from = std::move(placement.fetch_from);
    choice.save_to = std::move(placement.save_to);
    choice.prefill_tokens = placement.prefill_tokens;
    choice.reason = placement.is_home ? "home" : "least_cost";
    choice.queued_tokens = placement.queued_prefill_tokens;
    if (criteria.rank) {
        choice.requests_ahead =
            fleet::work_ahead(fleet::total_work(target, now), criteria.rank).requests;
    }
    choice.slot_ms = costs.response_ms;
    choice.wait_ms = placement.wait_ms;
    choice.fetch_ms = placement.fetch_ms;
    choice.first_byte_ms = placement.first_byte_ms;
    choice.transfers = store_transfers(config, pool->second, placement, chain);
    choice.chain = std::move(chain);
    const auto since =
        outdated_since(history_of(context.state, criteria.prompt->model), choice.weights);
    if (since <= now) {
        choice.weights_outdated_for = now - since;
    }
    return choice;
}

upstream_choice choose_least_loaded(const entry_context& context,
                                    const selection_criteria& criteria,
                                    const std::vector<fleet::member*>& available) {
    const auto* target = fleet::least_loaded(available, context.settings.zone, criteria.hash,
                                             context.now(), fleet_rules_of(context.settings));
    upstream_choice choice;
    choice.id = target->listed.id;
    choice.incarnation = target->listed.incarnation;
    choice.address = target->listed.address;
    choice.software = target->listed.software;
    choice.reason = "least_loaded";
    return choice;
}

bool has_prompt(const selection_criteria& criteria) {
    return criteria.prompt != nullptr && !criteria.prompt->model.empty();
}

// The commonly suspected upstream that the request is to probe, if there is one. A prompt that
// would be late there anyway probes none.
std::optional<upstream_choice> choose_probe(entry_context& context,
                                            const selection_criteria& criteria) {
    if (!criteria.may_probe || criteria.suspect) {
        return std::nullopt;
    }
    const base::instant now = context.now();
    for (auto& [id, member] : context.state.fleet.members) {
        if (!fleet::awaits_probe(member, now) || member.listed.pool != criteria.pool ||
            !runs_suitable_software(context, criteria, member)) {
            continue;
        }
        auto choice = has_prompt(criteria)
                          ? choose_for_prompt(context, criteria, {&member})
                          : std::optional(choose_least_loaded(context, criteria, {&member}));
        if (choice && choice->first_byte_ms <= static_cast<double>(criteria.target.count())) {
            choice->reason = "probe";
            return choice;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<base::instant> begin_deadline(const entry_context& context,
                                            const base::model_id& model, std::int64_t weights) {
    const auto since = possibly_outdated_since(context, model, weights);
    if (!since) {
        return std::nullopt;
    }
    return *since + context.settings.bounds.outdated_weights - cancel_margin;
}

base::upstream_instance instance_of(const upstream_choice& choice) {
    return {choice.id, choice.incarnation};
}

std::optional<upstream_choice> choose_upstream(entry_context& context,
                                               const selection_criteria& criteria) {
    if (auto probe = choose_probe(context, criteria)) {
        return probe;
    }
    const base::instant now = context.now();
    const auto rules = fleet_rules_of(context.settings);
    auto available = fleet::candidates(
        context.state.fleet, criteria.pool, now, rules, criteria.tried,
        [&](const auto& member) { return runs_suitable_software(context, criteria, member); });
    if (available.empty()) {
        return std::nullopt;
    }
    if (has_prompt(criteria)) {
        return choose_for_prompt(context, criteria, available);
    }
    if (criteria.suspect) {
        keep_safest(context, available);
    }
    fleet::count_towards_shares(context.state.fleet, criteria.pool, now);
    return choose_least_loaded(context, criteria, available);
}

queueing::pool_size size_of_pool(const entry_context& context, const selection_criteria& criteria,
                                 const upstream_choice& choice) {
    const base::instant now = context.now();
    queueing::pool_size size;
    for (const auto* member : suitable_members(context, criteria)) {
        if (fleet::is_eligible(*member, now)) {
            ++size.upstreams;
            size.slots += std::max<std::int64_t>(member->listed.slots, 1);
        }
    }
    const auto tokens = static_cast<double>(choice.prefill_tokens);
    const auto all_tokens = static_cast<double>(choice.chain.total_tokens());
    size.read_ms = latency::prefill_ms(latency_model_of(context.state, criteria.pool),
                                       {tokens, 0.0, latency::attention_pairs(tokens, all_tokens)});
    return size;
}

pool_counts count_upstreams(const entry_context& context, const base::pool_id& pool) {
    const base::instant now = context.now();
    pool_counts count;
    for (const auto& [id, member] : context.state.fleet.members) {
        if (member.listed.pool != pool || !fleet::is_available(member)) {
            continue;
        }
        ++count.listed;
        count.eligible += fleet::is_eligible(member, now) ? 1 : 0;
        count.busy += now < fleet::unavailable_until(member) ? 1 : 0;
        count.suspected += fleet::is_suspected(member, now) ? 1 : 0;
        count.limited += fleet::is_within_limit(member, now) ? 0 : 1;
    }
    return count;
}

std::optional<base::milliseconds> limited_retry_after(const entry_context& context,
                                                      const selection_criteria& criteria,
                                                      std::uint64_t draw) {
    using milliseconds = std::chrono::duration<double, std::milli>;
    constexpr milliseconds min_wait{100};
    constexpr milliseconds max_wait{2000};
    constexpr milliseconds spread{900};
    const base::instant now = context.now();
    const auto suitable = suitable_members(context, criteria);
    double per_second = 0.0;
    for (const auto* member : suitable) {
        if (fleet::is_within_limit(*member, now)) {
            return std::nullopt;
        }
        per_second += member->limit.limit->value;
    }
    if (suitable.empty()) {
        return std::nullopt;
    }
    const milliseconds interval{1000.0 / std::max(per_second, 1e-3)};
    base::random_source random{draw};
    const milliseconds wait =
        std::clamp(interval, min_wait, max_wait) + base::random_unit(random) * spread;
    return std::chrono::duration_cast<base::milliseconds>(wait);
}

base::milliseconds estimate_retry_after(const entry_context& context,
                                        const selection_criteria& criteria) {
    constexpr base::milliseconds default_wait{250};
    // Clients retry once or twice at most, and an upstream that changes weights takes at least this
    // long.
    constexpr base::milliseconds min_wait{150};
    const base::instant now = context.now();
    std::optional<base::milliseconds> shortest_wait;
    for (const auto* member : suitable_members(context, criteria)) {
        const auto until =
            std::max({member->busy_until, member->health.ejected_until, member->suspected_until});
        const auto remaining = std::chrono::duration_cast<base::milliseconds>(until - now);
        const auto paused = std::chrono::ceil<base::milliseconds>(member->pause_until - now);
        const auto member_wait = std::max(std::clamp(remaining, min_wait, default_wait), paused);
        shortest_wait = shortest_wait ? std::min(*shortest_wait, member_wait) : member_wait;
    }
    if (!shortest_wait && criteria.software) {
        return base::milliseconds(0);
    }
    return shortest_wait.value_or(default_wait);
}

} // namespace camphorrail::proxy
