#include "replay/policy.h"

#include <map>

namespace camphorrail::replay {

namespace {

struct entry_state {
    std::vector<routing::pool_view> pools;
    routing::affinity_table affinity;
    base::random_source random;
};

struct router_policy {
    std::vector<entry_state> entries;
    routing::routing_rules rules;
    std::vector<std::vector<base::upstream_id>> names;

    routing::pool_view& pool_of(std::size_t entry, std::size_t pool) {
        return this->entries[entry].pools[pool];
    }
};

std::shared_ptr<router_policy> make_state(const trace& recorded,
                                          const routing::routing_rules& rules) {
    auto state = std::make_shared<router_policy>();
    state->rules = rules;
    for (const auto& pool : recorded.pools) {
        std::vector<base::upstream_id> ids;
        for (std::int64_t engine = 0; engine < pool.engines.count; ++engine) {
            ids.push_back({pool.name + "-" + std::to_string(engine)});
        }
        state->names.push_back(std::move(ids));
    }
    for (std::size_t entry = 0; entry < recorded.entries; ++entry) {
        entry_state made;
        made.random.state = entry + 1;
        for (const auto& ids : state->names) {
            routing::pool_view view;
            routing::set_members(view, ids, std::vector<base::availability_zone>(ids.size()));
            made.pools.push_back(std::move(view));
        }
        state->entries.push_back(std::move(made));
    }
    return state;
}

} // namespace

policy make_router_policy(const trace& recorded, const routing::routing_rules& rules) {
    const auto state = make_state(recorded, rules);
    policy made;
    made.name = "camphorrail";
    made.choose = [state](const question& asked) -> std::optional<chosen_engine> {
        routing::routing_request request{asked.chain, {}, !asked.passed_on};
        for (const std::size_t engine : asked.tried) {
            request.excluded.push_back(state->names[asked.pool][engine]);
        }
        auto& entry = state->entries[asked.entry];
        auto& pool = entry.pools[asked.pool];
        const auto chosen = routing::choose_upstream(pool, entry.affinity, request, asked.now,
                                                     entry.random, state->rules);
        if (!chosen) {
            return std::nullopt;
        }
        chosen_engine made{chosen->index, chosen->is_probe, std::nullopt, chosen->basis};
        const auto& id = state->names[asked.pool][chosen->index];
        if (const auto home = routing::home_to_notify(pool, entry.affinity, id, *asked.chain,
                                                      asked.now, state->rules)) {
            made.note = home_note{*home, routing::shared_level(*asked.chain)->key,
                                  pool.hashes[chosen->index]};
        }
        routing::record_sent(pool, entry.affinity, *chosen, *asked.chain, asked.now);
        return made;
    };
    made.note_load = [state](const load_news& news) {
        routing::record_load(state->pool_of(news.entry, news.pool),
                             state->names[news.pool][news.engine], news.wait,
                             news.prefill_us_per_token, news.incarnation, news.now);
    };
    made.note_passed = [state](const passed_news& news) {
        auto& entry = state->entries[news.entry];
        for (const std::uint64_t holder : news.holders) {
            routing::record_reported_holder(entry.pools[news.pool], entry.affinity, news.level_key,
                                            holder, news.now);
        }
    };
    made.note_served = [state](const served_news& news) {
        auto& entry = state->entries[news.entry];
        const auto& id = state->names[news.pool][news.engine];
        auto& pool = entry.pools[news.pool];
        routing::record_served(pool, entry.affinity, id, *news.chain, news.basis, news.cached,
                               news.now, state->rules);
        membership::record_success(routing::find(pool, id)->health);
    };
    made.note_not_taken = [state](const question& asked, std::size_t engine) {
        auto& entry = state->entries[asked.entry];
        routing::record_rejected(entry.pools[asked.pool], entry.affinity,
                                 state->names[asked.pool][engine], *asked.chain);
    };
    made.note_failure = [state](const question& asked, std::size_t engine) {
        auto& pool = state->pool_of(asked.entry, asked.pool);
        membership::record_failure(pool.upstreams[engine].health, asked.now, state->rules.health);
    };
    return made;
}

} // namespace camphorrail::replay
