#include "app/commands.h"
#include "app/settings_file.h"
#include "entry/entry.h"

namespace camphorrail::app {

namespace {

constexpr const char* usage = R"(Takes callers' requests and routes them.

Usage:
  camphorrail entry SETTINGS
  camphorrail entry --help

SETTINGS is a YAML file with `role: entry`; docs/OPERATIONS.md lists its keys.
SIGTERM drains: requests under way are finished, new ones refused.
)";

} // namespace

int cmd_entry(const arguments& args) {
    return run_daemon<settings::entry_settings, entry::entry>(usage, args);
}

} // namespace camphorrail::app
