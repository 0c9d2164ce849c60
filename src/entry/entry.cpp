#include "entry/entry.h"

#include "adapters/allocator.h"
#include "adapters/http_client.h"
#include "adapters/http_platform.h"
#include "adapters/logging.h"
#include "adapters/sockets.h"
#include "process/operators_port.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace camphorrail::entry {

namespace {

constexpr base::micros yield_log_period = base::seconds(1);
constexpr base::micros vm_list_period = base::seconds(2);
constexpr base::micros stop_check_period = base::milliseconds(50);
constexpr base::micros longest_stop = base::seconds(120);
constexpr base::milliseconds vm_list_timeout{1000};
constexpr std::size_t most_vm_list_bytes = 4U << 20U;
constexpr int http_ok = 200;
// A request is copied so often while it is read, and kept so often until its answer.
constexpr std::size_t reading_factor = 5;

adapters::http_limits to_http_limits(const settings::limit_settings& limits) {
    const auto plan = buffers::plan_memory(limits.memory_mb);
    adapters::http_limits all;
    all.max_header_bytes = limits.max_header_bytes;
    all.max_body_bytes = limits.max_body_bytes;
    all.idle_timeout_s = static_cast<int>(limits.idle_timeout.count());
    all.memory = plan.clients;
    // Links to agents and the platform keep an eighth of the descriptors.
    const std::size_t descriptors = adapters::descriptor_limit();
    all.max_connections = std::min(descriptors - descriptors / 8, plan.connections);
    return all;
}

// What a request is refused with that was not received completely.
adapters::refusal refusal_of(int status) {
    constexpr int too_large = 413;
    constexpr int unavailable = 503;
    if (status == too_large) {
        return process::make_refusal({base::code::body_too_large});
    }
    if (status == unavailable) {
        return process::make_refusal(
            {base::code::memory_exhausted, base::execution_state::not_run, soon});
    }
    return {};
}

} // namespace

entry::entry(settings::entry_settings given)
    : settings(std::move(given)),
      timeline(this->settings.id.value, static_cast<std::size_t>(this->settings.timeline.events)),
      platform_calls(std::make_shared<adapters::platform_budget>()),
      links(this->loop, this->settings.id, this->config, this->metrics),
      incarnation(this->loop.clock().wall_ms()) {
    this->router.random.state = static_cast<std::uint64_t>(this->incarnation);
    this->surroundings = {
        &this->loop,
        &this->links,
        &this->router,
        &this->config,
        &this->metrics,
        &this->timeline,
        &this->settings.limits,
        [this] { return this->next_attempt(); },
        [this](const base::attempt_id& attempt, std::shared_ptr<request_flow> flow) {
            this->flows[attempt] = std::move(flow);
        },
        [this](const base::attempt_id& attempt) { this->flows.erase(attempt); }};
}

int entry::run() {
    adapters::start_logging(this->settings.id.value);
    this->callers = std::make_unique<adapters::http_server>(
        this->loop.base(), to_http_limits(this->settings.limits),
        [this](const adapters::exchange_ptr& exchange) { this->on_request(exchange); });
    this->callers->make_refusal = [this](int status) {
        this->metrics.count("camphorrail_unreadable_requests_total",
                            {{"status", std::to_string(status)}});
        return refusal_of(status);
    };
    this->callers->on_yield = [this](std::int64_t bytes) { this->record_yield(bytes); };
    auto operators = process::serve_operators(
        this->loop, this->metrics, this->timeline, this->settings.limits.memory_mb,
        {[this] { return this->config.ready() && !this->stopping; },
         [this] { return this->status(); }, [this] { this->refresh_metrics(); }});
    if (!this->callers->listen(this->settings.listen) ||
        !operators->listen(this->settings.operators_listen)) {
        adapters::log(adapters::log_level::error, "cannot_listen",
                      {{"listen", this->settings.listen},
                       {"operators_listen", this->settings.operators_listen}});
        return 1;
    }
    this->links.received.connect(
        [this](const base::upstream_id& from, const wire::message& message) {
            this->on_message(from, message);
        });
    this->links.lost.connect([this](const base::upstream_id& from) { this->on_lost(from); });
    this->config.changed.connect([this] {
        follow(this->router, this->config.current());
        this->links.beat();
    });
    this->config.follow(this->loop,
                        adapters::counted(adapters::make_http_platform(
                                              this->loop.base(), this->settings.platform.endpoint,
                                              this->settings.platform.timeout),
                                          this->loop, this->platform_calls),
                        this->settings.platform.poll);
    adapters::return_free_memory_regularly(this->loop);
    this->loop.every(process::heartbeat_period, [this] { this->beat(); });
    if (!this->settings.vm_list.empty()) {
        this->loop.every(vm_list_period, [this] { this->read_vm_list(); });
    }
    this->loop.on_stop_signal([this] { this->stop(); });
    adapters::log(adapters::log_level::info, "entry_started", {{"listen", this->settings.listen}});
    this->loop.run();
    return 0;
}

