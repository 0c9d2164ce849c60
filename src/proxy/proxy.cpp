#include "proxy/proxy.h"

#include "adapters/sockets.h"
#include "kvcache/lanes.h"
#include "process/operators_port.h"
#include "proxy/weights_news.h"

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
// Log lines reach their reader within this time.
constexpr base::milliseconds tick_period{100};
// What is left of the grace period for the process to end in.
constexpr base::milliseconds exit_margin{700};

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
          this->platform.words,
          this->state,
          this->connections,
          this->log,
          this->metrics,
          adapters::boot_now,
          [this](const base::upstream_instance& upstream, base::micros span, const char* why) {
              this->others.tell(peering::suspicion{
                  upstream, std::chrono::duration_cast<base::milliseconds>(span), why});
          },
          [this](const base::upstream_instance& upstream, base::micros span) {
              this->others.tell(peering::suspicion{
                  upstream, std::chrono::duration_cast<base::milliseconds>(span), "loading", true});
          },
          [this](const base::upstream_instance& upstream, const base::model_id& model,
                 std::int64_t version) {
              record_weights(this->context, upstream, model, version);
              this->others.tell(peering::loaded_weights{upstream, model, version});
          },
          [this](const base::upstream_instance& upstream) {
              this->others.tell(peering::upstream_draining{upstream});
          },
          [this](const broken_attempt& broken) { this->crashes.note_broken(broken); }},
      platform_calls(std::make_shared<adapters::platform_budget>()),
      store_calls(adapters::with_budget(this->platform.make_store(this->loop.base(),
                                                                  this->settings.platform.endpoint,
                                                                  this->settings.platform.timeout),
                                        this->loop, this->platform_calls,
                                        [this](adapters::platform_call kind, base::micros wait) {
                                            this->note_held_back(kind, wait);
                                        })),
      store(this->context, this->store_calls), news(this->context, this->store_calls),
      leader(this->context, this->store_calls, [this] { return this->others.linked(); }),
      loader(this->context,
             {[this] { return this->leader.may_order(); }, [this] { return this->leader.name(); },
              [this] { return this->leader.fence(); }}),
      others(this->context, this->store_calls), crashes(this->context),
      quarantined(this->context, this->store_calls, [this] { return this->leader.fence() != 0; }),
      kv_stores(this->context, [this] { return this->others.linked(); }) {}

bool proxy::listen() {
    this->callers = std::make_unique<frontend_server>(
        this->loop.base(),
        frontend_callbacks{
            [this](const exchange_ptr& exchange) { this->on_request(exchange); },
            [this] {
                const auto limits = this->state.config == nullptr ? routes::client_limits{}
                                                                  : this->state.config->limits;
                return client_limits{{static_cast<std::uint32_t>(limits.header_bytes),
                                      static_cast<std::uint64_t>(limits.body_bytes)},
                                     limits.header_timeout,
                                     limits.idle_timeout};
            },
            adapters::boot_now,
            [this](int status) {
                this->log.line(importance::keep, "request_unreadable").number("status", status);
                this->metrics.count("camphorrail_unreadable_requests_total",
                                    {{"status", std::to_string(status)}});
            }});
    this->serve_operators_and_balancer();
    const std::pair<const char*, bool> listened[] = {
        {"listen", this->callers->listen(this->settings.listen)},
        {"ready_listen", this->balancer->listen(this->settings.ready_listen)},
        {"peer_listen", this->others.listen()},
        {"operators_listen", this->operators->listen(this->settings.operators_listen)}};
    for (const auto& [name, fine] : listened) {
        if (!fine) {
            this->log.line(importance::keep, "cannot_listen").text("setting", name);
        }
    }
    this->share_out_descriptors();
    return listened[0].second && listened[1].second;
}

void proxy::share_out_descriptors() {
    const std::size_t limit = adapters::descriptor_limit();
    const auto shares = share_descriptors(limit);
    this->callers->limit_connections(shares.clients);
    this->connections.limit_idle(shares.idle_upstreams);
    this->log.line(importance::keep, "descriptors_shared")
        .number("limit", static_cast<std::int64_t>(limit))
        .number("most_callers", static_cast<std::int64_t>(shares.clients))
        .number("most_idle_upstreams", static_cast<std::int64_t>(shares.idle_upstreams))
        .number("reserve", static_cast<std::int64_t>(shares.reserve));
}

accept_status proxy::view_accepting() const {
    return {this->callers->paused(), this->callers->pauses(), this->callers->open_connections(),
            this->callers->max_connections()};
}

void proxy::serve_operators_and_balancer() {
    this->balancer = std::make_unique<adapters::http_server>(
        this->loop.base(), adapters::http_limits{}, [this](const adapters::exchange_ptr& asked) {
            asked->reply(this->ready() ? status_ok : status_unavailable, {}, "");
        });
    this->operators = process::serve_operators(this->loop, this->metrics, this->timeline,
                                               {[this] { return this->ready(); },
                                                [this] { return this->status(); },
                                                [this] { this->refresh_metrics(); }});
}

int proxy::run() {
    this->loop.on_stop_signal([this] { this->stop(); });
    this->loop.on_reload_signal([this] { this->reload("signal"); });
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
    this->loop.every(tick_period, [this] { this->tick(); });
    this->loop.run();
    this->log.line(importance::keep, "stopped")
        .number("flows", static_cast<std::int64_t>(this->flows.size()));
    this->log.flush();
    return 0;
}

void proxy::note_held_back(adapters::platform_call kind, base::micros wait) {
    this->log.line(importance::keep, "store_call_held_back")
        .text("call", std::string(adapters::name_of(kind)))
        .span("for_ms", wait);
}

