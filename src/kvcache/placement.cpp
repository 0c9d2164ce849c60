#include "kvcache/placement.h"

#include "kvcache/lanes.h"
#include "kvcache/prompt_sources.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

// Number of engines of the prompt's lane that are considered. Short prompts lose little away from
// home.
constexpr std::size_t long_prompt_candidates = 3;
constexpr std::size_t short_prompt_candidates = 4;
// Maximum rank penalty, which also applies to engines of the other lane.
constexpr std::size_t max_rank_penalty_steps = 2;
// Number of engines of the other lane that are considered, in case the prompt's own lane is full.
constexpr std::size_t other_lane_candidates = 2;
// A save delays later fetches from the same store, so it is not ordered if it would have to wait
// for longer than this.
constexpr double max_save_wait_ms = 300.0;
// Time until a save is visible in the store's events; it is not ordered again before that.
constexpr base::seconds save_visibility_delay{2};
// Interval after which a prompt is saved again if the store's contents are unknown.
constexpr base::seconds unknown_store_save_interval{20};

// Expected time until the prompt gets a slot if more than `threshold` of an engine's slots are
// taken.
double slot_wait_ms(const fleet::member& one, const fleet::workload& work, double threshold,
                    const prompt_request& request, const placement_costs& costs) {
    const auto slots = static_cast<double>(std::max<std::int64_t>(one.listed.slots, 1));
    const double excess = std::max(0.0, static_cast<double>(work.in_flight) - threshold * slots);
    const double responses =
        request.rank ? queueing::responses_awaited(fleet::work_ahead(work, request.rank), excess)
                     : excess;
    return responses * costs.response_ms / slots;
}

// Expected time until there is room for the prompt if more than `threshold` of an engine's memory
// is taken.
double memory_wait_ms(const fleet::workload& work, double threshold, const prompt_request& request,
                      const placement_costs& costs) {
    if (request.pool.kv_capacity_tokens <= 0) {
        return 0.0;
    }
    const double available = threshold * static_cast<double>(request.pool.kv_capacity_tokens);
    // Unread prompts that are admitted later take no memory before this one.
    const std::int64_t behind =
        work.pending_prefill_tokens - fleet::work_ahead(work, request.rank).unread_tokens;
    const auto required =
        static_cast<double>(work.kv_tokens - behind + request.chain.total_tokens());
    const double turnover =
        costs.memory_turnover_ms / static_cast<double>(request.pool.kv_capacity_tokens);
    return std::max(0.0, required - available) * turnover;
}

// Factor of an engine's processing times at the moment.
double time_factor(const fleet::member& one, const placement_context& view) {
    return speed::time_factor(one.speed, view.now, {});
}

std::int64_t queued_prefill_tokens_at(const fleet::member& one, const prompt_request& request,
                                      const placement_context& view) {
    const double token_ms =
        time_factor(one, view) * latency::prefill_ms(view.model, {1.0, 0.0, 0.0});
    return fleet::estimate_pending_prefill_tokens(
        one, view.now, token_ms > 0.0 ? 1.0 / token_ms : 0.0, request.rank);
}

// Expected time that the prompt waits in an engine's queue before its prefill.
double expected_wait_ms(const fleet::member& one, const prompt_request& request,
                        const placement_context& view) {
    const auto work = fleet::total_work(one, view.now);
    const latency::prefill_work queued{
        0.0, static_cast<double>(queued_prefill_tokens_at(one, request, view)), 0.0};
    return time_factor(one, view) * (latency::prefill_ms(view.model, queued) +
                                     slot_wait_ms(one, work, 1.0, request, view.costs) +
                                     memory_wait_ms(work, 1.0, request, view.costs));
}

// Cost of serving a prompt away from its home, per rank step.
double off_home_step_ms(const prompt_request& request, const placement_context& view) {
    const latency::prefill_work one_token{1.0, 0.0, 0.0};
    const double token_ms =
        view.costs.off_home_fetch_factor * fetch_ms_per_token(request.pool) +
        view.costs.off_home_prefill_share * latency::prefill_ms(view.model, one_token);
    return token_ms * static_cast<double>(request.chain.shared_tokens());
}

