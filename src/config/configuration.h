#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorrail::config {

// One application of a team. Callers' bearer keys name it; only their SHA-256 is kept.
struct application {
    std::string name;
    int priority = 5;
    base::milliseconds first_token_target{2000};
    std::vector<std::string> key_hashes;
};

// A customer of the operators. Its share counts only against other teams that are waiting.
struct team {
    base::team_id id;
    double share = 1.0;
    std::vector<application> applications;
};

enum class upstream_kind { engine, service };

// What operators want of an upstream. A draining one finishes what it has and gets nothing new.
enum class upstream_state { serving, draining };

// A back end and the address of the agent beside it.
struct upstream {
    base::upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    upstream_state state = upstream_state::serving;
    std::string link;
    base::availability_zone zone;
    // Engines: the models served. Services: the one service's name.
    std::vector<std::string> serves;
    std::vector<std::string> adapters;
    // Whether it refuses an order that carries an old fencing number.
    bool checks_fencing = false;
    // Whether any call to it may be repeated; for a service, GET and HEAD always may.
    bool repeatable = true;
};

// A model and the version of the weights that its engines should serve.
struct model {
    base::model_id id;
    std::string weights;
};

// Rules for one kind of day. Exactly one is in force.
struct preset {
    std::string name;
    // Applications below this priority are refused.
    int lowest_priority = 0;
    // The longest predicted wait that a request is admitted to, in parts of its target.
    double wait_to_target = 1.0;
    // Overrides of teams' shares.
    std::map<std::string, double> shares;
    // How long an agent that lost the platform may still run dated keys unrecorded (design note
    // "at most once"); 0 for never.
    base::seconds outage_grace{0};
};

// The operators' whole configuration: one document, changed by compare-and-swap.
struct configuration {
    base::config_version version;
    std::vector<team> teams;
    std::vector<model> models;
    std::vector<upstream> upstreams;
    std::vector<preset> presets;
    std::string preset_in_force;
};

// One thing wrong with a configuration document, with the path of the field.
struct config_fault {
    base::code number;
    std::string path;
    std::string text;
};

struct parsed_configuration {
    configuration config;
    std::vector<config_fault> faults;
};

// Reads and checks a whole document. The version is not part of it; the platform's revision is.
parsed_configuration parse_configuration(const std::string& text, base::config_version version);

// The document of a configuration: stable order, so that equal configurations give equal bytes.
std::string to_document(const configuration& config);

// A configuration with one preset, no teams and no upstreams.
configuration initial_configuration();

// The preset in force. A checked configuration always has one.
const preset& current_preset(const configuration& config);

} // namespace camphorrail::config
