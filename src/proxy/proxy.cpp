#include "proxy/proxy.h"

#include "adapters/allocator.h"
#include "adapters/sockets.h"
#include "kvcache/lanes.h"
#include "process/operators_port.h"
#include "proxy/document_rules.h"
#include "proxy/target_weights.h"
#include "proxy/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
// Also the longest time for which log lines are buffered.
constexpr base::milliseconds tick_period{100};
// While requests wait for a verification after a pause, its arrival is looked for this often.
constexpr base::milliseconds verification_check_period{10};
// Part of the grace period reserved for the process to exit, and the part of that in which the last
// responses are sent.
constexpr base::milliseconds exit_margin{700};
constexpr base::milliseconds last_send_time{400};
constexpr base::milliseconds last_send_check_period{10};
// An entry is ready after this time even if the store takes no records of software versions: it can
// serve all other requests.
constexpr base::milliseconds max_software_record_wait{3000};

std::string read_file(const std::string& file) {
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

} // namespace

proxy::proxy(settings::proxy_settings settings, std::string settings_file,
             proxy_platform platform_given)
    : settings(std::move(settings)), settings_file(std::move(settings_file)),
      settings_text(read_file(this->settings_file)), platform(std::move(platform_given)),
      log(STDOUT_FILENO, this->settings.id.value, {}, this->loop.clock().wall_ms),
      timeline(this->settings.id.value, static_cast<std::size_t>(this->settings.timeline.events)),
      connections(this->loop.base(), adapters::boot_now),
      context{
          this->loop,
          this->settings,
          this->platform.codec,
          this->state,
          this->connections,
          this->log,
          this->metrics,
          adapters::boot_now,
          [this](const base::upstream_instance& upstream, base::micros span, const char* why) {
              if (span > base::micros(0)) {
                  this->peer_entries.broadcast(peering::suspicion{
                      upstream, std::chrono::duration_cast<base::milliseconds>(span), why});
              }
              this->suspicions.record_failure(upstream, span, why);
          },
          [this](const base::upstream_instance& upstream, base::micros span) {
              this->peer_entries.broadcast(peering::suspicion{
                  upstream, std::chrono::duration_cast<base::milliseconds>(span), "loading", true});
          },
          [this](const base::upstream_instance& upstream, const base::model_id& model,
                 std::int64_t version) {
              record_weights(this->context, upstream, model, version);
              this->peer_entries.broadcast(peering::loaded_weights{upstream, model, version});
          },
          [this](const base::upstream_instance& upstream) {
              this->peer_entries.broadcast(peering::upstream_draining{upstream});
          },
          [this](const broken_attempt& broken) { this->crashes.record_broken_attempt(broken); },
          [this](const std::vector<base::request_digest>& parts) {
              this->crashes.record_survived(parts);
          },
          [this](const base::request_id& request, const resumption::stream_origin& origin,
                 base::milliseconds deadline) { this->origins.record(request, origin, deadline); },
          [this](const base::request_id& request, auto done) {
              this->origins.find(request, std::move(done));
          },
          [this](const base::upstream_instance& upstream, const ratelimit::statement& stated) {
              this->limits.record(upstream, stated);
          },
          [this](const base::upstream_instance& upstream) {
              this->suspicions.record_byte(upstream);
          }},
      platform_calls(std::make_shared<adapters::platform_budget>()),
      store_calls(adapters::with_budget(this->platform.make_store(this->loop.base(),
                                                                  this->settings.platform.endpoint,
                                                                  this->settings.platform.timeout),
                                        this->loop, this->platform_calls,
                                        [this](adapters::platform_call kind, base::micros wait) {
                                            this->log_deferred_call(kind, wait);
                                        })),
      store(this->context, this->store_calls), updates(this->context, this->store_calls),
      leader(this->context, this->store_calls,
             [this] { return this->peer_entries.connected_entries(); }),
      loader(this->context, {[this] { return this->leader.may_issue_commands(); },
                             [this] { return this->leader.name(); },
                             [this] { return this->leader.fencing_token(); }}),
      peer_entries(this->context, this->store_calls), crashes(this->context),
      quarantine_store(this->context, this->store_calls,
                       [this] { return this->leader.fencing_token() != 0; }),
      origins(this->context), limits(this->context), suspicions(this->context),
      retries_at_start(this->context, this->store_calls),
      software(this->context, this->store_calls),
      cache_spaces(this->context, this->store_calls,
                   [this] { return this->leader.fencing_token() != 0; }),
      team_list(this->context, this->store_calls,
                [this] { return this->leader.fencing_token() != 0; }),
      kv_stores(this->context, [this] { return this->peer_entries.connected_entries(); }),
      buffered(this->context) {
    this->context.buffers = &this->buffered;
    this->context.unread_message_bytes = [this] { return this->peer_entries.unread_bytes(); };
    this->apply_agreements();
}