// Clients that send too much may make many requests yield, so only some are logged.
void entry::record_yield(std::int64_t bytes) {
    this->metrics.count("camphorrail_buffer_yields_total");
    ++this->unlogged_yields;
    const base::instant now = this->loop.clock().now();
    if (now < this->next_yield_log) {
        return;
    }
    this->next_yield_log = now + yield_log_period;
    const auto plan = buffers::plan_memory(this->settings.limits.memory_mb);
    adapters::log(adapters::log_level::warning, "buffers_yielded",
                  {{"requests", std::exchange(this->unlogged_yields, 0)},
                   {"bytes", bytes},
                   {"held", this->callers->held_bytes()},
                   {"budget", plan.clients.limit}});
}

base::attempt_id entry::next_attempt() {
    return {this->settings.id.value + "/" + std::to_string(this->incarnation) + "/" +
            std::to_string(++this->attempts)};
}

void entry::on_request(const adapters::exchange_ptr& exchange) {
    if (this->stopping) {
        process::reply_problem(*exchange,
                               {base::code::shutting_down, base::execution_state::not_run, soon});
        return;
    }
    if (!this->config.ready()) {
        process::reply_problem(*exchange,
                               {base::code::not_ready, base::execution_state::not_run, soon});
        return;
    }
    if (exchange->path() == "/v1/models") {
        this->list_models(exchange);
        return;
    }
    if (!exchange->may_hold(reading_factor * exchange->body().size())) {
        process::reply_problem(
            *exchange, {base::code::memory_exhausted, base::execution_state::not_run, soon});
        return;
    }
    const http_request asked{
        exchange->method(), exchange->target(), exchange->path(),
        [&exchange](const std::string& name) { return exchange->header(name); },
        exchange->take_body()};
    auto read = read_request(asked, this->config.current(), this->settings.limits,
                             "own-" + this->next_attempt().value);
    if (const auto* refusal = std::get_if<process::problem>(&read)) {
        this->metrics.count(
            "camphorrail_refusals_total",
            {{"code", std::to_string(static_cast<int>(refusal->number))}, {"ran", "not_run"}});
        process::reply_problem(*exchange, *refusal);
        return;
    }
    std::make_shared<request_flow>(this->surroundings, std::get<caller_request>(std::move(read)),
                                   exchange)
        ->start();
}

void entry::list_models(const adapters::exchange_ptr& exchange) {
    nlohmann::json models = nlohmann::json::array();
    for (const auto& item : this->config.current().config.models) {
        models.push_back({{"id", item.id.value}, {"object", "model"}, {"owned_by", "operators"}});
    }
    exchange->reply(http_ok, {{"Content-Type", "application/json"}},
                    nlohmann::json{{"object", "list"}, {"data", models}}.dump() + "\n");
}

