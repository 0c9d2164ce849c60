#include "proxy/upstream_choice.h"

#include "base/hash.h"
#include "kvcache/overload.h"

#include <algorithm>
#include <map>

namespace camphorrail::proxy {

namespace {

// From here on an answer made on outdated weights is worth less to its caller.
constexpr base::milliseconds outdated_free{1300};
// While upstreams change weights one after the other, the first ones would take the whole load.
// Where a request would wait for longer than this part of its target, other weights are tried: an
// outdated answer loses a fifth of its worth, a late one more than half.
constexpr double busy_share = 0.3;

// A save takes the request's own part along, which nobody asks for again; so short prefixes are not
// worth one, and a prefix is saved again only when the store has probably dropped it. Over a calm
// day this halves the tokens that are read again compared with saving at every request. All entries
// together save a prefix about once in ten seconds, however many they are: with each doing so by
// itself, twenty entries filled the store and its link with copies.
constexpr std::int64_t least_saved_tokens = 500;
constexpr base::seconds save_again_an_entry{10};
constexpr std::int64_t savers = 3;

bool wants_save(const entry_context& context, const kvcache::prompt_chain& chain,
                std::uint64_t number) {
    if (context.state.kv_store_down || chain.shared_tokens() < least_saved_tokens) {
        return false;
    }
    const std::int64_t entries = std::max(context.state.entries, std::int64_t{1});
    const auto turn =
        static_cast<std::int64_t>(base::mix(number, base::stable_hash(context.settings.id.value)) %
                                  static_cast<std::uint64_t>(entries));
    return turn < savers && !kvcache::is_saved(context.state.cache, chain,
                                               context.now() - save_again_an_entry * entries);
}

using members = std::vector<fleet::member*>;

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

// The candidates that hold a version, newest version first, without those that are outdated for too
// long.
using weights_groups = std::map<std::int64_t, members, std::greater<>>;

weights_groups by_weights(const members& all, const base::model_id& model,
                          const weights_history& history, base::instant now, base::micros longest) {
    weights_groups groups;
    for (auto* one : all) {
        const std::int64_t version = fleet::weights_of(*one, model);
        const auto since = outdated_since(history, version);
        if (version > 0 && (since > now || now - since < longest)) {
            groups[version].push_back(one);
        }
    }
    return groups;
}

// Which weights to try first. As long as outdated ones cost nothing, they are: their engines hold
// the prompts, while every prompt is read anew on the newest ones, few of which are ready yet.
std::vector<std::int64_t> preference(const weights_groups& groups, const weights_history& history,
                                     base::instant now) {
    std::vector<std::int64_t> free;
    std::vector<std::int64_t> others;
    for (const auto& [weights, group] : groups) {
        const auto since = outdated_since(history, weights);
        const bool costs_nothing = since <= now && now - since < outdated_free;
        (costs_nothing ? free : others).push_back(weights);
    }
    free.insert(free.end(), others.begin(), others.end());
    return free;
}

double waiting_ms(const entry_context& context, const fleet::member& one) {
    return kvcache::reading_ms(one, context.now(), fleet_rules_of(context.settings));
}

struct prompt_placement {
    std::int64_t weights = 0;
    std::string salt;
    kvcache::prompt_chain chain;
    kvcache::placement where;
};

prompt_placement place_in(entry_context& context, const choice_request& request,
                          std::int64_t weights, const members& group) {
    prompt_placement made;
    made.weights = weights;
    made.salt = kvcache::make_salt(request.prompt->model, weights, request.isolated_team);
    made.chain = kvcache::make_chain(made.salt, request.prompt->parts);
    const std::string store =
        context.state.kv_store_down ? std::string() : routes::kv_store_of(*context.state.config);
    made.where = kvcache::place(group, pool_members(context.state.fleet, request.pool), made.chain,
                                context.state.cache, store, context.now(),
                                fleet_rules_of(context.settings), {});
    return made;
}

std::optional<prompt_placement> place_prompt(entry_context& context, const choice_request& request,
                                             const members& all) {
    const base::instant now = context.now();
    const auto& history = history_of(context.state, request.prompt->model);
    const auto groups =
        by_weights(all, request.prompt->model, history, now, longest_outdated(context.settings));
    const auto order = preference(groups, history, now);
    std::optional<prompt_placement> best;
    for (const std::int64_t weights : order) {
        const double allowed = busy_share * static_cast<double>(request.target.count());
        if (best && waiting_ms(context, *best->where.target) <= allowed) {
            break;
        }
        auto made = place_in(context, request, weights, groups.at(weights));
        if (!best || waiting_ms(context, *made.where.target) <
                         waiting_ms(context, *best->where.target) / 2) {
            best = std::move(made);
        }
    }
    return best;
}

upstream_choice of_prompt(const entry_context& context, prompt_placement&& made,
                          const choice_request& request) {
    upstream_choice choice;
    choice.id = made.where.target->listed.id;
    choice.address = made.where.target->listed.address;
    choice.weights = made.weights;
    choice.cache_salt = std::move(made.salt);
    choice.fetch_from = std::move(made.where.fetch_from);
    choice.to_read = made.where.to_read;
    choice.why = made.where.is_home ? "home" : "least_cost";
    if (wants_save(context, made.chain, request.draw)) {
        choice.save_to = routes::kv_store_of(*context.state.config);
    }
    choice.unread_there = fleet::all_unread_tokens(*made.where.target, context.now(),
                                                   fleet_rules_of(context.settings));
    choice.behind = kvcache::gives_way(waiting_ms(context, *made.where.target), request.target);
    choice.chain = std::move(made.chain);
    return choice;
}

} // namespace

std::optional<upstream_choice> choose_upstream(entry_context& context,
                                               const choice_request& request) {
    const base::instant now = context.now();
    const auto rules = fleet_rules_of(context.settings);
    const auto all =
        fleet::candidates(context.state.fleet, request.pool, now, rules, request.tried);
    if (all.empty()) {
        return std::nullopt;
    }
    if (request.prompt != nullptr && !request.prompt->model.empty()) {
        auto made = place_prompt(context, request, all);
        return made ? std::optional(of_prompt(context, std::move(*made), request)) : std::nullopt;
    }
    const auto* target =
        fleet::least_loaded(all, context.settings.zone, request.number, now, rules);
    upstream_choice choice;
    choice.id = target->listed.id;
    choice.address = target->listed.address;
    choice.why = "least_loaded";
    return choice;
}

pool_count count_pool(const entry_context& context, const base::pool_id& pool) {
    const base::instant now = context.now();
    pool_count count;
    for (const auto& [id, one] : context.state.fleet.members) {
        if (one.listed.pool != pool || !fleet::is_listed(one)) {
            continue;
        }
        ++count.listed;
        count.fit += fleet::is_fit(one, now) ? 1 : 0;
        count.busy += now < one.busy_until ? 1 : 0;
        count.ejected += membership::usable(one.health, now) ? 0 : 1;
    }
    return count;
}

base::milliseconds when_free(const entry_context& context, const base::pool_id& pool) {
    constexpr base::milliseconds unknown{250};
    // Callers come back once or twice at most; an upstream in change takes at least this long.
    constexpr base::milliseconds soonest{150};
    const base::instant now = context.now();
    base::milliseconds wait = unknown;
    for (const auto& [id, one] : context.state.fleet.members) {
        if (one.listed.pool != pool || !fleet::is_listed(one)) {
            continue;
        }
        const auto until = std::max(one.busy_until, one.health.ejected_until);
        const auto left = std::chrono::duration_cast<base::milliseconds>(until - now);
        wait = std::min(wait, std::max(left, soonest));
    }
    return wait;
}

} // namespace camphorrail::proxy
