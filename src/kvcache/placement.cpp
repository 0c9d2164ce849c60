#include "kvcache/placement.h"

#include "kvcache/lanes.h"
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
// An engine's memory turns over in one to two seconds at the peak, so it still holds what it read
// this recently. Later the store is the better source.
constexpr base::milliseconds surely_held{1500};
// Without a copy in the store, an engine that has read a prompt this recently may still hold it.
constexpr base::seconds perhaps_held{10};
// A save shows in the store's events within this time; until then it is not ordered again.
constexpr base::seconds save_shows{2};
// Where no store's contents are known, a prompt is saved again after this long.
constexpr base::seconds save_again_unknown{20};

// How long the prompts that wait there take to be read.
double reading_ms(const fleet::workload& work, const placement_costs& costs) {
    return static_cast<double>(work.unread_tokens) * costs.read_ms;
}

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
    if (request.pool.engine_tokens <= 0) {
        return 0.0;
    }
    const double room = part * static_cast<double>(request.pool.engine_tokens);
    const auto wanted = static_cast<double>(work.held_tokens + request.chain.all_tokens());
    return std::max(0.0, wanted - room) * costs.memory_ms;
}

// How long the prompt will probably wait at an engine before it is read. The sum counts as unread
// what turns out to be cached, and shared parts once for each prompt; prompts with a sum of 350 to
// 400 ms had their first byte 90 ms later in the median than those with a sum below 50 ms, and
// 400 ms later for one in four.
double expected_wait_ms(const fleet::member& one, const prompt_request& request,
                        const placement_view& view) {
    const auto work = fleet::all_work(one, view.now);
    constexpr double part_of_sum = 0.4;
    const double sum = reading_ms(work, view.costs) + slots_ms(one, work, 1.0, view.costs) +
                       memory_ms(work, 1.0, request, view.costs);
    return part_of_sum * sum;
}

