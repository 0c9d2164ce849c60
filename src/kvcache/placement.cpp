#include "kvcache/placement.h"

#include "kvcache/lanes.h"
#include "kvcache/prompt_sources.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

// Engines of the prompt's lane that are looked at. Short prompts have little to lose away from
// home.
constexpr std::size_t looked_at_long = 3;
constexpr std::size_t looked_at_short = 4;
// An engine of the other lane counts as so many steps from a prompt's home.
constexpr std::size_t most_steps_away = 2;
// Engines of the other lane that are looked at, for when the prompt's own is full.
constexpr std::size_t looked_at_beside = 2;
// A save waits for nobody, but whatever is fetched after it waits for it.
constexpr double longest_save_wait_ms = 300.0;
// A save shows in the store's events within this time; until then it is not ordered again.
constexpr base::seconds save_shows{2};
// Where no store's contents are known, a prompt is saved again after this long.
constexpr base::seconds save_again_unknown{20};

// How long until one of an engine's slots is free, when more than a part of them are taken.
double slots_ms(const fleet::member& one, const fleet::workload& work, double part,
                const placement_costs& costs) {
    const auto slots = static_cast<double>(std::max<std::int64_t>(one.listed.slots, 1));
    const double over = std::max(0.0, static_cast<double>(work.in_flight) - part * slots);
    return over * costs.answer_ms / slots;
}

// How long until there is room for one more prompt, when more than a part of the memory is taken.
double memory_ms(const fleet::workload& work, double part, const prompt_request& request,
                 const placement_costs& costs) {
    if (request.pool.kv_capacity_tokens <= 0) {
        return 0.0;
    }
    const double room = part * static_cast<double>(request.pool.kv_capacity_tokens);
    const auto wanted = static_cast<double>(work.kv_tokens + request.chain.all_tokens());
    const double turnover =
        costs.memory_turnover_ms / static_cast<double>(request.pool.kv_capacity_tokens);
    return std::max(0.0, wanted - room) * turnover;
}

std::int64_t unread_at(const fleet::member& one, const placement_view& view) {
    const double token_ms = latency::reading_ms(view.model, {1.0, 0.0, 0.0});
    return fleet::estimate_pending_prefill_tokens(one, view.now,
                                                  token_ms > 0.0 ? 1.0 / token_ms : 0.0);
}

// How long the prompt will probably wait at an engine before it is read.
double expected_wait_ms(const fleet::member& one, const prompt_request& request,
                        const placement_view& view) {
    const auto work = fleet::total_work(one, view.now);
    const latency::reading_work ahead{0.0, static_cast<double>(unread_at(one, view)), 0.0};
    return latency::reading_ms(view.model, ahead) + slots_ms(one, work, 1.0, view.costs) +
           memory_ms(work, 1.0, request, view.costs);
}

// What it costs to serve a prompt away from its home, for each step.
double away_ms(const prompt_request& request, const placement_view& view) {
    const latency::reading_work read_again{1.0, 0.0, 0.0};
    const double token_ms =
        view.costs.fetches_away * fetch_token_ms(request.pool) +
        view.costs.read_away_share * latency::reading_ms(view.model, read_again);
    return token_ms * static_cast<double>(request.chain.shared_tokens());
}

// How many engines come before this one for the prompt, so 0 for its home. Each step costs the
// cached parts once more: the further a prompt strays, the fewer others find there what it has
// read. With the same cost for all steps, 7 in 100 more shared tokens were read again on ten days
// at the peak; with the first two engines alone 10 in 100 fewer, but more was refused on lighter
// days.
std::size_t steps_away(const fleet::member& one,
                       const std::vector<const fleet::member*>& by_prompt) {
    const auto at = std::find(by_prompt.begin(), by_prompt.end(), &one) - by_prompt.begin();
    return std::min(static_cast<std::size_t>(at), most_steps_away);
}

double outdated_ms(const prompt_request& request, const placement_costs& costs) {
    const double targets = is_long(request.chain) ? costs.outdated_long : costs.outdated_short;
    return targets * static_cast<double>(request.target.count());
}

// A candidate with what serving the prompt there takes and costs.
struct offer {
    const candidate* target = nullptr;
    prompt_source source;
    std::int64_t to_read = 0;
    double wait_ms = 0.0;
    double fetch_ms = 0.0;
    double first_byte_ms = 0.0;
    double cost_ms = 0.0;
};

// What the prompt itself takes there: what is fetched, and what is read.
void find_own_time(offer& made, const prompt_request& request, const placement_view& view,
                   const routes::kv_store* store) {
    const auto& chain = request.chain;
    made.to_read = chain.all_tokens();
    if (chain.shared_tokens() >= least_tracked_tokens) {
        const std::int64_t held = held_by(*made.target, request, view);
        made.source = best_source(*made.target, request, view, store, held);
        made.fetch_ms = made.source.tokens > held ? made.source.fetch_ms : 0.0;
        made.to_read -= std::max(held, made.source.tokens);
    }
    const auto to_read = static_cast<double>(made.to_read);
    const auto all = static_cast<double>(chain.all_tokens());
    made.first_byte_ms = made.fetch_ms + made.wait_ms +
                         latency::expected_first_byte_ms(
                             view.model, {to_read, 0.0, latency::attention_pairs(to_read, all)});
}