// Rank of an engine for the prompt, capped; 0 for its home. Each step adds the cost of the shared
// tokens once more: the further away a prompt is served, the fewer other requests find its prefix
// in the cache. With the same cost for all ranks, 7 % more shared tokens were prefilled again at
// peak load; considering only the first two engines reduced them by 10 %, but rejected more prompts
// under lighter load.
std::size_t rank_penalty_steps(const fleet::member& one,
                               const std::vector<const fleet::member*>& by_prompt) {
    const auto index = std::find(by_prompt.begin(), by_prompt.end(), &one) - by_prompt.begin();
    return std::min(static_cast<std::size_t>(index), max_rank_penalty_steps);
}

double outdated_penalty_ms(const prompt_request& request, const placement_costs& costs) {
    const double targets =
        is_long_prompt(request.chain) ? costs.outdated_long_penalty : costs.outdated_short_penalty;
    return targets * static_cast<double>(request.target.count());
}

// A candidate with the expected times and the cost of serving the prompt there.
struct placement_option {
    const candidate* target = nullptr;
    prompt_source source;
    std::int64_t prefill_tokens = 0;
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    double cost_ms = 0.0;
};

// Estimates the prompt's own times at the candidate: fetching cached parts, and prefilling the
// rest.
void estimate_own_time(placement_option& option, const prompt_request& request,
                       const placement_context& view, const routes::kv_store* store) {
    const auto& chain = request.chain;
    option.prefill_tokens = chain.total_tokens();
    if (chain.shared_tokens() >= min_tracked_tokens) {
        const std::int64_t held = cached_tokens_at(*option.target, request, view);
        option.source = best_source(*option.target, request, view, store, held);
        option.fetch_ms = option.source.tokens > held ? option.source.fetch_ms : 0.0;
        option.prefill_tokens -= std::max(held, option.source.tokens);
    }
    const auto prefill_tokens = static_cast<double>(option.prefill_tokens);
    const auto total_tokens = static_cast<double>(chain.total_tokens());
    option.first_byte_ms =
        option.fetch_ms + option.wait_ms +
        time_factor(*option.target->engine, view) *
            latency::expected_first_byte_ms(
                view.model,
                {prefill_tokens, 0.0, latency::attention_pairs(prefill_tokens, total_tokens)});
}

placement_option evaluate_candidate(const candidate& one, std::size_t steps,
                                    const prompt_request& request, const placement_context& view,
                                    const routes::kv_store* store) {
    const auto& costs = view.costs;
    const auto work = fleet::total_work(*one.engine, view.now);
    placement_option option;
    option.target = &one;
    option.wait_ms = expected_wait_ms(*one.engine, request, view);
    estimate_own_time(option, request, view, store);
    const bool misses_shared =
        option.prefill_tokens > request.chain.unshared_tokens || option.fetch_ms > 0.0;
    double cost = option.first_byte_ms;
    const double factor = time_factor(*one.engine, view);
    cost += factor * slot_wait_ms(*one.engine, work, costs.slot_pressure_threshold, request, costs);
    cost += factor * memory_wait_ms(work, costs.memory_pressure_threshold, request, costs);
    cost += factor * static_cast<double>(work.in_flight) * costs.running_request_ms;
    cost += one.outdated ? outdated_penalty_ms(request, costs) : 0.0;
    cost += misses_shared ? static_cast<double>(steps) * off_home_step_ms(request, view) : 0.0;
    if (!in_lane(*one.engine, request.chain)) {
        cost += is_long_prompt(request.chain) ? costs.long_in_short_lane_ms
                                              : costs.short_in_long_lane_ms;
    }
    option.cost_ms = cost;
    return option;
}

