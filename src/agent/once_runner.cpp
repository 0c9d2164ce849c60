#include "agent/once_runner.h"

#include "adapters/logging.h"
#include "agent/upstream_request.h"
#include "stream/event_splitter.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace camphorrail::agent {

namespace {

constexpr base::micros tick_period = base::milliseconds(100);
constexpr std::int64_t renewals_a_lease = 3;
constexpr std::size_t max_answer_bytes = 16U << 20U;

// An answer while it arrives. It counts only whole.
struct collected {
    once::recorded_response answer;
    bool events = false;
    stream::event_splitter splitter;
};

} // namespace

struct once_runner::pool_runner {
    once::ledger ledger;
    // The orders that started what runs, by key.
    std::unordered_map<std::string, wire::order> orders;
};

// An order is kept only while its call may still have to leave or is under way.
void once_runner::drop_settled(pool_runner& pool, const std::string& key) {
    const auto known = pool.ledger.keys.find({key});
    const bool needed =
        known != pool.ledger.keys.end() && (known->second.phase == once::key_phase::claiming ||
                                            known->second.phase == once::key_phase::running);
    if (!needed) {
        pool.orders.erase(key);
    }
}

once_runner::once_runner(base::upstream_id self, std::string nonce, once_surroundings around)
    : self(std::move(self)), nonce(std::move(nonce)), around(std::move(around)),
      clock(this->around.loop->clock()) {}

void once_runner::start() {
    const once::ledger_rules rules;
    this->around.loop->every(rules.lease / renewals_a_lease, [this] { this->renew_lease(); });
    this->around.loop->every(tick_period, [this] { this->tick(); });
}

once::event_time once_runner::moment() const {
    return {this->clock.now(), this->clock.wall_ms()};
}

void once_runner::renew_lease() {
    if (this->lease_call_pending || this->pools.empty()) {
        return;
    }
    this->lease_call_pending = true;
    const base::instant sent = this->clock.now();
    if (this->lease == 0) {
        const auto seconds =
            std::chrono::duration_cast<base::seconds>(once::ledger_rules{}.lease).count();
        this->around.platform.grant_lease(seconds,
                                          [this, sent](base::result<ports::lease> granted) {
                                              this->lease_call_pending = false;
                                              if (granted.has_value()) {
                                                  this->set_lease(granted.value().id, sent);
                                              }
                                          });
        return;
    }
    // The key-value service of the product's own interface states no era.
    const ports::lease held{this->lease};
    this->around.platform.renew_lease(held, [this, held, sent](const auto& renewed) {
        this->lease_call_pending = false;
        if (!renewed.has_value()) {
            return;
        }
        if (ports::was_extended(held, renewed.value())) {
            this->set_lease(this->lease, sent);
        } else {
            this->lease = 0;
            this->renew_lease();
        }
    });
}

void once_runner::set_lease(std::int64_t granted, base::instant sent) {
    this->lease = granted;
    for (const auto& [name, pool] : this->pools) {
        this->carry_out(pool, once::on_lease_renewed(pool->ledger, granted, sent, this->moment()));
    }
}

void once_runner::tick() {
    if (this->lease == 0) {
        this->renew_lease();
    }
    for (const auto& [name, pool] : this->pools) {
        this->carry_out(pool, once::on_tick(pool->ledger, this->moment()));
    }
}

void once_runner::follow(const config::directory& tables) {
    const auto* own = config::find_upstream(tables.config, this->self);
    if (own == nullptr || this->closing) {
        return;
    }
    for (const auto& name : config::pools_of(*own)) {
        auto& pool = this->pools[name.value];
        if (!pool) {
            pool = std::make_shared<pool_runner>();
            pool->ledger = once::make_ledger(this->self, name, this->nonce);
            pool->ledger.lease = this->lease;
        }
        const auto grace = config::current_preset(tables.config).outage_grace;
        this->carry_out(pool,
                        once::set_placement(pool->ledger, {config::members(tables, name), grace},
                                            this->moment()));
    }
    this->renew_lease();
}

void once_runner::submit(const wire::order& order, send_function send) {
    const auto found = this->pools.find(order.pool);
    if (found == this->pools.end()) {
        send(wire::refused{order.attempt,
                           static_cast<int>(base::code::once_not_owner),
                           static_cast<int>(base::execution_state::unknown),
                           0,
                           {}});
        return;
    }
    const pool_ptr pool = found->second;
    const base::idempotency_key key{order.idempotency_key};
    if (pool->orders.count(key.value) == 0) {
        pool->orders[key.value] = order;
    }
    wire::order without_body = order;
    without_body.body.clear();
    without_body.body.shrink_to_fit();
    this->asked[order.attempt] = {std::move(without_body), std::move(send), pool};
    const once::event_time at = this->moment();
    this->carry_out(
        pool,
        once::on_order(
            pool->ledger,
            {{order.attempt}, key, order.fingerprint, at.now + base::micros(order.deadline_us)},
            at));
}

void once_runner::tombstone(const wire::tombstone& asked_for, const send_function& send) {
    const auto found = this->pools.find(asked_for.pool);
    if (found == this->pools.end()) {
        send(wire::tombstoned{asked_for.attempt, static_cast<int>(base::execution_state::unknown)});
        return;
    }
    this->tombstone_askers[asked_for.attempt] = send;
    this->carry_out(found->second, once::on_tombstone(found->second->ledger, {asked_for.attempt},
                                                      {asked_for.idempotency_key}, this->moment()));
}

void once_runner::cancel(const std::string& attempt) {
    const auto found = this->asked.find(attempt);
    if (found == this->asked.end()) {
        return;
    }
    once::on_client_disconnected(found->second.pool->ledger, {attempt},
                                 {found->second.order.idempotency_key});
    this->asked.erase(found);
}