void entry::on_message(const base::upstream_id& from, const wire::message& message) {
    const base::instant now = this->loop.clock().now();
    std::string attempt;
    std::visit(
        [&](const auto& one) {
            if constexpr (requires { one.load; }) {
                note_load(this->router, from, one.load, now);
            }
            if constexpr (requires { one.attempt; }) {
                attempt = one.attempt;
            }
        },
        message);
    const auto found = this->flows.find({attempt});
    if (found != this->flows.end()) {
        const auto flow = found->second;
        flow->handle(from, message);
    }
}

void entry::on_lost(const base::upstream_id& from) {
    std::vector<std::shared_ptr<request_flow>> all;
    for (const auto& [attempt, flow] : this->flows) {
        all.push_back(flow);
    }
    for (const auto& flow : all) {
        flow->handle_lost(from);
    }
}

void entry::beat() {
    if (!this->config.ready()) {
        this->links.ask(this->settings.bootstrap);
    }
    this->links.beat();
    for (const auto& [attempt, flow] : this->flows) {
        flow->keep_alive();
    }
}

void entry::read_vm_list() {
    adapters::http_fetch(
        this->loop.base(), this->settings.vm_list, {"GET", "/vms", {}, ""},
        {vm_list_timeout, false}, most_vm_list_bytes,
        [this](base::result<adapters::http_answer> answer) {
            if (!answer.has_value() || answer.value().status != http_ok) {
                return;
            }
            const auto list = nlohmann::json::parse(answer.value().body, nullptr, false);
            if (!list.is_array()) {
                return;
            }
            for (const auto& item : list) {
                if (item.is_object() && item.contains("vm") && item["vm"].is_string()) {
                    note_listed(this->router, {item["vm"].get<std::string>()},
                                item.value("state", nlohmann::json("")) == "leaving");
                }
            }
        });
}

void entry::stop() {
    if (this->stopping) {
        return;
    }
    adapters::log(adapters::log_level::info, "entry_stopping",
                  {{"open_requests", this->callers->open_exchanges()}});
    this->stopping = true;
    this->stop_at = this->loop.clock().now() + longest_stop;
    this->callers->stop_listening();
    this->exit_when_done();
}

void entry::exit_when_done() {
    const bool done = this->callers->open_exchanges() == 0;
    if (done || this->loop.clock().now() >= this->stop_at) {
        adapters::log(adapters::log_level::info, "entry_stopped", {{"all_done", done}});
        // The last answer's bytes are still on their way out.
        this->loop.after(2 * stop_check_period, [this] { this->loop.stop(); });
        return;
    }
    this->loop.after(stop_check_period, [this] { this->exit_when_done(); });
}

nlohmann::json entry::status() const {
    nlohmann::json pools = nlohmann::json::object();
    for (const auto& [name, pool] : this->router.pools) {
        for (const auto& view : pool.upstreams) {
            pools[name.value].push_back({{"upstream", view.id.value},
                                         {"wait_us", view.reported_wait.count()},
                                         {"leaving", view.health.draining},
                                         {"listed_leaving", view.health.listed_draining},
                                         {"engine_incarnation", view.health.engine_incarnation}});
        }
    }
    return {{"entry", this->settings.id.value},
            {"config_version", this->config.version().value},
            {"preset", this->config.current().config.preset_in_force},
            {"open_requests", this->callers->open_exchanges()},
            {"links", this->links.count()},
            {"stopping", this->stopping},
            {"pools", pools}};
}

void entry::refresh_metrics() {
    this->metrics.set("camphorrail_links", static_cast<double>(this->links.count()));
    this->metrics.set("camphorrail_buffered_bytes",
                      static_cast<double>(this->callers->held_bytes()));
    this->metrics.set("camphorrail_open_requests",
                      static_cast<double>(this->callers->open_exchanges()));
    this->metrics.set("camphorrail_config_version",
                      static_cast<double>(this->config.version().value));
    adapters::show_platform_calls(this->metrics, *this->platform_calls);
}

} // namespace camphorrail::entry