void proxy::apply_agreements() {
    this->settings.features = settings::combine(
        this->settings.features,
        this->platform.codec.parse_agreements(this->settings.platform.agreements));
}

bool proxy::listen() {
    this->frontend = std::make_unique<adapters::frontend_server>(
        this->loop.base(),
        adapters::frontend_callbacks{
            [this](const adapters::client_exchange_ptr& exchange) { this->on_request(exchange); },
            [this] {
                const auto limits = this->state.config == nullptr ? routes::client_limits{}
                                                                  : this->state.config->limits;
                return adapters::client_limits{{static_cast<std::uint32_t>(limits.header_bytes),
                                                static_cast<std::uint64_t>(limits.body_bytes)},
                                               limits.header_timeout,
                                               limits.idle_timeout};
            },
            adapters::boot_now,
            [this](int status) {
                this->log.line(importance::keep, "request_unreadable").number("status", status);
                this->metrics.count("camphorrail_unreadable_requests_total",
                                    {{"status", std::to_string(status)}});
            },
            [this](std::int64_t connection) { this->buffered.record_received({connection}); },
            [this](const adapters::late_input& late) { this->log_late_input(late); },
            [this](std::int64_t connection) { this->buffered.check_announced({connection}); }});
    this->buffered.connect(*this->frontend);
    this->serve_operators_and_balancer();
    const std::pair<const char*, bool> listened[] = {
        {"listen", this->frontend->listen(this->settings.listen)},
        {"ready_listen", this->balancer->listen(this->settings.ready_listen)},
        {"peer_listen", this->peer_entries.listen()},
        {"operators_listen", this->operators->listen(this->settings.operators_listen)}};
    for (const auto& [name, succeeded] : listened) {
        if (!succeeded) {
            this->log.line(importance::keep, "cannot_listen").text("setting", name);
        }
    }
    this->apply_resource_limits();
    return listened[0].second && listened[1].second;
}

void proxy::apply_resource_limits() {
    const std::size_t limit = adapters::descriptor_limit();
    const auto shares = share_descriptors(limit);
    const auto plan = buffers::plan_memory(this->settings.memory_mb);
    this->frontend->limit_connections(std::min(shares.clients, plan.connections));
    this->connections.limit_idle(shares.idle_upstreams);
    this->state.origins.max_bytes = static_cast<std::size_t>(plan.request_names);
    this->log.line(importance::keep, "descriptors_shared")
        .number("limit", static_cast<std::int64_t>(limit))
        .number("most_callers", static_cast<std::int64_t>(this->frontend->max_connections()))
        .number("memory_mb", this->settings.memory_mb)
        .number("most_idle_upstreams", static_cast<std::int64_t>(shares.idle_upstreams))
        .number("reserve", static_cast<std::int64_t>(shares.reserve));
}

accept_status proxy::current_accept_status() const {
    return {this->frontend->paused(), this->frontend->pauses(), this->frontend->open_connections(),
            this->frontend->max_connections()};
}

void proxy::serve_operators_and_balancer() {
    this->balancer = std::make_unique<adapters::http_server>(
        this->loop.base(), process::control_port_limits(this->settings.memory_mb),
        [this](const adapters::exchange_ptr& exchange) {
            exchange->reply(this->ready() ? status_ok : status_unavailable, {}, "");
        });
    this->operators = process::serve_operators(
        this->loop, this->metrics, this->timeline, this->settings.memory_mb,
        {[this] { return this->ready(); }, [this] { return this->status(); },
         [this] { this->refresh_metrics(); }});
}

