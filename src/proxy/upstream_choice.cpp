#include "proxy/upstream_choice.h"

#include "kvcache/placement.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

// From here on an answer made on outdated weights is worth less to its caller.
constexpr base::milliseconds outdated_free{1300};
// A request may wait at an overloaded engine for as long as its caller does, two seconds. One that
// would begin on weights that are outdated for too long by then is not sent there.
constexpr base::milliseconds wait_when_full{1100};
constexpr double full_share = 0.5;

// A call that is cancelled reaches the upstream a hop later, and the timer for it waits for the
// loop's turn to end.
constexpr base::milliseconds begin_margin{400};

std::vector<const fleet::member*> pool_members(const fleet::fleet& state,
                                               const base::pool_id& pool) {
    std::vector<const fleet::member*> found;
    for (const auto& [id, one] : state.members) {
        if (one.listed.pool == pool) {
            found.push_back(&one);
        }
    }
    return found;
}

const latency::first_byte_model& model_of(const entry_state& state, const base::pool_id& pool) {
    static const latency::first_byte_model unseen;
    const auto found = state.latency.find(pool);
    return found == state.latency.end() ? unseen : found->second;
}

// What a placement takes of the stores' links: a fetch of the shared part, where the engine lacks
// it, and a save of all.
std::vector<std::pair<std::string, double>> store_transfers(const routes::operators_config& config,
                                                            const routes::pool& pool,
                                                            const kvcache::placement& made,
                                                            const kvcache::prompt_chain& chain) {
    std::vector<std::pair<std::string, double>> found;
    for (const auto& store : config.kv_stores) {
        double tokens = 0.0;
        if (made.fetch_from == store.address && made.fetch_ms > 0.0) {
            tokens += static_cast<double>(chain.total_tokens() - made.prefill_tokens);
        }
        if (made.save_to == store.address) {
            tokens += static_cast<double>(chain.total_tokens());
        }
        if (tokens > 0.0) {
            found.emplace_back(store.address, kvcache::transfer_ms(pool, store, tokens));
        }
    }
    return found;
}

// Whether the prompts under way fill so much of an engine's memory that new ones may have to wait.
bool may_wait_long(const entry_context& context, const fleet::member& one) {
    const auto& pools = context.state.config->pools;
    const auto pool = pools.find(one.listed.pool);
    const std::int64_t room = pool == pools.end() ? 0 : pool->second.engine_tokens;
    const auto work = fleet::total_work(one, context.now());
    return static_cast<double>(work.held_tokens) > full_share * static_cast<double>(room);
}

// Since when weights can have been outdated: since newer ones were named, or else since the last
// proof that none were. An entry that has lost the store, or stood still, does not know of newer
// ones, and goes on with the requests that it has.
std::optional<base::instant> perhaps_outdated_since(const entry_context& context,
                                                    const base::model_id& model,
                                                    std::int64_t weights) {
    const auto since = outdated_since(history_of(context.state, model), weights);
    return since > context.now() ? context.state.store.proved_at : std::optional(since);
}

// The members that hold the model, without those whose weights are outdated for too long. Weights
// do not decide where a prompt goes beyond that: while upstreams change them one after the other,
// each prompt stays at its home and is read anew there once, instead of moving to the few upstreams
// that have changed already.
std::vector<kvcache::candidate> prompt_candidates(const entry_context& context,
                                                  const std::vector<fleet::member*>& all,
                                                  const base::model_id& model) {
    const base::instant now = context.now();
    const auto& history = history_of(context.state, model);
    const auto longest = max_outdated_weights_age(context.settings);
    std::vector<kvcache::candidate> found;
    for (auto* one : all) {
        const std::int64_t version = fleet::weights_version_of(*one, model);
        const auto since = perhaps_outdated_since(context, model, version);
        const auto allowed = may_wait_long(context, *one) ? longest - wait_when_full : longest;
        if (version > 0 && since && now - *since < allowed) {
            const bool outdated = outdated_since(history, version) <= now - outdated_free;
            found.push_back({one, version, outdated});
        }
    }
    return found;
}

const fleet::member& engine_of(const kvcache::candidate& one) {
    return *one.engine;
}

const fleet::member& engine_of(const fleet::member* one) {
    return *one;
}

// What a crash of an engine would cost: another suspect is being tried there, so that it would not
// be clear which of them did it; calls that may not run twice; other calls.
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
    return {has_trial, work.unrepeatable, work.in_flight};
}

// Keeps the third of the candidates at which a crash would cost the least. Not the one alone: all
// entries would choose the same for all suspects.
template <class Candidate>
void keep_safest(const entry_context& context, std::vector<Candidate>& among) {
    const base::instant now = context.now();
    const auto trials = quarantine::trials_at(context.state.quarantine, now);
    std::vector<std::pair<crash_cost, Candidate>> ranked;
    ranked.reserve(among.size());
    for (const auto& each : among) {
        ranked.emplace_back(cost_of_crash(engine_of(each), trials, now), each);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>((ranked.size() + 2) / 3),
                 ranked.end());
    among.clear();
    for (const auto& [cost, each] : ranked) {
        among.push_back(each);
    }
}

