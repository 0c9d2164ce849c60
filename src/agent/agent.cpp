#include "agent/agent.h"

#include "adapters/allocator.h"
#include "adapters/http_client.h"
#include "adapters/http_platform.h"
#include "adapters/http_upstream.h"
#include "adapters/logging.h"
#include "buffers/memory_plan.h"
#include "process/config_exchange.h"
#include "process/link_limits.h"
#include "process/operators_port.h"

#include <nlohmann/json.hpp>

#include <set>
#include <vector>

namespace camphorrail::agent {

namespace {

constexpr base::micros tick_period = base::milliseconds(50);
constexpr base::micros engine_poll_period = base::seconds(1);
constexpr base::milliseconds engine_poll_timeout{1000};
constexpr base::micros longest_stop = base::seconds(60);
constexpr std::size_t most_load_bytes = 1U << 20U;
constexpr int http_ok = 200;
// What an order holds beside its body.
constexpr std::size_t other_order_bytes = 1U << 20U;
// An order is held so often: as it came, for the call to the upstream, and in that call's buffer.
constexpr std::size_t order_copies = 3;
constexpr base::milliseconds memory_retry_after{1000};

adapters::link_limits listener_limits(const settings::limit_settings& settings) {
    const auto largest_order =
        static_cast<std::size_t>(settings.max_body_bytes) + other_order_bytes;
    return process::listener_limits(settings.memory_mb, wire::max_frame_bytes, largest_order);
}

std::string make_nonce(const settings::agent_settings& settings, std::int64_t incarnation) {
    return settings.id.value + "@" + std::to_string(incarnation);
}

} // namespace

// The link of one entry, and the repeatable orders that came over it.
struct agent::session {
    process::wire_link_ptr link;
    std::string entry;
    std::set<std::string> attempts;
};

agent::agent(settings::agent_settings given)
    : settings(std::move(given)),
      timeline(this->settings.id.value, static_cast<std::size_t>(this->settings.timeline.events)),
      platform_calls(std::make_shared<adapters::platform_budget>()),
      // Two lives of one agent never share this: the clock moves on between them.
      incarnation(this->loop.clock().wall_ms()),
      orders(this->settings, this->loop.clock(),
             adapters::make_http_upstream(this->loop.base(), this->settings.upstream,
                                          this->settings.limits.request_timeout),
             this->metrics, this->timeline),
      once(this->settings.id, make_nonce(this->settings, this->incarnation),
           {&this->loop,
            adapters::counted(adapters::make_http_platform(this->loop.base(),
                                                           this->settings.platform.endpoint,
                                                           this->settings.platform.timeout),
                              this->loop, this->platform_calls),
            adapters::make_http_upstream(this->loop.base(), this->settings.upstream,
                                         this->settings.limits.request_timeout),
            &this->metrics, &this->timeline}),
      loads(this->settings.id, make_nonce(this->settings, this->incarnation), this->loop,
            adapters::counted(adapters::make_http_platform(this->loop.base(),
                                                           this->settings.platform.endpoint,
                                                           this->settings.platform.timeout),
                              this->loop, this->platform_calls),
            this->timeline, this->settings.upstream) {}

int agent::run() {
    adapters::start_logging(this->settings.id.value);
    this->listener = adapters::listen_for_links(
        this->loop.base(), this->settings.listen, listener_limits(this->settings.limits),
        [this](adapters::link_ptr transport) { this->accept(std::move(transport)); });
    auto operators = process::serve_operators(
        this->loop, this->metrics, this->timeline, this->settings.limits.memory_mb,
        {[this] { return this->config.ready(); }, [this] { return this->status(); },
         [this] { this->refresh_metrics(); }});
    if (!this->listener || !operators->listen(this->settings.operators_listen)) {
        adapters::log(adapters::log_level::error, "cannot_listen",
                      {{"listen", this->settings.listen},
                       {"operators_listen", this->settings.operators_listen}});
        return 1;
    }
    this->start_timers();
    adapters::log(adapters::log_level::info, "agent_started",
                  {{"listen", this->settings.listen}, {"upstream", this->settings.upstream}});
    this->loop.run();
    return 0;
}

void agent::start_timers() {
    this->config.changed.connect([this] { this->follow_config(); });
    this->config.follow(this->loop,
                        adapters::counted(adapters::make_http_platform(
                                              this->loop.base(), this->settings.platform.endpoint,
                                              this->settings.platform.timeout),
                                          this->loop, this->platform_calls),
                        this->settings.platform.poll);
    this->once.start();
    adapters::return_free_memory_regularly(this->loop);
    this->loop.every(process::heartbeat_period, [this] { this->beat(); });
    this->loop.every(tick_period, [this] { this->orders.expire(); });
    this->loop.every(engine_poll_period, [this] { this->poll_engine(); });
    this->loop.on_stop_signal([this] { this->stop(); });
}

nlohmann::json agent::status() const {
    const auto load = this->orders.load();
    return {{"agent", this->settings.id.value},
            {"config_version", this->config.version().value},
            {"running", load.running},
            {"waiting", load.waiting},
            {"once_keys", this->once.key_count()},
            {"loading", this->loads.loading()},
            {"links", this->sessions.size()},
            {"stopping", this->stopping}};
}

void agent::refresh_metrics() {
    const auto load = this->orders.load();
    const auto set = [this](const std::string& name, double value,
                            const adapters::metric_labels& labels = {}) {
        this->metrics.set("camphorrail_" + name, value, labels);
    };
    set("links", static_cast<double>(this->sessions.size()));
    set("config_version", static_cast<double>(this->config.version().value));
    set("running", static_cast<double>(load.running));
    set("waiting", static_cast<double>(load.waiting));
    set("once_keys", static_cast<double>(this->once.key_count()));
    adapters::show_platform_calls(this->metrics, *this->platform_calls);
}

void agent::accept(adapters::link_ptr transport) {
    auto made = std::make_shared<session>(session{
        std::make_shared<process::wire_link>(std::move(transport), this->loop.clock().now()),
        "",
        {}});
    this->sessions[made.get()] = made;
    const std::weak_ptr<session> weak = made;
    made->link->opened.connect([this, weak] {
        if (const auto held = weak.lock()) {
            held->link->send(wire::hello{this->settings.id.value, this->incarnation,
                                         this->config.version().value, this->orders.load()});
        }
    });
    made->link->received.connect([this, weak](const wire::message& message) {
        if (const auto held = weak.lock()) {
            this->handle(held, message);
        }
    });
    made->link->lost.connect([this, weak] {
        if (const auto held = weak.lock()) {
            this->drop(held);
        }
    });
}

void agent::drop(const session_ptr& lost) {
    lost->link->close();
    // The entry tries its repeatable orders elsewhere; what runs here for it would be wasted.
    for (const auto& attempt : lost->attempts) {
        this->orders.cancel(attempt);
    }
    this->sessions.erase(lost.get());
}

void agent::handle(const session_ptr& from, const wire::message& message) {
    from->link->note_heard(this->loop.clock().now());
    std::visit([this, &from](const auto& one) { this->handle_one(from, one); }, message);
}

void agent::handle_one(const session_ptr& from, const wire::hello& message) {
    from->entry = message.from;
    process::note_version(this->config, *from->link, message.config_version);
}

void agent::handle_one(const session_ptr& from, const wire::heartbeat& message) {
    process::note_version(this->config, *from->link, message.config_version);
}

void agent::handle_one(const session_ptr& from, const wire::config_request& message) {
    process::answer(this->config, *from->link, message);
}

void agent::handle_one(const session_ptr& from, const wire::config_reply& message) {
    process::take(this->config, *from->link, message);
}

// Whether what the orders of all entries hold stays within the memory with this one.
bool agent::has_memory_for(const wire::order& order) const {
    const auto limit = buffers::plan_memory(this->settings.limits.memory_mb).clients.limit;
    const std::size_t held =
        order_copies * (this->orders.body_bytes() + this->once.body_bytes() + order.body.size()) +
        this->listener->unread_bytes();
    return limit == 0 || held <= static_cast<std::size_t>(limit);
}

// An earlier copy of an order with a key may have run.
void agent::refuse_for_memory(const session_ptr& from, const wire::order& order) {
    const bool keyed = !order.idempotency_key.empty();
    const auto number = keyed ? base::code::once_outcome_unknown : base::code::memory_exhausted;
    const auto ran = keyed ? base::execution_state::unknown : base::execution_state::not_run;
    this->metrics.count("camphorrail_refusals_total",
                        {{"code", std::to_string(static_cast<int>(number))},
                         {"ran", std::string(base::to_string(ran))}});
    this->timeline.mark("order_refused", order.attempt, {{"code", static_cast<int>(number)}});
    from->link->send(wire::refused{order.attempt,
                                   static_cast<int>(number),
                                   static_cast<int>(ran),
                                   memory_retry_after.count(),
                                   this->orders.load(),
                                   {}});
}

void agent::handle_one(const session_ptr& from, const wire::order& message) {
    process::note_version(this->config, *from->link, message.config_version);
    if (!this->has_memory_for(message)) {
        this->refuse_for_memory(from, message);
        return;
    }
    const std::weak_ptr<session> weak = from;
    const std::string attempt = message.attempt;
    const auto send = [weak, attempt](const wire::message& answer) {
        const auto held = weak.lock();
        if (!held) {
            return;
        }
        if (std::holds_alternative<wire::finished>(answer) ||
            std::holds_alternative<wire::refused>(answer)) {
            held->attempts.erase(attempt);
        }
        held->link->send(answer);
    };
    if (message.idempotency_key.empty()) {
        from->attempts.insert(attempt);
        this->orders.submit(message, send);
    } else {
        this->once.submit(message, send);
    }
}

void agent::handle_one(const session_ptr& from, const wire::cancel& message) {
    from->attempts.erase(message.attempt);
    this->orders.cancel(message.attempt);
    this->once.cancel(message.attempt);
}

void agent::handle_one(const session_ptr& /*from*/, const wire::credit& message) {
    this->orders.credit(message.attempt, message.bytes);
}

void agent::handle_one(const session_ptr& from, const wire::tombstone& message) {
    const std::weak_ptr<session> weak = from;
    this->once.tombstone(message, [weak](const wire::message& answer) {
        if (const auto held = weak.lock()) {
            held->link->send(answer);
        }
    });
}

void agent::handle_one(const session_ptr& /*from*/, const wire::placed& message) {
    this->orders.note_placed(message.level_key, message.holder);
}

void agent::follow_config() {
    const auto& tables = this->config.current();
    const auto* own = config::find_upstream(tables.config, this->settings.id);
    const auto& preset = config::current_preset(tables.config);
    this->orders.set_rules({preset.wait_to_target, preset.lowest_priority});
    const bool serving = own != nullptr && own->state == config::upstream_state::serving;
    this->orders.set_leaving(this->stopping || !serving);
    this->once.follow(tables);
    this->beat();
}

void agent::poll_engine() {
    const auto* own = config::find_upstream(this->config.current().config, this->settings.id);
    if (own == nullptr || own->kind != config::upstream_kind::engine) {
        return; // a plain service reports no load
    }
    adapters::http_fetch(this->loop.base(), this->settings.upstream, {"GET", "/load", {}, ""},
                         {engine_poll_timeout, false}, most_load_bytes,
                         [this](base::result<adapters::http_answer> answer) {
                             if (answer.has_value() && answer.value().status == http_ok) {
                                 this->note_engine(answer.value().body);
                             }
                         });
}

void agent::note_engine(const std::string& report) {
    const auto fields = nlohmann::json::parse(report, nullptr, false);
    if (!fields.is_object()) {
        return;
    }
    const auto incarnation_now = fields.find("incarnation");
    if (incarnation_now != fields.end() && incarnation_now->is_number_integer()) {
        this->orders.note_engine(incarnation_now->get<std::int64_t>());
    }
    const auto weights = fields.find("weights");
    const std::string wanted = this->wanted_weights();
    if (weights != fields.end() && weights->is_string() && !wanted.empty()) {
        this->loads.note(wanted, weights->get<std::string>());
    }
}

// The version of the first model that this engine serves and the configuration gives one for.
std::string agent::wanted_weights() const {
    const auto& tables = this->config.current();
    const auto* own = config::find_upstream(tables.config, this->settings.id);
    if (own == nullptr) {
        return {};
    }
    for (const auto& model : own->serves) {
        const auto found = tables.weights.find({model});
        if (found != tables.weights.end()) {
            return found->second;
        }
    }
    return {};
}

void agent::beat() {
    const base::instant now = this->loop.clock().now();
    std::vector<session_ptr> silent;
    for (const auto& [raw, held] : this->sessions) {
        if (held->link->silent(now)) {
            silent.push_back(held);
        } else if (held->link->open()) {
            held->link->beat({this->config.version().value, this->orders.load()});
        }
    }
    for (const auto& lost : silent) {
        this->metrics.count("camphorrail_links_replaced_total");
        this->drop(lost);
    }
}

void agent::stop() {
    if (this->stopping) {
        return;
    }
    adapters::log(adapters::log_level::info, "agent_stopping", {});
    this->stopping = true;
    this->stop_at = this->loop.clock().now() + longest_stop;
    this->orders.set_leaving(true);
    this->once.close();
    this->beat(); // entries hear at once that this agent is leaving
    this->exit_when_done();
}

void agent::exit_when_done() {
    const bool done = this->orders.idle() && this->once.closed();
    if (done || this->loop.clock().now() >= this->stop_at) {
        adapters::log(adapters::log_level::info, "agent_stopped", {{"all_done", done}});
        this->loop.after(tick_period, [this] { this->loop.stop(); });
        return;
    }
    this->loop.after(tick_period, [this] { this->exit_when_done(); });
}

} // namespace camphorrail::agent
