#pragma once

#include "adapters/event_log.h"
#include "adapters/event_loop.h"
#include "adapters/frontend_server.h"
#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "adapters/platform_budget.h"
#include "adapters/timeline.h"
#include "proxy/cache_space_record.h"
#include "proxy/context.h"
#include "proxy/crash_detector.h"
#include "proxy/descriptors.h"
#include "proxy/kv_store_follower.h"
#include "proxy/leadership.h"
#include "proxy/limit_exchange.h"
#include "proxy/origin_exchange.h"
#include "proxy/pause_detection.h"
#include "proxy/peers.h"
#include "proxy/quarantine_records.h"
#include "proxy/request_buffers.h"
#include "proxy/request_flow.h"
#include "proxy/shutdown.h"
#include "proxy/software_records.h"
#include "proxy/startup_slot.h"
#include "proxy/store_follower.h"
#include "proxy/store_updates.h"
#include "proxy/suspicion_exchange.h"
#include "proxy/team_list_record.h"
#include "proxy/weights_loader.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace camphorrail::proxy {

// The platform-specific parts passed to the daemon.
struct proxy_platform {
    ports::platform_codec codec;
    std::function<ports::platform(event_base*, const std::string& address,
                                  base::milliseconds timeout)>
        make_store;
};

// `camphorrail proxy`: an entry that forwards client requests directly to the upstreams.
class proxy {
public:
    // `settings_file` is reloaded on SIGHUP and when it changes.
    proxy(settings::proxy_settings settings, std::string settings_file, proxy_platform platform);

    // Runs until stopped and returns the exit code.
    int run();

private:
    [[nodiscard]] bool listen();
    void connect_parts();
    void connect_quarantine();
    // Sends a message to some connected entries.
    std::function<void(const std::vector<base::entry_id>&, const peering::message&)>
    message_sender();
    void connect_stream_origins();
    void connect_rate_limits();
    void connect_suspicions();
    // The messages sent to a newly connected entry.
    [[nodiscard]] std::vector<peering::message> initial_messages() const;
    void log_deferred_call(adapters::platform_call kind, base::micros wait);
    void on_request(const adapters::client_exchange_ptr& exchange);
    void record_activity();
    [[nodiscard]] bool awaits_verification() const;
    void begin_held_requests();
    // `source` is logged as the origin of the change.
    void on_store_change(const std::set<std::string>& keys, const char* source);
    // Updates deadlines that depend on when target weights were set.
    void renew_begin_deadlines();
    void apply_config();
    void prune_prompt_sizes();
    void apply_upstream_list(const char* source);
    void assign_lanes();
    void on_quarantine_started(const quarantine::quarantined_request& quarantined,
                               bool decided_here);
    void update_retry_budgets();
    // Updates the registered and the responsive entries, which determine how much of the quotas
    // each may grant.
    void update_quota_entries();
    void refresh_quota_metrics();
    // Updates the registered entries, and logs whether this one seems to be partitioned from them.
    void update_share_entries();
    void refresh_share_metrics();
    void tick();
    // Turns on the features that the agreements in the settings call for.
    void apply_agreements();
    void reload(const char* why);
    void stop();
    void exit_once_sent(base::instant latest);
    void continue_shutdown();
    void stop_accepting();
    void log_late_input(const adapters::late_input& late);
    [[nodiscard]] bool has_config_and_upstreams() const;
    [[nodiscard]] bool ready() const;
    void check_awaited_records();
    void log_readiness();
    void apply_resource_limits();
    [[nodiscard]] accept_status current_accept_status() const;
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
    store_updates updates;
    leadership leader;
    weights_loader loader;
    peers peer_entries;
    crash_detector crashes;
    quarantine_records quarantine_store;
    origin_exchange origins;
    limit_exchange limits;
    suspicion_exchange suspicions;
    startup_slot retries_at_start;
    software_records software;
    cache_space_record cache_spaces;
    team_list_record team_list;
    kv_store_follower kv_stores;
    request_buffers buffered;
    std::unique_ptr<adapters::frontend_server> frontend;
    std::unique_ptr<adapters::http_server> balancer;
    std::unique_ptr<adapters::http_server> operators;
    // Keyed by increasing numbers, so that requests are iterated in the order of their arrival.
    std::map<std::int64_t, std::shared_ptr<request_flow>> flows;
    std::int64_t last_flow = 0;
    pause_state pause;
    // Requests that wait for the verification after a pause, by their numbers in `flows`.
    std::vector<std::pair<std::int64_t, adapters::client_exchange_ptr>> held_requests;
    shutdown_state shutdown;
    bool was_ready = false;
    bool was_partitioned = false;
    base::instant started_at = adapters::boot_now();
    // This process has not seen yet that all pools that serve streams may begin some.
    bool awaits_software_records = true;
    accept_log_state accepting;
    // Malformed items of the platform's list and their revisions, as last logged.
    std::map<base::upstream_id, base::revision> unreadable_upstreams;
    // Listed upstreams whose address another one has taken, as last logged.
    std::map<base::upstream_id, base::upstream_id> replaced_upstreams;
};

} // namespace camphorrail::proxy