int proxy::run() {
    this->loop.on_stop_signal([this] { this->stop(); });
    this->loop.on_reload_signal([this] { this->reload("signal"); });
    this->state.store.documents = make_document_rules(this->platform.codec);
    const bool listening = this->listen();
    this->log.line(importance::keep, "start")
        .text("listen", this->settings.listen)
        .text("availability_zone", this->settings.zone.value)
        .text("platform", this->settings.platform.endpoint)
        .number("pid", getpid())
        .flag("listening", listening);
    if (!listening) {
        this->log.flush();
        return 1;
    }
    this->connect_parts();
    this->store.start();
    adapters::return_free_memory_regularly(this->loop);
    this->loop.every(tick_period, [this] { this->tick(); });
    this->loop.run();
    this->log.line(importance::keep, "stopped")
        .number("flows", static_cast<std::int64_t>(this->flows.size()));
    this->log.flush();
    return 0;
}

void proxy::log_deferred_call(adapters::platform_call kind, base::micros wait) {
    this->log.line(importance::keep, "store_call_held_back")
        .text("call", std::string(adapters::name_of(kind)))
        .span("for_ms", wait);
}

void proxy::connect_parts() {
    this->store.connected_entries = [this] { return this->peer_entries.connected_entries(); };
    this->store.broadcast = [this](const peering::store_changes& message) {
        this->peer_entries.broadcast(message);
    };
    this->peer_entries.store_changes_received = [this](const peering::store_changes& message,
                                                       std::optional<base::instant> proved) {
        return this->updates.receive(message, proved) != store_updates::outcome::gap;
    };
    this->peer_entries.is_reading_store = [this] { return this->updates.is_reading(); };
    this->updates.read_failed = [this] { this->peer_entries.query_large_values(); };
    this->peer_entries.verifies_store = [this] { return this->store.is_verifier(); };
    const auto apply_changes_from = [this](const char* source) {
        return [this, source](const std::set<std::string>& keys) {
            this->on_store_change(keys, source);
        };
    };
    this->store.changed = apply_changes_from("store");
    this->updates.changed = apply_changes_from("entry");
    this->peer_entries.store_changed = apply_changes_from("entry_asked");
    this->peer_entries.weights_changed = [this](const peering::loaded_weights& message) {
        record_weights(this->context, message.upstream, message.model, message.version);
    };
    this->peer_entries.target_weights_received =
        [this](const base::entry_id& from, const std::vector<peering::target_weights>& message,
               base::instant queried_at) {
            if (apply_reported_targets(this->context, from, message, queried_at)) {
                this->renew_begin_deadlines();
            }
        };
    this->peer_entries.kv_store_contents_received =
        [this](const base::entry_id& from, const peering::kv_store_contents& message) {
            this->kv_stores.receive(from, message);
        };
    this->peer_entries.initial_messages = [this] { return this->initial_messages(); };
    this->connect_quarantine();
    this->connect_stream_origins();
    this->connect_rate_limits();
    this->connect_suspicions();
    this->peer_entries.entry_connected = [this](const base::entry_id& entry) {
        this->origins.send_all_to(entry);
        this->software.acknowledge_all();
        this->limits.send_all_to(entry);
    };
    this->kv_stores.broadcast = [this](const peering::kv_store_contents& message) {
        this->peer_entries.broadcast(message);
    };
}

std::vector<peering::message> proxy::initial_messages() const {
    auto all = this->kv_stores.complete_views();
    for (auto& each : this->crashes.initial_messages()) {
        all.push_back(std::move(each));
    }
    for (const auto& each : collect_drain_reports(this->context)) {
        all.emplace_back(each);
    }
    if (const auto documents = make_retained_documents_message(this->state.store)) {
        all.emplace_back(*documents);
    }
    return all;
}

void proxy::connect_quarantine() {
    this->crashes.connected_entries = [this] { return this->peer_entries.connected_entries(); };
    this->crashes.broadcast = [this](const peering::message& message) {
        this->peer_entries.broadcast(message);
    };
    this->crashes.quarantine_started = [this](const quarantine::quarantined_request& quarantined,
                                              bool decided_here) {
        this->on_quarantine_started(quarantined, decided_here);
    };
    this->peer_entries.crash_report_received =
        [this](const base::entry_id& from, const peering::crash_report& message,
               base::instant written) { this->crashes.receive(from, message, written); };
    this->peer_entries.quarantine_notice_received =
        [this](const base::entry_id& from, const peering::quarantine_notice& message,
               base::instant written) { this->crashes.receive(from, message, written); };
    this->crashes.send_clearances = [this](const peering::message& message) {
        std::vector<base::entry_id> to;
        for (const auto& each : this->peer_entries.linked_entries(peering::prompt_part_protocol)) {
            to.push_back(each.id);
        }
        this->peer_entries.send(to, message);
    };
    this->peer_entries.cleared_prompt_parts_received =
        [this](const base::entry_id& from, const peering::cleared_prompt_parts& message) {
            this->crashes.receive(from, message);
        };
}

