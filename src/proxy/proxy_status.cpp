#include "proxy/proxy.h"
#include "proxy/upstream_speeds.h"

#include <nlohmann/json.hpp>

// The status document and metrics for operators.
namespace camphorrail::proxy {

nlohmann::json proxy::status() const {
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto& [id, member] : this->state.fleet.members) {
        upstreams.push_back({{"id", id.value},
                             {"pool", member.listed.pool.value},
                             {"address", member.listed.address},
                             {"fit", fleet::is_eligible(member, this->context.now())},
                             {"in_flight", member.local_work.in_flight},
                             {"limit_per_s", member.limit.limit ? member.limit.limit->value : -1.0},
                             {"limit_share_per_s", member.permits.rate.value}});
    }
    nlohmann::json held = nlohmann::json::array();
    for (const auto& quarantined :
         quarantine::quarantined_requests(this->state.quarantine, this->context.now())) {
        held.push_back({{"digest", quarantined.request.digest.value},
                        {"left_ms", quarantined.span.count() / 1000},
                        {"crashes", quarantined.crashes}});
    }
    const auto age = mirror::age(this->state.store, this->context.now());
    return {{"id", this->settings.id.value},
            {"ready", this->ready()},
            {"config_version", this->state.config == nullptr ? 0 : this->state.config->version},
            {"config_age_ms", age ? age->count() / 1000 : -1},
            {"open_requests", this->flows.size()},
            {"quarantined", held},
            {"upstreams", upstreams}};
}

void proxy::refresh_weights_metric() {
    double holding_newest = 0;
    double holding_older = 0;
    for (const auto& [model, history] : this->state.weights) {
        for (const auto& [id, member] : this->state.fleet.members) {
            const std::int64_t held = fleet::weights_version_of(member, model);
            holding_newest += held > 0 && held >= newest_version(history) ? 1 : 0;
            holding_older += held > 0 && held < newest_version(history) ? 1 : 0;
        }
    }
    this->metrics.set("camphorrail_upstream_weights", holding_newest, {{"version", "newest"}});
    this->metrics.set("camphorrail_upstream_weights", holding_older, {{"version", "older"}});
}

void proxy::refresh_quota_metrics() {
    const auto show = [this](const char* name, const base::team_id& team, double value) {
        this->metrics.set(name, value, {{"team", team.value}});
    };
    for (const auto& status : quota::quota_statuses(this->state.quotas, this->context.now(),
                                                    quota_rules_of(this->settings))) {
        show("camphorrail_quota_limit_per_second", status.team, status.limit.rate_per_s);
        show("camphorrail_quota_left", status.team, status.balance);
        show("camphorrail_quota_asked_per_second", status.team, status.demand);
        show("camphorrail_quota_share", status.team, status.share);
        show("camphorrail_quota_used", status.team, static_cast<double>(status.used));
    }
}

void proxy::refresh_share_metrics() {
    if (!this->settings.features.team_shares) {
        return;
    }
    for (const auto& status : shares::share_statuses(this->state.shares)) {
        const auto show = [&](const char* name, double value) {
            this->metrics.set(name, value,
                              {{"team", status.team.value}, {"pool", status.pool.value}});
        };
        show("camphorrail_share_slots", status.share);
        show("camphorrail_share_used_slots", status.use);
        show("camphorrail_share_asked_slots", status.demand);
    }
    for (const auto& [pool, account] : this->state.shares.pools) {
        this->metrics.set("camphorrail_pool_overloaded", account.overloaded ? 1.0 : 0.0,
                          {{"pool", pool.value}});
    }
}

void proxy::refresh_metrics() {
    const auto age = mirror::age(this->state.store, this->context.now());
    this->metrics.set("camphorrail_config_age_seconds",
                      age ? std::chrono::duration<double>(*age).count() : -1.0);
    this->metrics.set(
        "camphorrail_config_version",
        this->state.config == nullptr ? 0.0 : static_cast<double>(this->state.config->version));
    this->metrics.set("camphorrail_open_requests", static_cast<double>(this->flows.size()));
    adapters::show_platform_calls(this->metrics, *this->platform_calls);
    this->metrics.set("camphorrail_log_lines_left_out", static_cast<double>(this->log.left_out()));
    this->metrics.set("camphorrail_connections_opened",
                      static_cast<double>(this->connections.opened()));
    const auto accepting = this->current_accept_status();
    this->metrics.set("camphorrail_caller_connections", static_cast<double>(accepting.clients));
    this->metrics.set("camphorrail_most_caller_connections",
                      static_cast<double>(accepting.max_clients));
    this->metrics.set("camphorrail_accepting_pauses", static_cast<double>(accepting.pauses));
    this->metrics.set("camphorrail_idle_callers_closed",
                      static_cast<double>(this->frontend->idle_closed()));
    this->metrics.set("camphorrail_idle_upstream_connections",
                      static_cast<double>(this->connections.idle_count()));
    for (const auto& [pool, window] : this->state.retries) {
        this->metrics.set("camphorrail_retries_left",
                          admission::remaining_retries(window, this->context.now()),
                          {{"pool", pool.value}});
    }
    this->metrics.set(
        "camphorrail_quarantined_requests",
        static_cast<double>(
            quarantine::quarantined_requests(this->state.quarantine, this->context.now()).size()));
    this->refresh_weights_metric();
    this->refresh_quota_metrics();
    refresh_speed_metrics(this->context);
    this->refresh_share_metrics();
    this->buffered.show_metrics();
    std::int64_t fit = 0;
    std::int64_t limited = 0;
    double share_of_limits = 0.0;
    for (const auto& [id, member] : this->state.fleet.members) {
        fit += fleet::is_eligible(member, this->context.now()) ? 1 : 0;
        limited += member.limit.limit ? 1 : 0;
        share_of_limits += member.permits.rate.value;
    }
    this->metrics.set("camphorrail_limited_upstreams", static_cast<double>(limited));
    this->metrics.set("camphorrail_limit_share_per_second", share_of_limits);
    this->metrics.set("camphorrail_upstreams", static_cast<double>(fit), {{"state", "fit"}});
    this->metrics.set("camphorrail_upstreams",
                      static_cast<double>(this->state.fleet.members.size()) -
                          static_cast<double>(fit),
                      {{"state", "unfit"}});
}

} // namespace camphorrail::proxy
