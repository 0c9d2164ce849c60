#include "base/hash.h"
#include "proxy/request_flow.h"

// Charges requests to their team's quota.
namespace camphorrail::proxy {

namespace {

using adapters::importance;
using base::milliseconds;

quota::units quota_cost(const routes::team_quota& limit, const ports::client_request& metadata) {
    if (limit.unit == routes::quota_unit::requests) {
        return {1};
    }
    return {metadata.max_total_tokens.value_or(limit.default_tokens)};
}

} // namespace

// Refuses the request if its team's quota is used up; returns true if so.
bool request_flow::refuse_if_over_quota() {
    const auto* team = this->request.team;
    if (team == nullptr || !routes::is_limited(team->quota)) {
        return false;
    }
    const auto cost = quota_cost(team->quota, this->metadata);
    const auto decision = quota::admit(this->context.state.quotas, team->id, cost,
                                       base::stable_hash(this->metadata.request_id),
                                       this->context.now(), quota_rules_of(this->context.settings));
    if (decision.admitted) {
        this->charged_quota = cost;
        return false;
    }
    this->context.log.line(importance::keep, "over_quota")
        .text("request", this->metadata.request_id)
        .text("team", team->id.value)
        .number("cost", cost.value)
        .number("left", static_cast<std::int64_t>(decision.balance))
        .number("asked_per_s", static_cast<std::int64_t>(decision.demand))
        .number("given_per_s", static_cast<std::int64_t>(decision.rate))
        .number("share_in_1000", static_cast<std::int64_t>(1000.0 * decision.share))
        .number("config_version", this->request.config->version);
    this->context.metrics.count("camphorrail_quota_refusals_total", {{"team", team->id.value}});
    this->refuse(base::code::quota_spent, base::execution_state::not_run,
                 std::chrono::ceil<milliseconds>(decision.retry_after));
    return true;
}

// Charges once for each upstream that may have begun to execute the request; a request that none
// has begun is free.
void request_flow::settle_quota() {
    if (!this->charged_quota) {
        return;
    }
    const quota::units executed{this->charged_quota->value * this->possible_executions};
    quota::adjust_charge(this->context.state.quotas, this->request.team->id, *this->charged_quota,
                         executed, this->context.now());
    this->charged_quota.reset();
}

} // namespace camphorrail::proxy
