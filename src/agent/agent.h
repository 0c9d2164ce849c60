#pragma once

#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "adapters/platform_budget.h"
#include "adapters/timeline.h"
#include "agent/load_runner.h"
#include "agent/once_runner.h"
#include "agent/order_runner.h"
#include "process/config_keeper.h"
#include "process/wire_link.h"
#include "settings/settings.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace camphorrail::agent {

// `camphorrail agent`: the one small process beside an upstream. Entries link to it; it alone
// talks to the upstream.
class agent {
public:
    explicit agent(settings::agent_settings settings);

    // Runs until stopped; the exit code.
    int run();

private:
    struct session;
    using session_ptr = std::shared_ptr<session>;

    void accept(adapters::link_ptr transport);
    void drop(const session_ptr& lost);
    void handle(const session_ptr& from, const wire::message& message);
    void handle_one(const session_ptr& from, const wire::hello& message);
    void handle_one(const session_ptr& from, const wire::heartbeat& message);
    void handle_one(const session_ptr& from, const wire::config_request& message);
    void handle_one(const session_ptr& from, const wire::config_reply& message);
    [[nodiscard]] bool has_memory_for(const wire::order& order) const;
    void refuse_for_memory(const session_ptr& from, const wire::order& order);
    void handle_one(const session_ptr& from, const wire::order& message);
    void handle_one(const session_ptr& from, const wire::cancel& message);
    void handle_one(const session_ptr& from, const wire::credit& message);
    void handle_one(const session_ptr& from, const wire::tombstone& message);
    void handle_one(const session_ptr& from, const wire::placed& message);
    template <class Other>
    void handle_one(const session_ptr& /*from*/, const Other& /*not for an agent*/) {}
    void follow_config();
    void poll_engine();
    void note_engine(const std::string& report);
    [[nodiscard]] std::string wanted_weights() const;
    void beat();
    void start_timers();
    [[nodiscard]] nlohmann::json status() const;
    void refresh_metrics();
    void stop();
    void exit_when_done();

    settings::agent_settings settings;
    adapters::event_loop loop;
    adapters::metrics metrics;
    adapters::timeline timeline;
    std::shared_ptr<adapters::platform_budget> platform_calls;
    process::config_keeper config;
    std::int64_t incarnation;
    order_runner orders;
    once_runner once;
    load_runner loads;
    std::unique_ptr<adapters::link_listener> listener;
    std::unordered_map<session*, session_ptr> sessions;
    bool stopping = false;
    base::instant stop_at;
};

} // namespace camphorrail::agent