// An answer that goes on once may not do so again, so it keeps off the engines that are to change
// weights next.
void prefer_newest(std::vector<kvcache::candidate>& candidates) {
    const bool any_new = std::any_of(candidates.begin(), candidates.end(),
                                     [](const auto& each) { return !each.outdated; });
    if (any_new) {
        std::erase_if(candidates, [](const auto& each) { return each.outdated; });
    }
}

std::optional<upstream_choice> choose_for_prompt(const entry_context& context,
                                                 const choice_request& request,
                                                 const std::vector<fleet::member*>& all) {
    auto candidates = prompt_candidates(context, all, request.prompt->model);
    if (request.resumed) {
        prefer_newest(candidates);
    }
    if (request.suspect) {
        keep_safest(context, candidates);
    }
    const auto& config = *context.state.config;
    const auto pool = config.pools.find(request.pool);
    if (candidates.empty() || pool == config.pools.end()) {
        return std::nullopt;
    }
    const base::instant now = context.now();
    const auto rules = fleet_rules_of(context.settings);
    const kvcache::prompt_scope space{request.prompt->model, request.isolated_team};
    auto chain = kvcache::make_chain(space, request.prompt->prompt_parts);
    const auto members = pool_members(context.state.fleet, request.pool);
    auto made = kvcache::place(candidates, {space, chain, pool->second, members, request.target},
                               {context.state.cache,
                                context.state.stored_prompts,
                                config.kv_stores,
                                now,
                                rules,
                                model_of(context.state, request.pool),
                                {}});
    const auto& target = *made.target.engine;
    upstream_choice choice;
    choice.id = target.listed.id;
    choice.incarnation = target.listed.incarnation;
    choice.address = target.listed.address;
    choice.weights = made.target.weights;
    choice.cache_salt = std::move(made.salt);
    choice.fetch_from = std::move(made.fetch_from);
    choice.save_to = std::move(made.save_to);
    choice.to_read = made.prefill_tokens;
    choice.why = made.is_home ? "home" : "least_cost";
    choice.unread_there = made.queued_prefill_tokens;
    choice.wait_ms = made.wait_ms;
    choice.fetch_ms = made.fetch_ms;
    choice.first_byte_ms = made.first_byte_ms;
    choice.transfers = store_transfers(config, pool->second, made, chain);
    choice.chain = std::move(chain);
    const auto since =
        outdated_since(history_of(context.state, request.prompt->model), choice.weights);
    if (since <= now) {
        choice.outdated_for = now - since;
    }
    return choice;
}

} // namespace

std::optional<base::instant> begin_deadline(const entry_context& context,
                                            const base::model_id& model, std::int64_t weights) {
    const auto since = perhaps_outdated_since(context, model, weights);
    if (!since) {
        return std::nullopt;
    }
    return *since + context.settings.bounds.outdated_weights - begin_margin;
}

base::upstream_instance instance_of(const upstream_choice& choice) {
    return {choice.id, choice.incarnation};
}

std::optional<upstream_choice> choose_upstream(entry_context& context,
                                               const choice_request& request) {
    const base::instant now = context.now();
    const auto rules = fleet_rules_of(context.settings);
    auto all = fleet::candidates(context.state.fleet, request.pool, now, rules, request.tried);
    if (all.empty()) {
        return std::nullopt;
    }
    if (request.prompt != nullptr && !request.prompt->model.empty()) {
        return choose_for_prompt(context, request, all);
    }
    if (request.suspect) {
        keep_safest(context, all);
    }
    const auto* target =
        fleet::least_loaded(all, context.settings.zone, request.number, now, rules);
    upstream_choice choice;
    choice.id = target->listed.id;
    choice.incarnation = target->listed.incarnation;
    choice.address = target->listed.address;
    choice.why = "least_loaded";
    return choice;
}

pool_count count_pool(const entry_context& context, const base::pool_id& pool) {
    const base::instant now = context.now();
    pool_count count;
    for (const auto& [id, one] : context.state.fleet.members) {
        if (one.listed.pool != pool || !fleet::is_available(one)) {
            continue;
        }
        ++count.listed;
        count.fit += fleet::is_eligible(one, now) ? 1 : 0;
        count.busy += now < fleet::unavailable_until(one) ? 1 : 0;
        count.suspected += fleet::is_suspected(one, now) ? 1 : 0;
    }
    return count;
}

base::milliseconds when_free(const entry_context& context, const base::pool_id& pool) {
    constexpr base::milliseconds unknown{250};
    // Callers come back once or twice at most; an upstream in change takes at least this long.
    constexpr base::milliseconds soonest{150};
    const base::instant now = context.now();
    std::optional<base::milliseconds> wait;
    for (const auto& [id, one] : context.state.fleet.members) {
        if (one.listed.pool != pool || !fleet::is_available(one)) {
            continue;
        }
        const auto until =
            std::max({one.busy_until, one.health.ejected_until, one.suspected_until});
        const auto left = std::chrono::duration_cast<base::milliseconds>(until - now);
        const auto paused = std::chrono::ceil<base::milliseconds>(one.pause_until - now);
        const auto mine = std::max(std::clamp(left, soonest, unknown), paused);
        wait = wait ? std::min(*wait, mine) : mine;
    }
    return wait.value_or(unknown);
}

} // namespace camphorrail::proxy
