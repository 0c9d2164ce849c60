#pragma once

#include "config/configuration.h"

namespace camphorrail::config {

// Operators' changes. Each gives a new configuration and leaves the old one as it was, so that a
// lost compare-and-swap can be tried again on the newer document.

// Adds a team, or an application to a team that is there.
base::result<configuration> add_application(configuration config, const base::team_id& team,
                                            const application& app);
base::result<configuration> set_share(configuration config, const base::team_id& team,
                                      double share);
base::result<configuration> retire_team(configuration config, const base::team_id& team);
base::result<configuration> add_upstream(configuration config, const upstream& item);
base::result<configuration> set_upstream_state(configuration config, const base::upstream_id& id,
                                               upstream_state state);
base::result<configuration> retire_upstream(configuration config, const base::upstream_id& id);
base::result<configuration> set_model(configuration config, const model& item);
base::result<configuration> add_preset(configuration config, const preset& item);
base::result<configuration> retire_preset(configuration config, const std::string& name);
base::result<configuration> switch_preset(configuration config, const std::string& name);

} // namespace camphorrail::config
