#include "adapters/allocator.h"
#include "app/commands.h"

#include <iostream>
#include <map>

using namespace camphorrail;

namespace {

constexpr const char* usage =
    R"(camphorrail: a router for language-model traffic with long shared prompts

Usage:
  camphorrail entry SETTINGS          take callers' requests and route them
  camphorrail proxy [SETTINGS]        the same, straight to the upstreams, without agents
  camphorrail agent SETTINGS          stand beside one upstream and run its orders
  camphorrail check SETTINGS...       check settings files, and report every fault
  camphorrail ctl ...                 change and show the operators' configuration
  camphorrail replay TRACE...         replay recorded traces against their stated outcomes
  camphorrail timeline ADDRESS...     gather the events of all processes into one time line
  camphorrail --help | --version

Each command explains itself: camphorrail COMMAND --help
Exit codes: 0 done, 1 failed, 2 wrong usage.
)";

} // namespace

int main(int argc, char** argv) {
    const app::arguments args(argv + 1, argv + argc);
    if (args.empty() || args[0] == "--help" || args[0] == "-h") {
        (args.empty() ? std::cerr : std::cout) << usage;
        return args.empty() ? app::exit_usage : app::exit_ok;
    }
    if (args[0] == "--version") {
        std::cout << "camphorrail " CAMPHORRAIL_VERSION "\n";
        return app::exit_ok;
    }
    static const std::map<std::string, int (*)(const app::arguments&)> commands{
        {"agent", app::cmd_agent},   {"check", app::cmd_check},      {"ctl", app::cmd_ctl},
        {"entry", app::cmd_entry},   {"explain", app::cmd_explain},  {"proxy", app::cmd_proxy},
        {"replay", app::cmd_replay}, {"timeline", app::cmd_timeline}};
    const auto found = commands.find(args[0]);
    if (found == commands.end()) {
        std::cerr << "camphorrail: no command '" << args[0] << "'\n\n" << usage;
        return app::exit_usage;
    }
    adapters::configure_allocator();
    return found->second(args);
}
