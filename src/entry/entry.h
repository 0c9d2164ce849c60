#pragma once

#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "adapters/platform_budget.h"
#include "adapters/timeline.h"
#include "entry/agent_links.h"
#include "entry/request_flow.h"
#include "entry/router_state.h"
#include "process/config_keeper.h"
#include "settings/settings.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace camphorrail::entry {

// `camphorrail entry`: takes callers' requests and routes them.
class entry {
public:
    explicit entry(settings::entry_settings settings);

    // Runs until stopped; the exit code.
    int run();

private:
    void on_request(const adapters::exchange_ptr& exchange);
    void record_yield(std::int64_t bytes);
    void list_models(const adapters::exchange_ptr& exchange);
    void on_message(const base::upstream_id& from, const wire::message& message);
    void on_lost(const base::upstream_id& from);
    void beat();
    void read_vm_list();
    void stop();
    void exit_when_done();
    base::attempt_id next_attempt();
    [[nodiscard]] nlohmann::json status() const;
    void refresh_metrics();

    settings::entry_settings settings;
    adapters::event_loop loop;
    adapters::metrics metrics;
    adapters::timeline timeline;
    std::shared_ptr<adapters::platform_budget> platform_calls;
    process::config_keeper config;
    agent_links links;
    router_state router;
    flow_surroundings surroundings;
    std::unique_ptr<adapters::http_server> callers;
    std::unordered_map<base::attempt_id, std::shared_ptr<request_flow>> flows;
    std::int64_t incarnation;
    std::int64_t attempts = 0;
    // Requests that have yielded since that was last logged, and when it may be logged again.
    std::int64_t unlogged_yields = 0;
    base::instant next_yield_log{};
    bool stopping = false;
    base::instant stop_at;
};

} // namespace camphorrail::entry