offer make_offer(const candidate& one, std::size_t steps, const prompt_request& request,
                 const placement_view& view, const routes::kv_store* store) {
    const auto& costs = view.costs;
    const auto work = fleet::total_work(*one.engine, view.now);
    offer made;
    made.target = &one;
    made.wait_ms = expected_wait_ms(*one.engine, request, view);
    find_own_time(made, request, view, store);
    const bool lacks_shared = made.to_read > request.chain.own_tokens || made.fetch_ms > 0.0;
    double cost = made.first_byte_ms;
    cost += slots_ms(*one.engine, work, costs.nearly_full, costs);
    cost += memory_ms(work, costs.nearly_full_memory, request, costs);
    cost += static_cast<double>(work.in_flight) * costs.running_ms;
    cost += one.outdated ? outdated_ms(request, costs) : 0.0;
    cost += lacks_shared ? static_cast<double>(steps) * away_ms(request, view) : 0.0;
    if (!in_lane(*one.engine, request.chain)) {
        cost += is_long(request.chain) ? costs.long_among_short_ms : costs.short_among_long_ms;
    }
    made.cost_ms = cost;
    return made;
}

// The candidates that are looked at: those of the lane that come first for the prompt, and a few of
// the other lane.
std::vector<const candidate*> few_of(const std::vector<candidate>& candidates,
                                     const std::vector<const fleet::member*>& by_prompt,
                                     const prompt_chain& chain) {
    std::vector<const candidate*> few;
    const std::size_t most = is_long(chain) ? looked_at_long : looked_at_short;
    for (const auto* engine : by_prompt) {
        if (few.size() == most) {
            break;
        }
        const auto found =
            std::find_if(candidates.begin(), candidates.end(),
                         [engine](const auto& each) { return each.engine == engine; });
        if (found != candidates.end()) {
            few.push_back(&*found);
        }
    }
    std::vector<const candidate*> beside;
    for (const auto& each : candidates) {
        if (!in_lane(*each.engine, chain)) {
            beside.push_back(&each);
        }
    }
    const std::uint64_t key = chain.levels.empty() ? 0 : chain.levels.back().key;
    std::sort(beside.begin(), beside.end(), [key](const auto* left, const auto* right) {
        const auto score = [key](const candidate& one) {
            return routing::score(one.engine->id_hash, key);
        };
        return score(*left) > score(*right);
    });
    for (std::size_t at = 0; at < std::min(beside.size(), looked_at_beside); ++at) {
        few.push_back(beside[at]);
    }
    if (few.empty()) {
        // All that is left has vanished from the list a moment ago and is in no lane.
        for (const auto& each : candidates) {
            few.push_back(&each);
        }
    }
    return few;
}

bool wants_save(const placement& made, const prompt_request& request, const placement_view& view,
                const routes::kv_store& store) {
    const auto& chain = request.chain;
    // A save takes the request's own part along, which nobody asks for again; with larger ones the
    // stores dropped shared parts for them, with smaller ones alone most saves came too late.
    if (chain.own_tokens > chain.shared_tokens()) {
        return false;
    }
    const auto saved =
        last_save(view.beliefs, key_at(chain.levels.back().key, made.target.weights));
    if (!is_known(view.copies, store.address, view.now)) {
        return !saved || view.now - *saved > save_again_unknown;
    }
    if (transfer_wait_ms(view.copies, store.address, view.now) > longest_save_wait_ms) {
        return false;
    }
    const bool is_there =
        kept_tokens(view.copies, store.address, chain, made.salt) == chain.shared_tokens();
    return !is_there && (!saved || view.now - *saved > save_shows);
}

} // namespace

placement place(const std::vector<candidate>& candidates, const prompt_request& request,
                const placement_view& view) {
    const auto& chain = request.chain;
    const auto by_prompt =
        engines_by_prompt(request.pool_members, chain, view.beliefs.outer_levels, view.now, {});
    const fleet::member* home = by_prompt.empty() ? nullptr : by_prompt.front();
    const bool is_tracked = chain.shared_tokens() >= least_tracked_tokens;
    const auto* store = is_tracked ? store_of(request, view, home) : nullptr;
    offer best;
    for (const auto* each : few_of(candidates, by_prompt, chain)) {
        auto made = make_offer(*each, steps_away(*each->engine, by_prompt), request, view, store);
        if (best.target == nullptr || made.cost_ms < best.cost_ms) {
            best = std::move(made);
        }
    }
    placement chosen;
    chosen.target = *best.target;
    chosen.salt = make_salt(request.space, best.target->weights);
    chosen.fetch_from = std::move(best.source.address);
    chosen.to_read = best.to_read;
    chosen.unread_there = unread_at(*best.target->engine, view);
    chosen.wait_ms = best.wait_ms;
    chosen.fetch_ms = best.fetch_ms;
    chosen.first_byte_ms = best.first_byte_ms;
    chosen.is_home = best.target->engine == home;
    if (store != nullptr && wants_save(chosen, request, view, *store)) {
        chosen.save_to = store->address;
    }
    return chosen;
}

} // namespace camphorrail::kvcache
