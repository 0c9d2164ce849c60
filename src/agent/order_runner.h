#pragma once

#include "adapters/metrics.h"
#include "adapters/timeline.h"
#include "admission/queue.h"
#include "agent/answer_sender.h"
#include "agent/upstream_request.h"
#include "ports/clock.h"
#include "ports/upstream.h"
#include "routing/engine_view.h"
#include "settings/settings.h"
#include "stream/event_splitter.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace camphorrail::agent {

// Runs orders that may be repeated: takes or refuses them, lets them wait in the order of
// priorities and shares, and passes the upstream's answers on as they come.
class order_runner {
public:
    order_runner(const settings::agent_settings& settings, ports::clock clock,
                 ports::upstream upstream, adapters::metrics& metrics,
                 adapters::timeline& timeline);

    void submit(const wire::order& order, send_function send);
    // An entry sends prompts with this prefix elsewhere.
    void note_placed(std::uint64_t level_key, std::uint64_t holder);
    void cancel(const std::string& attempt);
    void credit(const std::string& attempt, std::int64_t bytes);
    // Refuses what has waited beyond its deadline.
    void expire();

    void set_rules(admission::admission_rules rules) { this->rules = rules; }
    // A leaving agent takes nothing new and finishes what it has.
    void set_leaving(bool leaving) { this->leaving = leaving; }
    void note_engine(std::int64_t engine_incarnation);
    [[nodiscard]] wire::load_report load() const;
    // Bytes of the bodies of all orders that wait or run.
    [[nodiscard]] std::size_t body_bytes() const;
    [[nodiscard]] bool idle() const { return this->running.empty() && this->waiting.empty(); }

private:
    struct active_order;
    using active_ptr = std::shared_ptr<active_order>;

    void refuse(const wire::order& order, const send_function& send, base::code number,
                base::execution_state ran, base::milliseconds retry_after);
    bool pass_on(const wire::order& order, const prefix::prefix_chain& chain,
                 const send_function& send);
    [[nodiscard]] bool has_room() const;
    void pump();
    void start(const active_ptr& active);
    void on_started(const active_ptr& active, int status, const std::string& content_type);
    void on_received(const active_ptr& active, const std::string& bytes);
    void on_ended(const active_ptr& active);
    void on_failed(const active_ptr& active, base::code number);
    void forward_event(const active_ptr& active, const std::string& event);
    void finish(const active_ptr& active);
    [[nodiscard]] base::micros engine_wait() const;

    const settings::agent_settings* settings;
    ports::clock clock;
    ports::upstream upstream;
    adapters::metrics* metrics;
    adapters::timeline* timeline;
    routing::engine_view cache;
    // Who holds the prefixes that this upstream is home of.
    routing::affinity_table notes;
    admission::request_queue queue;
    admission::admission_rules rules;
    bool leaving = false;
    std::unordered_map<std::string, active_ptr> waiting;
    std::unordered_map<std::string, active_ptr> running;
};

} // namespace camphorrail::agent