std::function<void(const std::vector<base::entry_id>&, const peering::message&)>
proxy::message_sender() {
    return [this](const std::vector<base::entry_id>& to, const peering::message& message) {
        this->peer_entries.send(to, message);
    };
}

void proxy::connect_stream_origins() {
    const auto connected = [this] {
        return this->peer_entries.linked_entries(peering::resumption_protocol);
    };
    this->origins.connected_entries = connected;
    this->origins.send = this->message_sender();
    this->software.connected_entries = connected;
    this->software.send = this->message_sender();
    this->software.listed_entries = [this] { return this->peer_entries.listed_entries().others; };
    this->software.several_versions = [this](const base::pool_id& pool) {
        this->origins.send_pool(pool);
    };
    this->peer_entries.origin_message_received =
        [this](const base::entry_id& from, const origin_message& received, base::instant written) {
            std::visit([&](const auto& message) { this->origins.receive(from, message, written); },
                       received);
        };
    this->peer_entries.software_record_seen_received =
        [this](const base::entry_id& from, const peering::software_record_seen& message) {
            this->software.receive(from, message);
        };
}

void proxy::connect_rate_limits() {
    this->limits.connected_entries = [this] {
        return this->peer_entries.linked_entries(peering::rate_limit_protocol);
    };
    this->limits.send = this->message_sender();
    this->peer_entries.upstream_limits_received =
        [this](const base::entry_id& from, const peering::upstream_limits& message,
               base::instant written) { this->limits.receive(from, message, written); };
}

void proxy::connect_suspicions() {
    this->suspicions.listed_entries = [this] {
        const auto others = this->peer_entries.listed_entries().others;
        std::vector<base::entry_id> all(others.begin(), others.end());
        all.push_back(this->settings.id);
        return all;
    };
    this->suspicions.linked_entries = [this](std::int64_t protocol) {
        return this->peer_entries.linked_entries(protocol);
    };
    this->suspicions.send = this->message_sender();
    this->suspicions.pool_states_slowdown = [this](const base::pool_id& pool) {
        return this->state.fleet.slowdown_stated_at.count(pool) > 0;
    };
    this->suspicions.move_attempts = [this](const base::upstream_instance& upstream) {
        // A copy, since requests may end and remove themselves from the map.
        const auto in_flight = this->flows;
        for (const auto& [number, flow] : in_flight) {
            flow->leave_suspected_upstream(upstream);
        }
    };
    this->peer_entries.suspicion_received =
        [this](const base::entry_id& from, const peering::suspicion& message,
               base::instant written) { return this->suspicions.receive(from, message, written); };
    this->peer_entries.upstream_responding_received =
        [this](const base::entry_id& from, const peering::upstream_responding& message,
               base::instant written) { this->suspicions.receive(from, message, written); };
}

void proxy::on_quarantine_started(const quarantine::quarantined_request& quarantined,
                                  bool decided_here) {
    if (decided_here) {
        this->quarantine_store.add(quarantined);
    }
    // A copy, since cancelled requests end and remove themselves from the map.
    const auto in_flight = this->flows;
    for (const auto& [number, flow] : in_flight) {
        flow->cancel_if_quarantined(quarantined);
    }
}

bool proxy::has_config_and_upstreams() const {
    // The platform's list may name a pool that the configuration does not contain.
    const auto& members = this->state.fleet.members;
    return !this->state.stopping && is_config_fresh(this->context) &&
           std::any_of(members.begin(), members.end(), [this](const auto& each) {
               return this->state.config->pools.count(each.second.listed.pool) > 0;
           });
}

bool proxy::ready() const {
    return this->has_config_and_upstreams() && !this->awaits_software_records;
}

