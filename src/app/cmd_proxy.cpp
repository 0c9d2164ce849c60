#include "app/commands.h"
#include "app/settings_file.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "proxy/proxy.h"

#include <cstdlib>

namespace camphorrail::app {

namespace {

constexpr const char* usage = R"(Takes callers' requests and sends them straight to the upstreams.

Usage:
  camphorrail proxy [SETTINGS]
  camphorrail proxy --help

SETTINGS is a YAML file with `role: proxy`; docs/OPERATIONS.md lists its keys. Without it, the file
that the environment variable CAMPHORRAIL_SETTINGS names is read.
SIGTERM drains: the balancer is told, requests under way are finished. SIGHUP reads SETTINGS again.
)";

} // namespace

int cmd_proxy(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    const char* from_environment = std::getenv("CAMPHORRAIL_SETTINGS");
    const std::string file =
        text_or(*given, "SETTINGS", from_environment == nullptr ? "" : from_environment);
    if (file.empty()) {
        std::cerr << usage;
        return exit_usage;
    }
    const auto loaded = load_role<settings::proxy_settings>(file);
    if (!loaded) {
        return exit_failed;
    }
    return proxy::proxy(*loaded, file, {platform::make_dialect(), platform::make_store}).run();
}

} // namespace camphorrail::app
