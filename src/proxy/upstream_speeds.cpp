#include "proxy/upstream_speeds.h"

#include <algorithm>
#include <map>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

void record_unreadable_load(entry_context& context, fleet::member& member,
                            const ports::response_metadata& response) {
    context.metrics.count("camphorrail_upstream_loads_unreadable_total");
    if (member.speed.unreadable_logged) {
        return;
    }
    member.speed.unreadable_logged = true;
    context.log.line(importance::keep, "upstream_load_unreadable")
        .text("request", response.request_id)
        .text("upstream", member.listed.id.value)
        .number("incarnation", member.listed.incarnation.value);
}

void log_factor(entry_context& context, const fleet::speed_change& change) {
    const auto& member = *change.upstream;
    context.log.line(importance::keep, "upstream_speed")
        .text("upstream", member.listed.id.value)
        .number("incarnation", member.listed.incarnation.value)
        .thousandths("factor_in_1000", member.speed.factor)
        .thousandths("before_in_1000", change.factor_before)
        .thousandths("stated_in_1000", member.speed.stated ? member.speed.stated->value : -0.001);
    context.metrics.count("camphorrail_upstream_speed_changes_total");
}

} // namespace

void record_reported_load(entry_context& context, const base::upstream_instance& upstream,
                          const ports::response_metadata& response) {
    auto* member = fleet::find_instance(context.state.fleet, upstream);
    if (member == nullptr || response.wrong_instance) {
        return;
    }
    if (response.load) {
        fleet::record_load(context.state.fleet, *member, *response.load, context.now());
    }
    if (response.load_unreadable) {
        record_unreadable_load(context, *member, response);
    }
}

void update_upstream_speeds(entry_context& context) {
    const auto changes = fleet::update_speeds(context.state.fleet, context.now(), {});
    for (const auto& [pool, in_force] : changes.pools) {
        context.log.line(importance::keep, "speed_factors_in_force")
            .text("pool", pool.value)
            .flag("in_force", in_force);
    }
    for (const auto& change : changes.members) {
        log_factor(context, change);
    }
}

void refresh_speed_metrics(const entry_context& context) {
    std::map<base::pool_id, std::pair<double, double>> extremes;
    for (const auto& [id, member] : context.state.fleet.members) {
        const double factor = member.speed.factor;
        auto& [fastest, slowest] =
            extremes.try_emplace(member.listed.pool, factor, factor).first->second;
        fastest = std::min(fastest, factor);
        slowest = std::max(slowest, factor);
    }
    constexpr const char* name = "camphorrail_upstream_speed_factor";
    for (const auto& [pool, factors] : extremes) {
        context.metrics.set(name, factors.first, {{"pool", pool.value}, {"of", "fastest"}});
        context.metrics.set(name, factors.second, {{"pool", pool.value}, {"of", "slowest"}});
    }
}

} // namespace camphorrail::proxy
