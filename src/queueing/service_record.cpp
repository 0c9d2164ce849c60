#include "queueing/service_record.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace camphorrail::queueing {

namespace {

// Half-life of a decision: about the time in a slot of a long response, so that the record follows
// a burst and still covers enough requests of a rare rank.
constexpr double half_life_ms = 3000.0;
// Part of the accepted requests of a rank that may be expected to be late.
constexpr double max_late_part = 0.1;

double decay(const service_record& record, base::instant now) {
    const std::chrono::duration<double, std::milli> age = now - record.updated_at;
    return std::exp2(-std::max(0.0, age.count()) / half_life_ms);
}

void advance(service_record& record, base::instant now) {
    const double kept = decay(record, now);
    for (auto& each : record.by_rank) {
        each.asked *= kept;
        each.served *= kept;
        each.late *= kept;
    }
    record.updated_at = std::max(record.updated_at, now);
}

double acceptance_rate(const rank_service& one) {
    return one.asked > 0.0 ? one.served / one.asked : 1.0;
}

double mean_acceptance_rate(const service_record& record) {
    rank_service all;
    for (const auto& each : record.by_rank) {
        all.asked += each.asked;
        all.served += each.served;
    }
    return acceptance_rate(all);
}

// Requests of a rank beyond those served that would have to be served.
double shortfall(const service_record& record, std::size_t of, const starvation_rules& rules) {
    const auto& one = record.by_rank[of];
    const double required = rules.min_relative_service * mean_acceptance_rate(record) * one.asked;
    return one.asked < rules.min_asked ? 0.0 : std::max(0.0, required - one.served);
}

} // namespace

void record_decision(service_record& record, rank of, bool accepted, base::instant now) {
    advance(record, now);
    auto& one = record.by_rank.at(of.value);
    one.asked += 1.0;
    one.served += accepted ? 1.0 : 0.0;
}

void record_late(service_record& record, rank of) {
    record.by_rank.at(of.value).late += 1.0;
}

bool may_be_late(const service_record& record, rank of) {
    const auto& one = record.by_rank.at(of.value);
    return one.late < max_late_part * one.served;
}

void record_loss(service_record& record, rank of, base::instant now) {
    advance(record, now);
    auto& one = record.by_rank.at(of.value);
    one.served = std::max(0.0, one.served - 1.0);
}

double accepted_before_per_ms(const service_record& record, rank of, base::instant now) {
    double served = 0.0;
    for (std::size_t each = 0; each < of.value; ++each) {
        served += record.by_rank[each].served;
    }
    // In a steady flow the decayed number is that of one mean lifetime.
    return served * decay(record, now) * std::numbers::ln2 / half_life_ms;
}

bool is_underserved(const service_record& record, rank of, const starvation_rules& rules) {
    return shortfall(record, of.value, rules) > 0.0;
}

bool has_to_yield(const service_record& record, rank of, const starvation_rules& rules) {
    double lacking = 0.0;
    double yielding = 0.0;
    for (std::size_t each = rank_count; each-- > of.value + 1;) {
        const double missing = shortfall(record, each, rules);
        lacking += missing;
        yielding += missing > 0.0 ? 0.0 : record.by_rank[each].served;
    }
    return lacking > 0.0 && yielding < rules.yielding_factor * lacking;
}

} // namespace camphorrail::queueing
