#pragma once

#include "app/usage.h"
#include "settings/settings.h"

#include <iostream>
#include <optional>
#include <string>

namespace camphorrail::app {

// Loads settings of one role; prints every fault and gives nothing where there are any.
template <class Role>
std::optional<Role> load_role(const std::string& file) {
    auto parsed = settings::load_settings(file);
    for (const auto& fault : parsed.faults) {
        std::cerr << settings::to_string(fault, file) << "\n";
    }
    if (!parsed.faults.empty()) {
        return std::nullopt;
    }
    auto* role = std::get_if<Role>(&parsed.settings);
    if (role == nullptr) {
        std::cerr << file << ":1: error " << static_cast<int>(base::code::settings_bad_value)
                  << ": 'role' is not that of this command\n";
        return std::nullopt;
    }
    return std::move(*role);
}

// The command of a daemon: reads its settings and runs it until it is stopped.
template <class Role, class Daemon>
int run_daemon(const char* usage, const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    const auto loaded = load_role<Role>(given->at("SETTINGS").asString());
    return loaded ? Daemon(*loaded).run() : exit_failed;
}

} // namespace camphorrail::app
