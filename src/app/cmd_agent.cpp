#include "agent/agent.h"
#include "app/commands.h"
#include "app/settings_file.h"

namespace camphorrail::app {

namespace {

constexpr const char* usage = R"(Stands beside one upstream and runs its orders.

Usage:
  camphorrail agent SETTINGS
  camphorrail agent --help

SETTINGS is a YAML file with `role: agent`; docs/OPERATIONS.md lists its keys.
SIGTERM drains: orders under way are finished, new ones refused.
)";

} // namespace

int cmd_agent(const arguments& args) {
    return run_daemon<settings::agent_settings, agent::agent>(usage, args);
}

} // namespace camphorrail::app