void once_runner::close() {
    this->closing = true;
    for (const auto& [name, pool] : this->pools) {
        this->carry_out(pool, once::close(pool->ledger, this->moment()));
    }
}

bool once_runner::closed() const {
    return std::all_of(this->pools.begin(), this->pools.end(), [](const auto& item) {
        const auto state = item.second->ledger.state;
        return state == once::phase::closed || state == once::phase::superseded;
    });
}

std::size_t once_runner::key_count() const {
    std::size_t count = 0;
    for (const auto& [name, pool] : this->pools) {
        count += pool->ledger.keys.size();
    }
    return count;
}

std::size_t once_runner::body_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [name, pool] : this->pools) {
        for (const auto& [key, order] : pool->orders) {
            bytes += order.body.size();
        }
    }
    return bytes;
}

void once_runner::carry_out(const pool_ptr& pool, const once::actions& todo) {
    for (const auto& action : todo) {
        std::visit([this, &pool](const auto& one) { this->carry_out_one(pool, one); }, action);
    }
}

void once_runner::carry_out_one(const pool_ptr& pool, const once::read_action& todo) {
    this->around.platform.read(
        todo.prefix, [this, pool](const base::result<ports::snapshot>& answer) {
            this->carry_out(pool, once::on_read(pool->ledger, answer, this->moment()));
        });
}

void once_runner::carry_out_one(const pool_ptr& pool, const once::commit_action& todo) {
    this->around.platform.commit(
        todo.change, [this, pool](const base::result<ports::commit_result>& answer) {
            this->carry_out(pool, once::on_committed(pool->ledger, answer, this->moment()));
        });
}

void once_runner::carry_out_one(const pool_ptr& pool, const once::run_action& todo) {
    const auto found = pool->orders.find(todo.key.value);
    if (found == pool->orders.end()) {
        this->carry_out(pool,
                        once::on_failed(pool->ledger, todo.key, base::code::once_cannot_record,
                                        base::execution_state::not_run, this->moment()));
        return;
    }
    const wire::order order = found->second;
    const auto state = std::make_shared<collected>();
    const auto call = std::make_shared<ports::call_handle>();
    this->around.timeline->mark("once_left", order.attempt, {{"key", todo.key.value}});
    const auto fail = [this, pool, key = todo.key](base::code number) {
        pool->orders.erase(key.value);
        const bool never_left = number == base::code::upstream_unreachable;
        this->carry_out(pool, once::on_failed(pool->ledger, key, number,
                                              never_left ? base::execution_state::not_run
                                                         : base::execution_state::unknown,
                                              this->moment()));
    };
    *call = this->around.upstream.send(
        to_call(order, todo.fencing_number),
        {[state](int status, const std::string& content_type) {
             state->answer.status = status;
             state->answer.content_type = content_type;
             state->events = content_type.rfind("text/event-stream", 0) == 0;
         },
         [state, call, fail](const std::string& bytes) {
             state->answer.body += bytes;
             if (state->events) {
                 stream::split(state->splitter, bytes);
             }
             if (state->answer.body.size() > max_answer_bytes) {
                 call->cancel();
                 fail(base::code::upstream_answer_malformed);
             }
         },
         [this, pool, state, fail, key = todo.key] {
             if (state->events && !state->splitter.done) {
                 fail(base::code::stream_cut);
                 return;
             }
             pool->orders.erase(key.value);
             this->carry_out(pool, once::on_completed(pool->ledger, key, std::move(state->answer),
                                                      this->moment()));
         },
         fail});
}

// The way back to the entry that asked; nothing where its caller has gone.
send_function once_runner::take_asker(pool_runner& pool, const base::attempt_id& attempt) {
    const auto found = this->asked.find(attempt.value);
    if (found == this->asked.end()) {
        return {};
    }
    send_function send = std::move(found->second.send);
    drop_settled(pool, found->second.order.idempotency_key);
    this->asked.erase(found);
    return send;
}

void once_runner::carry_out_one(const pool_ptr& pool, const once::response_action& todo) {
    const send_function send = this->take_asker(*pool, todo.attempt);
    if (!send) {
        return;
    }
    this->around.timeline->mark("once_answered", todo.attempt.value);
    send(wire::started{todo.attempt.value, todo.response.status, todo.response.content_type});
    send(wire::chunk{todo.attempt.value, 0, todo.response.body});
    send(wire::finished{todo.attempt.value, 1, 0, 0, {}});
}

void once_runner::carry_out_one(const pool_ptr& pool, const once::refuse_action& todo) {
    const send_function send = this->take_asker(*pool, todo.attempt);
    if (!send) {
        return;
    }
    this->around.metrics->count("camphorrail_refusals_total",
                                {{"code", std::to_string(static_cast<int>(todo.number))},
                                 {"ran", std::string(base::to_string(todo.ran))}});
    this->around.timeline->mark("once_refused", todo.attempt.value,
                                {{"code", static_cast<int>(todo.number)}});
    send(wire::refused{todo.attempt.value,
                       static_cast<int>(todo.number),
                       static_cast<int>(todo.ran),
                       todo.retry_after.count(),
                       {}});
}

void once_runner::carry_out_one(const pool_ptr& /*pool*/, const once::tombstoned_action& todo) {
    const auto found = this->tombstone_askers.find(todo.attempt.value);
    if (found == this->tombstone_askers.end()) {
        return;
    }
    const auto send = std::move(found->second);
    this->tombstone_askers.erase(found);
    this->asked.erase(todo.attempt.value);
    send(wire::tombstoned{todo.attempt.value, static_cast<int>(todo.ran)});
}

} // namespace camphorrail::agent
