#include "entry/router_state.h"

namespace camphorrail::entry {

namespace {

template <class Action>
void for_each_view(router_state& state, const base::upstream_id& id, Action action) {
    for (auto& [name, pool] : state.pools) {
        if (auto* view = routing::find(pool, id)) {
            action(pool, *view);
        }
    }
}

} // namespace

void follow(router_state& state, const config::directory& tables) {
    std::erase_if(state.pools,
                  [&tables](const auto& item) { return tables.pools.count(item.first) == 0; });
    for (const auto& [name, upstreams] : tables.pools) {
        std::vector<base::upstream_id> ids;
        std::vector<base::availability_zone> zones;
        for (const auto& item : upstreams) {
            ids.push_back(item.id);
            zones.push_back(item.zone);
        }
        routing::set_members(state.pools[name], ids, zones);
    }
}

void note_load(router_state& state, const base::upstream_id& from, const wire::load_report& load,
               base::instant now) {
    if (load.prefill_us_per_token <= 0) {
        return; // a message that carries no report
    }
    for_each_view(state, from, [&](routing::pool_view& pool, routing::upstream_view& view) {
        view.health.draining = load.leaving;
        routing::record_load(pool, from, base::micros(load.wait_us), load.prefill_us_per_token,
                             load.engine_incarnation, now);
    });
}

void note_failure(router_state& state, const base::upstream_id& at, base::instant now) {
    for_each_view(state, at, [&](routing::pool_view&, routing::upstream_view& view) {
        membership::record_failure(view.health, now, state.rules.health);
    });
}

void note_listed(router_state& state, const base::upstream_id& vm, bool leaving) {
    for_each_view(state, vm, [&](routing::pool_view&, routing::upstream_view& view) {
        view.health.listed_draining = leaving;
    });
}

} // namespace camphorrail::entry