// When the whole system starts for the first time, streams would be refused until the first record
// of software versions is written.
void proxy::check_awaited_records() {
    if (!this->awaits_software_records || !this->has_config_and_upstreams()) {
        return;
    }
    const bool has_waited = this->context.now() - this->started_at >= max_software_record_wait;
    this->awaits_software_records = !has_waited && !this->software.is_complete();
}

void proxy::on_request(const adapters::client_exchange_ptr& exchange) {
    const auto flow = std::make_shared<request_flow>(this->context, exchange);
    const std::int64_t number = ++this->last_flow;
    this->flows.emplace(number, flow);
    flow->on_end = [this, number] {
        this->flows.erase(number);
        this->continue_shutdown();
    };
    this->record_activity();
    if (!this->awaits_verification()) {
        flow->begin();
        return;
    }
    this->held_requests.emplace_back(number, exchange);
    if (this->held_requests.size() == 1) {
        this->loop.after(verification_check_period, [this] { this->begin_held_requests(); });
    }
}

void proxy::record_activity() {
    const auto paused_for =
        ::camphorrail::proxy::record_activity(this->pause, this->context.now(), {});
    if (paused_for) {
        this->log.line(importance::keep, "resumed_after_pause")
            .span("paused_ms", *paused_for)
            .span("config_age_ms", logged_config_age(this->context));
        this->peer_entries.query_soon();
    }
}

bool proxy::awaits_verification() const {
    return ::camphorrail::proxy::awaits_verification(this->pause, this->state.store.verified_at,
                                                     this->context.now(), {});
}

void proxy::begin_held_requests() {
    if (this->awaits_verification()) {
        this->loop.after(verification_check_period, [this] { this->begin_held_requests(); });
        return;
    }
    const auto held = std::exchange(this->held_requests, {});
    this->log.line(importance::keep, "held_requests_begun")
        .number("requests", static_cast<std::int64_t>(held.size()))
        .span("after_ms", this->context.now() - *this->pause.resumed_at)
        .span("config_age_ms", logged_config_age(this->context));
    for (const auto& [number, exchange] : held) {
        const auto flow = this->flows.at(number);
        if (exchange->is_open()) {
            flow->begin();
        } else {
            flow->on_end();
        }
    }
}

void proxy::log_readiness() {
    const bool now_ready = this->ready();
    if (now_ready != this->was_ready) {
        this->was_ready = now_ready;
        this->log.line(importance::keep, now_ready ? "ready" : "not_ready")
            .number("config_version",
                    this->state.config == nullptr ? 0 : this->state.config->version)
            .span("config_age_ms", logged_config_age(this->context))
            .number("upstreams", static_cast<std::int64_t>(this->state.fleet.members.size()))
            .flag("stopping", this->state.stopping);
    }
}

void proxy::tick() {
    this->record_activity();
    this->log_readiness();
    log_accept_pauses(this->accepting, this->current_accept_status(), this->context.now(),
                      this->log);
    this->continue_shutdown();
    this->connections.close_expired();
    this->buffered.tick();
    this->crashes.tick();
    this->quarantine_store.tick();
    this->origins.tick();
    this->limits.tick();
    this->suspicions.tick();
    this->software.tick();
    this->cache_spaces.tick();
    this->team_list.tick();
    this->check_awaited_records();
    this->peer_entries.tick();
    this->retries_at_start.tick();
    this->update_retry_budgets();
    this->update_quota_entries();
    this->update_share_entries();
    this->store.tick();
    this->kv_stores.tick();
    this->assign_lanes();
    this->leader.tick();
    this->loader.tick();
    for (const auto& id : fleet::prune_unlisted(this->state.fleet, this->context.now(),
                                                fleet_rules_of(this->settings))) {
        this->log.line(importance::keep, "upstream_gone").text("upstream", id.value);
    }
    if (read_file(this->settings_file) != this->settings_text) {
        this->reload("changed");
    }
    this->log.flush();
}

void proxy::assign_lanes() {
    update_upstream_speeds(this->context);
    const auto before = this->state.lanes;
    kvcache::assign_lanes(this->state.fleet, this->state.lanes, this->context.now(), {});
    for (const auto& [pool, size] : this->state.lanes) {
        const auto known = before.find(pool);
        if (known == before.end() || known->second.reserved != size.reserved) {
            this->log.line(importance::keep, "lane_sized")
                .text("pool", pool.value)
                .number("engines_for_short", static_cast<std::int64_t>(size.reserved))
                .number("wanted_in_100", std::lround(100.0 * size.demand));
        }
    }
}

