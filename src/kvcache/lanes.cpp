#include "kvcache/lanes.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <vector>

namespace camphorrail::kvcache {

namespace {

// Orders a pool's engines by when they join the short lane. Alternates between availability zones,
// so that each zone keeps engines for both kinds of prompts; within a zone, orders by the hash of
// the id, so that few engines change lanes when an engine joins or leaves.
std::vector<fleet::member*> lane_order(const std::vector<fleet::member*>& members) {
    std::map<base::availability_zone, std::vector<fleet::member*>> zones;
    for (auto* one : members) {
        zones[one->listed.zone].push_back(one);
    }
    std::vector<std::tuple<std::size_t, std::uint64_t, fleet::member*>> positions;
    for (auto& [zone, zone_members] : zones) {
        std::sort(
            zone_members.begin(), zone_members.end(),
            [](const auto* left, const auto* right) { return left->id_hash < right->id_hash; });
        for (std::size_t position = 0; position < zone_members.size(); ++position) {
            positions.emplace_back(position, zone_members[position]->id_hash,
                                   zone_members[position]);
        }
    }
    std::sort(positions.begin(), positions.end());
    std::vector<fleet::member*> order;
    order.reserve(positions.size());
    for (const auto& each : positions) {
        order.push_back(std::get<fleet::member*>(each));
    }
    return order;
}

double total_capacity(const std::vector<fleet::member*>& members) {
    double sum = 0.0;
    for (const auto* one : members) {
        sum += speed::capacity(one->speed);
    }
    return sum;
}

// Number of engines of capacity 1.0 needed for the requests with short prompts that are in flight
// in a pool. Requests stay longer at a slow engine, so fewer of them mean the same demand.
double required_engines(const std::vector<fleet::member*>& members, base::instant now,
                        const lane_rules& rules) {
    double demand = 0.0;
    for (const auto* one : members) {
        const auto slots = static_cast<double>(std::max<std::int64_t>(one->listed.slots, 1));
        const auto in_flight = static_cast<double>(fleet::total_work(*one, now).short_prompts);
        demand += speed::capacity(one->speed) * in_flight / (rules.target_slot_utilization * slots);
    }
    return demand;
}

void update_demand(lane_size& size, double demand, double initial_demand, base::instant now,
                   const lane_rules& rules) {
    const auto elapsed =
        static_cast<double>(std::max(now - size.updated_at, base::micros(0)).count());
    size.updated_at = now;
    // An idle pool does not allow predictions about future traffic.
    size.has_seen_traffic = size.has_seen_traffic || demand > 0.0;
    if (!size.has_seen_traffic) {
        size.demand = initial_demand;
    } else if (demand > 0.0) {
        const auto time_constant =
            demand > size.demand ? rules.smoothing_time_up : rules.smoothing_time_down;
        const double newest_weight =
            1.0 - std::exp(-elapsed / static_cast<double>(time_constant.count()));
        size.demand += newest_weight * (demand - size.demand);
    }
}

// The capacity to reserve, in engines of capacity 1.0.
std::size_t reserved_capacity(const lane_size& size, double total, const lane_rules& rules) {
    const double max_reserved = std::max(1.0, std::floor(rules.max_share * total));
    const auto reserved = static_cast<double>(size.reserved);
    const double min_change = std::max(rules.hysteresis, rules.hysteresis_share * total);
    const bool keeps_size = size.reserved > 0 && std::abs(size.demand - reserved) < min_change;
    return static_cast<std::size_t>(
        std::clamp(keeps_size ? reserved : std::round(size.demand), 1.0, max_reserved));
}

// Moves engines to the short lane, in the given order, until their capacity is closest to the
// reserved one.
void fill_short_lane(const std::vector<fleet::member*>& order, std::size_t reserved) {
    double missing = static_cast<double>(reserved);
    for (auto* one : order) {
        const double capacity = speed::capacity(one->speed);
        const bool is_first = one == order.front();
        if (!is_first && missing <= 0.5 * capacity) {
            return;
        }
        one->short_lane = true;
        missing -= capacity;
    }
}

} // namespace

void assign_lanes(fleet::fleet& state, lane_sizes& sizes, base::instant now,
                  const lane_rules& rules) {
    std::map<base::pool_id, std::vector<fleet::member*>> pools;
    for (auto& [id, one] : state.members) {
        one.short_lane = false;
        if (fleet::is_available(one)) {
            pools[one.listed.pool].push_back(&one);
        }
    }
    for (auto& [id, members] : pools) {
        if (members.size() < rules.min_pool_size) {
            continue;
        }
        auto& size = sizes[id];
        const double total = total_capacity(members);
        const double initial_demand = rules.initial_share * total;
        update_demand(size, required_engines(members, now, rules), initial_demand, now, rules);
        size.reserved = reserved_capacity(size, total, rules);
        fill_short_lane(lane_order(members), size.reserved);
    }
}

bool is_long_prompt(const prompt_chain& chain) {
    return chain.total_tokens() >= lane_rules{}.long_prompt_tokens;
}

bool in_lane(const fleet::member& one, const prompt_chain& chain) {
    return one.short_lane != is_long_prompt(chain);
}

} // namespace camphorrail::kvcache
