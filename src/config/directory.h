#pragma once

#include "config/configuration.h"

#include <optional>
#include <unordered_map>

namespace camphorrail::config {

// Who a bearer key speaks for.
struct caller {
    base::team_id team;
    std::string application;
    int priority = 5;
    base::milliseconds first_token_target{2000};
    double share = 1.0;
};

// Look-up tables made from one configuration; made once a version, so that a request costs no scan.
struct directory {
    configuration config;
    std::unordered_map<std::string, caller> callers_by_key_hash;
    // Upstreams by pool, in the order of their names; draining ones are left out.
    std::unordered_map<base::pool_id, std::vector<upstream>> pools;
    std::unordered_map<base::model_id, std::string> weights;
};

directory make_directory(configuration config);

// The pool of a model's engines, and that of a plain service.
base::pool_id model_pool(const std::string& model);
base::pool_id service_pool(const std::string& service);

// The pools that an upstream belongs to.
std::vector<base::pool_id> pools_of(const upstream& item);

// The names of a pool's serving upstreams.
std::vector<base::upstream_id> members(const directory& tables, const base::pool_id& pool);

// The caller that a bearer key speaks for.
std::optional<caller> find_caller(const directory& tables, const std::string& bearer_key);

// An upstream by its name, draining or not.
const upstream* find_upstream(const configuration& config, const base::upstream_id& id);

} // namespace camphorrail::config