void proxy::reload(const char* why) {
    const std::string text = read_file(this->settings_file);
    this->settings_text = text;
    auto parsed = settings::parse_settings(text);
    const auto* fresh = std::get_if<settings::proxy_settings>(&parsed.settings);
    const bool succeeded = parsed.faults.empty() && fresh != nullptr;
    this->log.line(importance::keep, "reload")
        .text("why", why)
        .flag("taken", succeeded)
        .text("fault", parsed.faults.empty() ? "" : parsed.faults.front().text);
    if (!succeeded) {
        return;
    }
    // Addresses are not reloaded, because changing them would cut off requests in flight.
    this->settings.bounds = fresh->bounds;
    this->settings.platform.agreements = fresh->platform.agreements;
    this->settings.features = fresh->features;
    this->settings.memory_mb = fresh->memory_mb;
    this->apply_resource_limits();
    this->apply_agreements();
    this->update_retry_budgets();
}

void proxy::stop() {
    if (this->state.stopping) {
        return;
    }
    const shutdown_rules rules;
    const base::instant now = this->context.now();
    this->state.stopping = true;
    this->state.new_clients_until = now + rules.balancer_detection_time;
    this->state.ends_requests_at = now + this->settings.bounds.grace - exit_margin;
    this->shutdown.started_at = now;
    this->log.line(importance::keep, "stop")
        .number("flows", static_cast<std::int64_t>(this->flows.size()));
    this->log_readiness();
    this->frontend->close_after_responses();
    this->peer_entries.deregister();
    this->loop.after(rules.balancer_detection_time, [this] { this->continue_shutdown(); });
    this->loop.after(this->settings.bounds.grace - exit_margin - rules.resign_time,
                     [this] { this->leader.resign(); });
    this->loop.after(this->settings.bounds.grace - exit_margin, [this] {
        const auto left = this->flows;
        for (const auto& [number, flow] : left) {
            flow->abort_for_shutdown();
        }
        this->exit_once_sent(this->context.now() + last_send_time);
    });
}

// Ends the process once all responses have left, or at the given time.
void proxy::exit_once_sent(base::instant latest) {
    if (this->frontend->unsent() == 0 || this->context.now() >= latest) {
        this->loop.stop();
        return;
    }
    this->loop.after(last_send_check_period, [this, latest] { this->exit_once_sent(latest); });
}

void proxy::stop_accepting() {
    const auto found = this->frontend->stop();
    this->log.line(importance::keep, "accepting_stopped")
        .span("after_ms", this->context.now() - *this->shutdown.started_at)
        .number("idle", static_cast<std::int64_t>(found.idle))
        .number("idle_with_input", static_cast<std::int64_t>(found.idle_with_input))
        .number("busy", static_cast<std::int64_t>(found.busy));
}

void proxy::log_late_input(const adapters::late_input& late) {
    this->log.line(importance::keep, "late_input")
        .number("connection", late.connection)
        .number("bytes", static_cast<std::int64_t>(late.bytes))
        .span("after_close_ms", late.after_close)
        .flag("arrived_before_close", late.arrived_before_close)
        .flag("left_unread", late.left_unread);
    this->metrics.count("camphorrail_late_inputs_total",
                        {{"arrived", late.arrived_before_close ? "before_close" : "after_close"}});
}

void proxy::continue_shutdown() {
    if (!this->shutdown.started_at) {
        return;
    }
    const shutdown_rules rules;
    while (true) {
        const auto step = advance_shutdown(this->shutdown,
                                           {this->context.now(),
                                            this->flows.size() + this->frontend->pending_requests(),
                                            this->frontend->unsent()},
                                           rules);
        switch (step) {
        case shutdown_step::stop_accepting:
            this->stop_accepting();
            break;
        case shutdown_step::resign:
            // A leader keeps its leadership until this point, because in a rolling restart the next
            // one is stopped soon as well.
            this->leader.resign();
            this->loop.after(rules.resign_time, [this] { this->continue_shutdown(); });
            break;
        case shutdown_step::exit:
            this->loop.stop();
            return;
        case shutdown_step::wait:
            return;
        }
    }
}

} // namespace camphorrail::proxy