// What it costs to serve a prompt away from its home.
double away_ms(const prompt_request& request, const placement_costs& costs) {
    constexpr double bits_a_byte = 8.0;
    constexpr double bits_a_ms_by_mbps = 1000.0;
    const auto& pool = request.pool;
    const bool known = pool.token_bytes > 0 && pool.link_mbps > 0;
    const double fetch_ms =
        known ? pool.token_bytes * bits_a_byte / (pool.link_mbps * bits_a_ms_by_mbps)
              : costs.fetch_ms;
    const double token_ms = costs.fetches_away * fetch_ms + costs.read_away_share * costs.read_ms;
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

double cost_ms(const candidate& one, std::size_t steps, const prompt_request& request,
               const placement_view& view) {
    const auto& costs = view.costs;
    const auto work = fleet::all_work(*one.engine, view.now);
    double cost = reading_ms(work, costs);
    cost += slots_ms(*one.engine, work, costs.nearly_full, costs);
    cost += memory_ms(work, costs.nearly_full_memory, request, costs);
    cost += static_cast<double>(work.in_flight) * costs.running_ms;
    cost += one.outdated ? costs.outdated_ms : 0.0;
    cost += static_cast<double>(steps) * away_ms(request, costs);
    if (!in_lane(*one.engine, request.chain)) {
        cost += is_long(request.chain) ? costs.long_among_short_ms : costs.short_among_long_ms;
    }
    return cost;
}

// The candidates that are looked at: those of the lane that come first for the prompt, and a few of
// the other lane.
std::vector<const candidate*> few_of(const std::vector<candidate>& candidates,
                                     const std::vector<const fleet::member*>& by_prompt,
                                     const prompt_chain& chain) {
    std::vector<const candidate*> few;
    const std::size_t most = is_long(chain) ? looked_at_long : looked_at_short;
    for (const auto* engine : by_prompt) {
        const auto found =
            std::find_if(candidates.begin(), candidates.end(),
                         [engine](const auto& each) { return each.engine == engine; });
        if (found != candidates.end() && few.size() < most) {
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

// The store that keeps a prompt: the one in the zone of its home, since moves between zones take
// twice as long; every entry and engine finds it there. Null where there is none.
const routes::kv_store* store_of(const std::vector<routes::kv_store>& stores,
                                 const kept_copies& copies, const fleet::member* home,
                                 const prompt_chain& chain) {
    std::vector<const routes::kv_store*> up;
    for (const auto& each : stores) {
        const auto known = copies.find(each.address);
        if (known != copies.end() && known->second.down) {
            continue;
        }
        if (home != nullptr && each.zone == home->listed.zone) {
            return &each;
        }
        up.push_back(&each);
    }
    return up.empty() ? nullptr : up[chain.levels.back().key % up.size()];
}

// A level's newest readings by which an engine may hold it.
const std::vector<cache_beliefs::reading>&
readings_at(const prompt_level& level, const candidate& target, const placement_view& view) {
    return readings_of(view.beliefs, key_at(level.key, target.weights));
}

// A member that can be asked for what it holds; null where it has left or fails.
const fleet::member* askable(const base::upstream_id& id, const prompt_request& request,
                             const placement_view& view) {
    const auto found = std::find_if(request.pool_members.begin(), request.pool_members.end(),
                                    [&](const auto* one) { return one->listed.id == id; });
    const bool can_ask = found != request.pool_members.end() && fleet::is_listed(**found) &&
                         membership::usable((*found)->health, view.now);
    return can_ask ? *found : nullptr;
}

// The address of the engine other than the target that read the level last, if it did so within
// `longest`; empty where there is none that can be asked.
std::string last_reader(const prompt_level& level, const prompt_request& request,
                        const placement_view& view, const candidate& target, base::micros longest) {
    for (const auto& reading : readings_at(level, target, view)) {
        if (reading.by == target.engine->listed.id || view.now - reading.at > longest) {
            continue;
        }
        if (const auto* reader = askable(reading.by, request, view)) {
            return reader->listed.address;
        }
    }
    return {};
}

bool reads_lately(const prompt_level& level, const candidate& target, const placement_view& view) {
    const auto& readings = readings_at(level, target, view);
    return std::any_of(readings.begin(), readings.end(), [&](const auto& reading) {
        return reading.by == target.engine->listed.id && view.now - reading.at <= surely_held;
    });
}

// Tokens of the prompt that the target has read lately itself.
std::int64_t held_by_target(const prompt_request& request, const candidate& target,
                            const placement_view& view) {
    const auto& levels = request.chain.levels;
    const auto innermost = std::find_if(levels.rbegin(), levels.rend(), [&](const auto& level) {
        return reads_lately(level, target, view);
    });
    return innermost == levels.rend() ? 0 : innermost->tokens;
}

// Whoever can hand over parts of a prompt, and how many tokens of it it surely has.
struct part_source {
    std::string address;
    std::int64_t tokens = 0;
};

// The best source for what the target does not hold. The store goes first where it holds all, which
// costs the engines nothing; away from home an engine that has just read the prompt does, since the
// engines' links together carry many times what the stores' do. Without either, others are asked on
// the chance, and at last an engine that has read the outer level alone.
part_source best_source(const placement& made, const prompt_request& request,
                        const placement_view& view, const routes::kv_store* store,
                        std::int64_t held) {
    const auto& inner = request.chain.levels.back();
    const auto& outer = request.chain.levels.front();
    const std::int64_t kept =
        store == nullptr ? 0 : kept_tokens(view.copies, store->address, request.chain, made.salt);
    const bool is_guess = store != nullptr && !is_known(view.copies, store->address, view.now);
    const auto reader_of = [&](const prompt_level& level, base::micros longest) {
        return last_reader(level, request, view, made.target, longest);
    };
    const auto just_read = reader_of(inner, surely_held);
    const bool store_first = made.is_home && kept == inner.tokens;
    if (!just_read.empty() && !store_first) {
        return {just_read, inner.tokens};
    }
    if (kept > 0 || is_guess) {
        return {store->address, kept};
    }
    const auto once_read = reader_of(inner, perhaps_held);
    if (!once_read.empty() || held > 0) {
        return {once_read, 0};
    }
    const auto outer_reader = reader_of(outer, surely_held);
    return {outer_reader, outer_reader.empty() ? 0 : outer.tokens};
}

void find_source(placement& made, const prompt_request& request, const placement_view& view,
                 const routes::kv_store* store) {
    const std::int64_t held = held_by_target(request, made.target, view);
    auto source = best_source(made, request, view, store, held);
    made.to_read = request.chain.all_tokens() - std::max(held, source.tokens);
    made.fetch_from = std::move(source.address);
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
    placement best;
    double best_ms = 0.0;
    for (const auto* each : few_of(candidates, by_prompt, chain)) {
        const bool is_home = each->engine == home;
        const double cost = cost_ms(*each, steps_away(*each->engine, by_prompt), request, view);
        if (best.target.engine == nullptr || cost < best_ms) {
            best.target = *each;
            best.is_home = is_home;
            best_ms = cost;
        }
    }
    best.salt = make_salt(request.space, best.target.weights);
    best.to_read = chain.all_tokens();
    best.wait_ms = expected_wait_ms(*best.target.engine, request, view);
    if (chain.shared_tokens() < least_tracked_tokens) {
        return best;
    }
    const auto* store = store_of(view.stores, view.copies, home, chain);
    find_source(best, request, view, store);
    if (store != nullptr && wants_save(best, request, view, *store)) {
        best.save_to = store->address;
    }
    return best;
}

} // namespace camphorrail::kvcache
