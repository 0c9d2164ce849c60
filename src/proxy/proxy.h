#pragma once

#include "adapters/event_log.h"
#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "adapters/platform_budget.h"
#include "adapters/timeline.h"
#include "proxy/context.h"
#include "proxy/crash_watch.h"
#include "proxy/descriptors.h"
#include "proxy/frontend_server.h"
#include "proxy/kv_store_follower.h"
#include "proxy/leadership.h"
#include "proxy/peers.h"
#include "proxy/quarantine_records.h"
#include "proxy/request_flow.h"
#include "proxy/shutdown.h"
#include "proxy/store_follower.h"
#include "proxy/store_news.h"
#include "proxy/weights_loader.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace camphorrail::proxy {

// What the daemon is given of the platform it runs on.
struct proxy_platform {
    ports::platform_codec words;
    std::function<ports::platform(event_base*, const std::string& address,
                                  base::milliseconds timeout)>
        make_store;
};

// `camphorrail proxy`: an entry that sends callers' requests straight to the upstreams.
class proxy {
public:
    // `settings_file` is read again on SIGHUP and when it changes.
    proxy(settings::proxy_settings settings, std::string settings_file, proxy_platform platform);

    // Runs until stopped; the exit code.
    int run();

private:
    [[nodiscard]] bool listen();
    void connect_parts();
    void connect_quarantine();
    // What an entry is told that has just linked.
    [[nodiscard]] std::vector<peering::message> greeting() const;
    void note_held_back(adapters::platform_call kind, base::micros wait);
    void on_request(const exchange_ptr& exchange);
    // `told_by`: who brought the news, for the log.
    void on_store_change(const std::set<std::string>& keys, const char* told_by);
    // More is known of when weights were named.
    void renew_begin_deadlines();
    void take_config();
    void forget_dropped_routes();
    void take_upstreams(const char* told_by);
    void assign_lanes();
    void note_hold(const quarantine::quarantined_request& held, bool decided_here);
    void set_retry_budgets();
    // Takes who is listed and who is heard, which decides what of the quotas entries may give out.
    void follow_entries();
    void show_quotas();
    void tick();
    void reload(const char* why);
    void stop();
    void exit_when_done();
    [[nodiscard]] bool ready() const;
    void note_readiness();
    void share_out_descriptors();
    [[nodiscard]] accept_status view_accepting() const;
    [[nodiscard]] nlohmann::json status() const;
    void refresh_metrics();
    void refresh_weights_metric();
    void serve_operators_and_balancer();

    settings::proxy_settings settings;
    std::string settings_file;
    std::string settings_text;
    proxy_platform platform;
    adapters::event_loop loop;
    adapters::event_log log;
    adapters::metrics metrics;
    adapters::timeline timeline;
    entry_state state;
    connection_pool connections;
    entry_context context;
    std::shared_ptr<adapters::platform_budget> platform_calls;
    ports::platform store_calls;
    store_follower store;
    store_news news;
    leadership leader;
    weights_loader loader;
    peers others;
    crash_watch crashes;
    quarantine_records quarantined;
    kv_store_follower kv_stores;
    std::unique_ptr<frontend_server> callers;
    std::unique_ptr<adapters::http_server> balancer;
    std::unique_ptr<adapters::http_server> operators;
    // By number, so that they are gone through in the order of their arrival.
    std::map<std::int64_t, std::shared_ptr<request_flow>> flows;
    std::int64_t last_flow = 0;
    shutdown_state ending;
    bool was_ready = false;
    accept_log_state accepting;
    // Entries of the platform's list that could not be read, as last logged.
    std::map<base::upstream_id, std::int64_t> unreadable;
    // Listed upstreams whose address another one has taken, as last logged.
    std::map<base::upstream_id, base::upstream_id> replaced;
};

} // namespace camphorrail::proxy
