#pragma once

#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "adapters/timeline.h"
#include "agent/answer_sender.h"
#include "config/directory.h"
#include "once/ledger.h"
#include "ports/clock.h"
#include "ports/platform.h"
#include "ports/upstream.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace camphorrail::agent {

// Surroundings that a once_runner works through.
struct once_surroundings {
    adapters::event_loop* loop = nullptr;
    ports::platform platform;
    ports::upstream upstream;
    adapters::metrics* metrics = nullptr;
    adapters::timeline* timeline = nullptr;
};

// Runs orders that must not run twice: carries out what the ledgers of the agent's pools decide.
class once_runner {
public:
    once_runner(base::upstream_id self, std::string nonce, once_surroundings around);

    // Begins to keep the agent's lease and to give the ledgers time.
    void start();
    // The configuration changed: which pools the agent is in, and who owns their keys.
    void follow(const config::directory& tables);
    void submit(const wire::order& order, send_function send);
    void tombstone(const wire::tombstone& asked, const send_function& send);
    void cancel(const std::string& attempt);
    // Hands the keys over; `closed` becomes true once all is recorded.
    void close();
    [[nodiscard]] bool closed() const;
    [[nodiscard]] std::size_t key_count() const;
    // Bytes of the bodies of all orders that are held.
    [[nodiscard]] std::size_t body_bytes() const;

private:
    struct pool_runner;
    using pool_ptr = std::shared_ptr<pool_runner>;
    struct asked_order {
        // Without its body, which lies with the pool's orders.
        wire::order order;
        send_function send;
        pool_ptr pool;
    };

    send_function take_asker(pool_runner& pool, const base::attempt_id& attempt);
    static void drop_settled(pool_runner& pool, const std::string& key);
    [[nodiscard]] once::event_time moment() const;
    void renew_lease();
    void set_lease(std::int64_t lease, base::instant sent);
    void tick();
    void carry_out(const pool_ptr& pool, const once::actions& todo);
    void carry_out_one(const pool_ptr& pool, const once::read_action& todo);
    void carry_out_one(const pool_ptr& pool, const once::commit_action& todo);
    void carry_out_one(const pool_ptr& pool, const once::run_action& todo);
    void carry_out_one(const pool_ptr& pool, const once::response_action& todo);
    void carry_out_one(const pool_ptr& pool, const once::refuse_action& todo);
    void carry_out_one(const pool_ptr& pool, const once::tombstoned_action& todo);

    base::upstream_id self;
    std::string nonce;
    once_surroundings around;
    ports::clock clock;
    std::int64_t lease = 0;
    bool lease_call_pending = false;
    bool closing = false;
    std::unordered_map<std::string, pool_ptr> pools;
    std::unordered_map<std::string, asked_order> asked;
    std::unordered_map<std::string, send_function> tombstone_askers;
};

} // namespace camphorrail::agent
