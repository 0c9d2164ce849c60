#include "base/hash.h"
#include "proxy/request_flow.h"

// What a request counts towards its team's quota.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

quota::units cost_of(const routes::team_quota& limit, const ports::client_request& facts) {
    if (limit.unit == routes::quota_unit::requests) {
        return {1};
    }
    return {facts.max_total_tokens.value_or(limit.default_tokens)};
}

} // namespace

// Whether the request's team has used up its quota; the request is refused then.
bool request_flow::stopped_by_quota() {
    const auto* team = this->request.team;
    if (team == nullptr || !routes::is_limited(team->quota)) {
        return false;
    }
    const auto cost = cost_of(team->quota, this->facts);
    const auto taken = quota::admit(this->context.state.quotas, team->id, cost,
                                    base::stable_hash(this->facts.request_id), this->context.now(),
                                    quota_rules_of(this->context.settings));
    if (taken.admitted) {
        this->charged = cost;
        return false;
    }
    this->context.log.line(importance::keep, "over_quota")
        .text("request", this->facts.request_id)
        .text("team", team->id.value)
        .number("cost", cost.value)
        .number("left", static_cast<std::int64_t>(taken.balance))
        .number("asked_per_s", static_cast<std::int64_t>(taken.demand))
        .number("given_per_s", static_cast<std::int64_t>(taken.rate))
        .number("share_in_1000", static_cast<std::int64_t>(1000.0 * taken.share))
        .number("config_version", this->request.config->version);
    this->context.metrics.count("camphorrail_quota_refusals_total", {{"team", team->id.value}});
    this->refuse(base::code::quota_spent, base::execution_state::not_run,
                 std::chrono::ceil<milliseconds>(taken.retry_after));
    return true;
}

// Each upstream that may have begun on the request counts; a request that none has is free.
void request_flow::settle_quota() {
    if (!this->charged) {
        return;
    }
    const quota::units ran{this->charged->value * this->begun};
    quota::adjust_charge(this->context.state.quotas, this->request.team->id, *this->charged, ran,
                         this->context.now());
    this->charged.reset();
}

} // namespace camphorrail::proxy
