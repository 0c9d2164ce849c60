#pragma once

#include "config/configuration.h"
#include "ports/platform.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphorrail::control {

// An operator's change, as kept in the history.
struct change_note {
    std::string by;
    std::string what;
    std::int64_t at_ms = 0;
    // Unlike any other change's, so that a change whose answer was lost is recognised.
    std::string nonce;
};

// Makes a new configuration of the present one, or says why it can't.
using edit_function = std::function<base::result<config::configuration>(config::configuration)>;

struct changed {
    base::config_version version;
    config::configuration config;
};

// Applies an edit by compare-and-swap. Where another operator was faster the edit is made again on
// the newer document, so neither change is lost; with `only_if` set it fails instead. A write whose
// answer was lost is looked up by its nonce and never made twice.
void change_config(const ports::platform& platform, const edit_function& edit,
                   const change_note& note, std::optional<base::config_version> only_if,
                   std::function<void(base::result<changed>)> done);

// The configuration as stored; version 0 where there is none yet.
void read_config(const ports::platform& platform, std::function<void(base::result<changed>)> done);

// Past changes, oldest first.
void read_history(const ports::platform& platform,
                  std::function<void(base::result<std::vector<change_note>>)> done);

// Declares an upstream's agent dead for good: an operator's word that its VM no longer runs. Others
// take over its keys at once.
void declare_dead(const ports::platform& platform, const base::upstream_id& agent,
                  std::int64_t wall_ms, std::function<void(base::result<int>)> done);

} // namespace camphorrail::control