// Selects the candidates to consider: those that rank highest in the prompt's lane, and a few of
// the other lane.
std::vector<const candidate*> select_candidates(const std::vector<candidate>& candidates,
                                                const std::vector<const fleet::member*>& by_prompt,
                                                const prompt_chain& chain) {
    std::vector<const candidate*> selected;
    const std::size_t limit =
        is_long_prompt(chain) ? long_prompt_candidates : short_prompt_candidates;
    for (const auto* engine : by_prompt) {
        if (selected.size() == limit) {
            break;
        }
        const auto found =
            std::find_if(candidates.begin(), candidates.end(),
                         [engine](const auto& each) { return each.engine == engine; });
        if (found != candidates.end()) {
            selected.push_back(&*found);
        }
    }
    std::vector<const candidate*> other_lane;
    for (const auto& each : candidates) {
        if (!in_lane(*each.engine, chain)) {
            other_lane.push_back(&each);
        }
    }
    const std::uint64_t key = chain.levels.empty() ? 0 : chain.levels.back().key;
    std::sort(other_lane.begin(), other_lane.end(), [key](const auto* left, const auto* right) {
        const auto score = [key](const candidate& one) {
            return routing::score(one.engine->id_hash, key);
        };
        return score(*left) > score(*right);
    });
    for (std::size_t index = 0; index < std::min(other_lane.size(), other_lane_candidates);
         ++index) {
        selected.push_back(other_lane[index]);
    }
    if (selected.empty()) {
        // The remaining candidates have just vanished from the list and belong to no lane.
        for (const auto& each : candidates) {
            selected.push_back(&each);
        }
    }
    return selected;
}

bool needs_save(const placement& option, const prompt_request& request,
                const placement_context& view, const routes::kv_store& store) {
    const auto& chain = request.chain;
    // A save includes the request's unshared part, which no other request needs. Without this
    // limit, stores evicted shared parts in favor of unshared ones; with a lower limit, most saves
    // came too late.
    if (chain.unshared_tokens > chain.shared_tokens()) {
        return false;
    }
    const auto last_saved =
        last_save_time(view.cache, cached_level_key(chain.levels.back().key, option.target.weights,
                                                    chain.shared_space));
    if (!is_up_to_date(view.stored_prompts, store.address, view.now)) {
        return !last_saved || view.now - *last_saved > unknown_store_save_interval;
    }
    if (transfer_wait_ms(view.stored_prompts, store.address, view.now) > max_save_wait_ms) {
        return false;
    }
    const bool is_stored = stored_tokens(view.stored_prompts, store.address, chain, option.salt) ==
                           chain.shared_tokens();
    return !is_stored && (!last_saved || view.now - *last_saved > save_visibility_delay);
}

} // namespace

placement place(const std::vector<candidate>& candidates, const prompt_request& request,
                const placement_context& view) {
    const auto& chain = request.chain;
    const auto by_prompt =
        rank_engines(request.pool_members, chain, view.cache.outer_level_popularity, view.now, {});
    const fleet::member* home = by_prompt.empty() ? nullptr : by_prompt.front();
    const bool is_tracked = chain.shared_tokens() >= min_tracked_tokens;
    const auto* store = is_tracked ? select_store(request, view, home) : nullptr;
    placement_option best;
    for (const auto* each : select_candidates(candidates, by_prompt, chain)) {
        auto option = evaluate_candidate(*each, rank_penalty_steps(*each->engine, by_prompt),
                                         request, view, store);
        if (best.target == nullptr || option.cost_ms < best.cost_ms) {
            best = std::move(option);
        }
    }
    placement chosen;
    chosen.target = *best.target;
    chosen.salt = make_salt(request.scope, best.target->weights);
    chosen.fetch_from = std::move(best.source.address);
    chosen.prefill_tokens = best.prefill_tokens;
    chosen.queued_prefill_tokens = queued_prefill_tokens_at(*best.target->engine, request, view);
    chosen.wait_ms = best.wait_ms;
    chosen.fetch_ms = best.fetch_ms;
    chosen.first_byte_ms = best.first_byte_ms;
    chosen.is_home = best.target->engine == home;
    if (store != nullptr && needs_save(chosen, request, view, *store)) {
        chosen.save_to = store->address;
    }
    return chosen;
}

} // namespace camphorrail::kvcache
