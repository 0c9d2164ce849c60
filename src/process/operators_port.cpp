#include "process/operators_port.h"

#include "process/problem.h"

#include <nlohmann/json.hpp>

namespace camphorrail::process {

namespace {

constexpr int http_ok = 200;
// No request to these ports has a body.
constexpr std::int64_t max_body_bytes = 4 << 10;
constexpr std::size_t max_connections = 128;

void reply_json(adapters::http_exchange& exchange, const nlohmann::json& document) {
    exchange.reply(http_ok, {{"Content-Type", "application/json"}}, document.dump() + "\n");
}

void reply_text(adapters::http_exchange& exchange, const std::string& text) {
    exchange.reply(http_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, text);
}

} // namespace

adapters::http_limits control_port_limits(std::int64_t memory_mb) {
    adapters::http_limits limits;
    limits.max_body_bytes = max_body_bytes;
    limits.max_connections = max_connections;
    // The connections of this port alone do not use up the descriptors.
    limits.lowers_max_connections = false;
    limits.memory = buffers::plan_memory(memory_mb).control_port;
    return limits;
}

std::unique_ptr<adapters::http_server>
serve_operators(adapters::event_loop& loop, adapters::metrics& metrics,
                adapters::timeline& timeline, std::int64_t memory_mb, operators_view view) {
    const auto handle = [&metrics, &timeline, view](const adapters::exchange_ptr& exchange) {
        const std::string& path = exchange->path();
        if (path == "/healthz") {
            reply_text(*exchange, "ok\n");
        } else if (path == "/readyz" && view.ready()) {
            reply_text(*exchange, "ready\n");
        } else if (path == "/readyz") {
            reply_problem(*exchange, {base::code::not_ready});
        } else if (path == "/metrics") {
            view.refresh();
            reply_text(*exchange, metrics.text());
        } else if (path == "/status") {
            reply_json(*exchange, view.status());
        } else if (path == "/timeline") {
            reply_json(*exchange, timeline.events());
        } else {
            reply_problem(*exchange, {base::code::unknown_path});
        }
    };
    return std::make_unique<adapters::http_server>(loop.base(), control_port_limits(memory_mb),
                                                   handle);
}

} // namespace camphorrail::process
