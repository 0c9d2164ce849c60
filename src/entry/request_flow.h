#pragma once

#include "adapters/http_server.h"
#include "adapters/metrics.h"
#include "adapters/timeline.h"
#include "entry/agent_links.h"
#include "entry/caller_request.h"
#include "entry/router_state.h"
#include "stream/assembler.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorrail::entry {

// When a caller may come back after a refusal that gives no better hint.
inline constexpr base::milliseconds soon{1000};
// Between two questions to a key's owners while the key changes hands.
inline constexpr base::micros handover_pause = base::milliseconds(250);

// What all requests of an entry share.
struct flow_surroundings {
    adapters::event_loop* loop = nullptr;
    agent_links* links = nullptr;
    router_state* router = nullptr;
    process::config_keeper* config = nullptr;
    adapters::metrics* metrics = nullptr;
    adapters::timeline* timeline = nullptr;
    const settings::limit_settings* limits = nullptr;
    // Makes the name of the next attempt, unique over all entries.
    std::function<base::attempt_id()> next_attempt;
    // Ties an attempt's messages to its request, and unties it again.
    std::function<void(const base::attempt_id&, std::shared_ptr<class request_flow>)> follow;
    std::function<void(const base::attempt_id&)> unfollow;
};

// One request from its arrival to its final answer, over all attempts at it.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    request_flow(flow_surroundings& around, caller_request request,
                 adapters::exchange_ptr exchange);

    void start();
    void handle(const base::upstream_id& from, const wire::message& message);
    // The link to an upstream's agent was lost.
    void handle_lost(const base::upstream_id& from);
    // To be called every second: keeps a quiet stream's connection alive.
    void keep_alive();
    [[nodiscard]] bool over() const { return this->is_over; }

private:
    void update_held_bytes();
    void attempt_next();
    void attempt_routed();
    void attempt_owner();
    void tell_home(const routing::pool_view& pool, const base::upstream_id& chosen);
    void on_passed_on(const wire::refused& message);
    void send_order(const base::upstream_id& to);
    void handle_one(const wire::started& message);
    void handle_one(const wire::chunk& message);
    void handle_one(const wire::finished& message);
    void handle_one(const wire::refused& message);
    void handle_one(const wire::tombstoned& message);
    template <class Other>
    void handle_one(const Other& /*not for a request*/) {}
    bool accepted(stream::verdict verdict);
    void attempt_failed(base::code number, base::execution_state ran);
    void owner_refused(const wire::refused& message);
    void next_owner(bool wait_first);
    void deliver(const std::string& bytes);
    void grant_credit();
    void give_up(const process::problem& answer);
    void on_deadline();
    void on_caller_gone();
    void end_attempt();
    void finish();
    [[nodiscard]] bool once() const { return !this->request.key.empty(); }
    [[nodiscard]] base::instant now() const { return this->clock.now(); }

    flow_surroundings* around;
    ports::clock clock;
    caller_request request;
    adapters::exchange_ptr exchange;
    base::instant arrived_at;
    base::instant deadline;
    std::string trace;

    base::attempt_id attempt;
    base::upstream_id upstream;
    routing::choice made;
    int attempts = 0;
    std::vector<base::upstream_id> tried;
    base::code last_failure{};
    // When the agent that refused last thinks that it can take the request.
    base::milliseconds retry_after{0};
    // The prompt's home was asked.
    bool passed_on = false;
    std::vector<base::upstream_id> owners;
    std::size_t owner_rank = 0;
    int owner_resends = 0;

    stream::assembler assembler;
    int status = 0;
    std::string content_type;
    std::string body;
    bool answer_started = false;
    base::instant last_piece_at;
    std::int64_t owed_credit = 0;
    bool awaiting_tombstone = false;
    bool is_over = false;
    // Holds the request while it waits between attempts, when nothing else refers to it.
    std::shared_ptr<request_flow> self;
};

} // namespace camphorrail::entry
