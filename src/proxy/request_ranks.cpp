#include "base/hash.h"
#include "entries/entry_count.h"
#include "proxy/request_flow.h"

#include <string>

// Decides by rank which prompts are accepted, and when refused ones should return.
namespace camphorrail::proxy {

namespace {

using adapters::importance;

} // namespace

queueing::pool_request request_flow::ranked_request(const upstream_choice& choice,
                                                    bool acceptable) const {
    const auto& route = *this->request.route;
    const auto timeout = route.timeout.count() > 0 ? route.timeout : this->timeout;
    return {*this->criteria.rank, choice.wait_ms,
            choice.first_byte_ms, {route.target, route.gap_target, timeout, this->time_left()},
            route.name,           acceptable};
}

// `acceptable` is the decision by the prompt's wait and size alone.
bool request_flow::admit_by_rank(const upstream_choice& choice, bool acceptable) {
    auto& pool = this->context.state.queueing[this->criteria.pool];
    this->rank_decision =
        queueing::admit(pool, this->ranked_request(choice, acceptable), this->context.now());
    const bool accepted = queueing::is_accepted(*this->rank_decision);
    this->context.metrics.count(
        "camphorrail_prompts_by_rank_total",
        {{"rank", std::to_string(this->criteria.rank->value)},
         {"decision", std::string(queueing::name_of(*this->rank_decision))}});
    if (accepted && *this->rank_decision != queueing::ranked_decision::accepted) {
        this->context.log.line(importance::keep, "taken_late")
            .text("request", this->metadata.request_id)
            .text("route", this->request.route->name)
            .text("why", std::string(queueing::name_of(*this->rank_decision)))
            .number("rank", static_cast<std::int64_t>(this->criteria.rank->value))
            .number("wait_ms", static_cast<std::int64_t>(choice.wait_ms))
            .number("expected_first_byte_ms", static_cast<std::int64_t>(choice.first_byte_ms))
            .number("time_left_ms", this->time_left().count());
    }
    return accepted;
}

// The time after which a refused prompt should return.
base::milliseconds request_flow::schedule_return(const upstream_choice& choice) {
    const auto& state = this->context.state;
    auto size = size_of_pool(this->context, this->criteria, choice);
    size.share = 1.0 / static_cast<double>(entries::largest_entry_count(state.entry_counts));
    const auto scheduled = queueing::refuse(
        this->context.state.queueing[this->criteria.pool], this->ranked_request(choice, false),
        size, this->context.now(), base::stable_hash(this->metadata.request_id));
    this->context.metrics.count("camphorrail_returns_scheduled_total",
                                {{"rank", std::to_string(this->criteria.rank->value)},
                                 {"room", scheduled.has_room ? "yes" : "no"}});
    return scheduled.delay;
}

// A request that has ended before its first byte was not served, though it was accepted.
void request_flow::record_rank_loss() {
    const bool accepted = this->rank_decision && queueing::is_accepted(*this->rank_decision);
    if (accepted && !this->time_to_first_byte) {
        queueing::record_loss(this->context.state.queueing[this->criteria.pool].service,
                              *this->criteria.rank, this->context.now());
    }
}

} // namespace camphorrail::proxy