void proxy::connect_parts() {
    this->store.linked_entries = [this] { return this->others.linked(); };
    this->store.tell = [this](const peering::store_changes& message) {
        this->others.tell(message);
    };
    this->others.store_told = [this](const peering::store_changes& told) {
        return this->news.take(told) != store_news::outcome::missed;
    };
    this->others.awaits_store = [this] { return this->news.reading(); };
    this->news.unreadable = [this] { this->others.ask_soon(); };
    this->others.proves_store = [this] { return this->store.proving(); };
    const auto take_news = [this](const char* told_by) {
        return [this, told_by](const std::set<std::string>& keys) {
            this->on_store_change(keys, told_by);
        };
    };
    this->store.changed = take_news("store");
    this->news.changed = take_news("entry");
    this->others.store_changed = take_news("entry_asked");
    this->others.weights_changed = [this](const peering::loaded_weights& told) {
        record_weights(this->context, told.upstream, told.model, told.version);
    };
    this->others.named_weights_told = [this](const base::entry_id& from,
                                             const std::vector<peering::target_weights>& told,
                                             base::instant asked_at) {
        if (take_told_weights(this->context, from, told, asked_at)) {
            this->renew_begin_deadlines();
        }
    };
    this->others.kept_told = [this](const base::entry_id& from,
                                    const peering::kv_store_contents& told) {
        this->kv_stores.take(from, told);
    };
    this->others.greeting = [this] { return this->greeting(); };
    this->connect_quarantine();
    this->kv_stores.tell = [this](const peering::kv_store_contents& message) {
        this->others.tell(message);
    };
    this->others.count_changed = [this] { this->set_retry_budgets(); };
}

std::vector<peering::message> proxy::greeting() const {
    auto all = this->kv_stores.whole_views();
    for (auto& each : this->crashes.greeting()) {
        all.push_back(std::move(each));
    }
    for (const auto& each : leaving_to_tell(this->context)) {
        all.emplace_back(each);
    }
    return all;
}

void proxy::connect_quarantine() {
    this->crashes.tell = [this](const peering::message& message) { this->others.tell(message); };
    this->crashes.held_back = [this](const quarantine::quarantined_request& held,
                                     bool decided_here) { this->note_hold(held, decided_here); };
    this->others.crash_told = [this](const base::entry_id& from, const peering::crash_report& told,
                                     base::instant written) {
        this->crashes.take(from, told, written);
    };
    this->others.hold_told = [this](const base::entry_id& from,
                                    const peering::quarantine_notice& told, base::instant written) {
        this->crashes.take(from, told, written);
    };
}

void proxy::note_hold(const quarantine::quarantined_request& held, bool decided_here) {
    if (decided_here) {
        this->quarantined.keep(held);
    }
    // Those that are called off end, and leave the list.
    const auto under_way = this->flows;
    for (const auto& [number, flow] : under_way) {
        flow->cancel_if_quarantined(held);
    }
}

bool proxy::ready() const {
    // A list entry may name a pool that no configuration knows.
    const auto& members = this->state.fleet.members;
    return !this->state.stopping && is_config_fresh(this->context) &&
           std::any_of(members.begin(), members.end(), [this](const auto& each) {
               return this->state.config->pools.count(each.second.listed.pool) > 0;
           });
}

void proxy::on_request(const exchange_ptr& exchange) {
    const auto flow = std::make_shared<request_flow>(this->context, exchange);
    const std::int64_t number = ++this->last_flow;
    this->flows.emplace(number, flow);
    flow->on_end = [this, number] {
        this->flows.erase(number);
        this->exit_when_done();
    };
    flow->begin();
}

void proxy::note_readiness() {
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
    this->note_readiness();
    log_accept_pauses(this->accepting, this->view_accepting(), this->context.now(), this->log);
    this->exit_when_done();
    this->connections.close_expired();
    this->crashes.tick();
    this->quarantined.tick();
    this->others.tick();
    this->follow_entries();
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
    const bool fine = parsed.faults.empty() && fresh != nullptr;
    this->log.line(importance::keep, "reload")
        .text("why", why)
        .flag("taken", fine)
        .text("fault", parsed.faults.empty() ? "" : parsed.faults.front().text);
    if (!fine) {
        return;
    }
    // Addresses stay as they are: changing them would cut requests under way.
    this->settings.bounds = fresh->bounds;
    this->set_retry_budgets();
}

void proxy::stop() {
    if (this->state.stopping) {
        return;
    }
    this->state.stopping = true;
    this->ending.started_at = this->context.now();
    this->log.line(importance::keep, "stop")
        .number("flows", static_cast<std::int64_t>(this->flows.size()));
    this->note_readiness();
    this->callers->close_after_responses();
    this->others.resign();
    const shutdown_rules rules;
    this->loop.after(rules.balancer_detection_time, [this] { this->exit_when_done(); });
    this->loop.after(this->settings.bounds.grace - exit_margin - rules.resign_time,
                     [this] { this->leader.resign(); });
    this->loop.after(this->settings.bounds.grace - exit_margin, [this] {
        const auto left = this->flows;
        for (const auto& [number, flow] : left) {
            flow->abort_for_shutdown();
        }
        this->loop.stop();
    });
}

void proxy::exit_when_done() {
    const shutdown_rules rules;
    while (true) {
        const auto step = advance_shutdown(
            this->ending, {this->context.now(), this->flows.size(), this->callers->unsent()},
            rules);
        switch (step) {
        case shutdown_step::stop_accepting:
            this->callers->stop();
            break;
        case shutdown_step::resign:
            // An entry that leads goes on doing so until now: in a rolling restart the next one is
            // stopped soon too.
            this->leader.resign();
            this->loop.after(rules.resign_time, [this] { this->exit_when_done(); });
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
