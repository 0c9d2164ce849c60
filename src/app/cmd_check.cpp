#include "app/commands.h"
#include "app/usage.h"
#include "settings/settings.h"

namespace camphorrail::app {

namespace {

constexpr const char* usage =
    R"(Checks settings files and reports every fault with file, line and number.

Usage:
  camphorrail check SETTINGS...
  camphorrail check --help
)";

} // namespace

int cmd_check(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    for (const auto& file : given->at("SETTINGS").asStringList()) {
        const auto parsed = settings::load_settings(file);
        for (const auto& fault : parsed.faults) {
            std::cerr << settings::to_string(fault, file) << "\n";
            exit_code = exit_failed;
        }
        if (parsed.faults.empty()) {
            std::cout << file << ": ok\n";
        }
    }
    return exit_code;
}

} // namespace camphorrail::app
