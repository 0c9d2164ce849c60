#include "config/directory.h"

#include "base/hash.h"

#include <algorithm>

namespace camphorrail::config {

namespace {

void add_callers(directory& tables, const team& owner) {
    const preset& rules = current_preset(tables.config);
    const auto override_share = rules.shares.find(owner.id.value);
    const double share =
        override_share == rules.shares.end() ? owner.share : override_share->second;
    for (const application& app : owner.applications) {
        for (const std::string& hash : app.key_hashes) {
            tables.callers_by_key_hash[hash] = {owner.id, app.name, app.priority,
                                                app.first_token_target, share};
        }
    }
}

} // namespace

directory make_directory(configuration config) {
    directory tables;
    tables.config = std::move(config);
    for (const team& owner : tables.config.teams) {
        add_callers(tables, owner);
    }
    for (const model& item : tables.config.models) {
        tables.weights[item.id] = item.weights;
    }
    for (const upstream& item : tables.config.upstreams) {
        if (item.state == upstream_state::draining) {
            continue;
        }
        for (const base::pool_id& pool : pools_of(item)) {
            tables.pools[pool].push_back(item);
        }
    }
    for (auto& [pool, upstreams] : tables.pools) {
        std::sort(upstreams.begin(), upstreams.end(),
                  [](const upstream& left, const upstream& right) { return left.id < right.id; });
    }
    return tables;
}

base::pool_id model_pool(const std::string& model) {
    return {"model:" + model};
}

base::pool_id service_pool(const std::string& service) {
    return {"service:" + service};
}

std::vector<base::pool_id> pools_of(const upstream& item) {
    std::vector<base::pool_id> pools;
    for (const std::string& served : item.serves) {
        pools.push_back(item.kind == upstream_kind::service ? service_pool(served)
                                                            : model_pool(served));
    }
    return pools;
}

std::vector<base::upstream_id> members(const directory& tables, const base::pool_id& pool) {
    std::vector<base::upstream_id> names;
    const auto found = tables.pools.find(pool);
    if (found == tables.pools.end()) {
        return names;
    }
    for (const upstream& item : found->second) {
        names.push_back(item.id);
    }
    return names;
}

std::optional<caller> find_caller(const directory& tables, const std::string& bearer_key) {
    const auto found = tables.callers_by_key_hash.find(base::sha256_hex(bearer_key));
    if (found == tables.callers_by_key_hash.end()) {
        return std::nullopt;
    }
    return found->second;
}

const upstream* find_upstream(const configuration& config, const base::upstream_id& id) {
    for (const upstream& item : config.upstreams) {
        if (item.id == id) {
            return &item;
        }
    }
    return nullptr;
}

} // namespace camphorrail::config
