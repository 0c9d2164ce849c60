#include "base/hash.h"
#include "proxy/request_flow.h"
#include "queueing/slot_times.h"

#include <algorithm>
#include <cmath>

// Keeps teams to their shares of overloaded pools.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

// The upstreams that can run requests now, and the requests in flight there. An upstream that only
// asks for a short pause runs those that it has.
shares::pool_load measure_load(const entry_state& state, const base::pool_id& pool,
                               base::instant now) {
    shares::pool_load load;
    for (const auto& [id, member] : state.fleet.members) {
        const bool is_usable = fleet::is_available(member) && !fleet::is_suspected(member, now) &&
                               now >= member.weights_change_until;
        if (member.listed.pool == pool && is_usable) {
            load.slots += member.listed.slots;
            load.in_flight += fleet::total_work(member, now).in_flight;
            load.own_in_flight += member.local_work.in_flight;
        }
    }
    return load;
}

} // namespace

// Whether the request counts towards its team's share of the pool: if it is a prompt, since other
// requests do not queue at engines.
bool request_flow::is_shared() const {
    return this->context.settings.features.team_shares && this->request.team != nullptr &&
           this->criteria.prompt != nullptr;
}

void request_flow::update_shares() {
    auto& state = this->context.state;
    const auto& pool = this->criteria.pool;
    const base::instant now = this->context.now();
    if (!shares::is_update_due(state.shares, pool, now, {})) {
        return;
    }
    const auto load = measure_load(state, pool, now);
    if (!shares::update_pool(state.shares, pool, load, now, {})) {
        return;
    }
    const auto& account = state.shares.pools.at(pool);
    this->context.log.line(importance::keep, "pool_overload")
        .text("pool", pool.value)
        .flag("overloaded", account.overloaded)
        .thousandths("load_in_1000", account.load)
        .number("in_flight", load.in_flight)
        .number("slots", load.slots)
        .thousandths("capacity_in_1000", account.correction);
}

milliseconds request_flow::expected_slot_time() const {
    const auto& pools = this->context.state.queueing;
    const auto learned = pools.find(this->criteria.pool);
    const double ms =
        learned == pools.end()
            ? queueing::prior_slot_ms
            : queueing::route_slot_ms(learned->second.times, this->request.route->name,
                                      queueing::prior_slot_ms, this->context.now());
    return milliseconds(std::max<std::int64_t>(std::llround(ms), 1));
}

// Refuses the request if its team is beyond its share of the pool; returns true if so.
bool request_flow::refuse_if_beyond_share() {
    if (!this->is_shared()) {
        return false;
    }
    this->update_shares();
    auto& state = this->context.state.shares;
    const shares::share_request charge{
        this->request.team->id,     this->criteria.pool,
        this->expected_slot_time(), base::stable_hash(this->metadata.request_id),
        this->time_left(),          this->resumes_earlier_request()};
    const auto decision = shares::admit(state, charge, this->context.now(), {});
    if (decision.admitted) {
        this->charged_share = charge;
        return false;
    }
    this->context.log.line(importance::keep, "beyond_share")
        .text("request", this->metadata.request_id)
        .text("team", charge.team.value)
        .text("pool", charge.pool.value)
        .thousandths("share_in_1000", decision.share)
        .thousandths("use_in_1000", decision.use)
        .thousandths("demand_in_1000", decision.demand)
        .thousandths("overload_in_1000", decision.load)
        .number("config_version", this->request.config->version);
    this->context.metrics.count("camphorrail_share_refusals_total",
                                {{"team", charge.team.value}, {"pool", charge.pool.value}});
    this->refuse(base::code::beyond_share, base::execution_state::not_run,
                 std::chrono::floor<milliseconds>(decision.retry_after));
    return true;
}

// A request that no upstream has begun has used no slot.
void request_flow::settle_share() {
    if (this->charged_share && this->possible_executions == 0) {
        shares::return_charge(this->context.state.shares, *this->charged_share, this->context.now(),
                              {});
    }
    this->charged_share.reset();
}

} // namespace camphorrail::proxy
