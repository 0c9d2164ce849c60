#include "config/edits.h"

#include <algorithm>

namespace camphorrail::config {

namespace {

template <class Items, class Matches>
auto find_item(Items& items, Matches matches) {
    return std::find_if(items.begin(), items.end(), matches);
}

auto has_id(const auto& id) {
    return [&id](const auto& item) { return item.id == id; };
}

auto has_name(const std::string& name) {
    return [&name](const auto& item) { return item.name == name; };
}

template <class Items, class Matches>
bool remove_item(Items& items, Matches matches) {
    const auto found = find_item(items, matches);
    if (found == items.end()) {
        return false;
    }
    items.erase(found);
    return true;
}

} // namespace

base::result<configuration> add_application(configuration config, const base::team_id& team_name,
                                            const application& app) {
    auto owner = find_item(config.teams, has_id(team_name));
    if (owner == config.teams.end()) {
        config.teams.push_back({team_name, 1.0, {}});
        owner = std::prev(config.teams.end());
    }
    if (find_item(owner->applications, has_name(app.name)) != owner->applications.end()) {
        return base::code::config_duplicate;
    }
    owner->applications.push_back(app);
    return config;
}

base::result<configuration> set_share(configuration config, const base::team_id& team_name,
                                      double share) {
    const auto owner = find_item(config.teams, has_id(team_name));
    if (owner == config.teams.end()) {
        return base::code::config_not_found;
    }
    owner->share = share;
    return config;
}

base::result<configuration> retire_team(configuration config, const base::team_id& team_name) {
    if (!remove_item(config.teams, has_id(team_name))) {
        return base::code::config_not_found;
    }
    return config;
}

base::result<configuration> add_upstream(configuration config, const upstream& item) {
    if (find_item(config.upstreams, has_id(item.id)) != config.upstreams.end()) {
        return base::code::config_duplicate;
    }
    config.upstreams.push_back(item);
    return config;
}

base::result<configuration> set_upstream_state(configuration config, const base::upstream_id& id,
                                               upstream_state state) {
    const auto found = find_item(config.upstreams, has_id(id));
    if (found == config.upstreams.end()) {
        return base::code::config_not_found;
    }
    found->state = state;
    return config;
}

base::result<configuration> retire_upstream(configuration config, const base::upstream_id& id) {
    if (!remove_item(config.upstreams, has_id(id))) {
        return base::code::config_not_found;
    }
    return config;
}

base::result<configuration> set_model(configuration config, const model& item) {
    const auto found = find_item(config.models, has_id(item.id));
    if (found == config.models.end()) {
        config.models.push_back(item);
    } else {
        *found = item;
    }
    return config;
}

base::result<configuration> add_preset(configuration config, const preset& item) {
    if (find_item(config.presets, has_name(item.name)) != config.presets.end()) {
        return base::code::config_duplicate;
    }
    config.presets.push_back(item);
    return config;
}

base::result<configuration> retire_preset(configuration config, const std::string& name) {
    if (config.preset_in_force == name) {
        return base::code::config_preset_in_force;
    }
    if (!remove_item(config.presets, has_name(name))) {
        return base::code::config_not_found;
    }
    return config;
}

base::result<configuration> switch_preset(configuration config, const std::string& name) {
    if (find_item(config.presets, has_name(name)) == config.presets.end()) {
        return base::code::config_not_found;
    }
    config.preset_in_force = name;
    return config;
}

} // namespace camphorrail::config
