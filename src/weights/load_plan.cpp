#include "weights/load_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace camphorrail::weights {

namespace {

// Factor by which the limit is raised for upstreams out of service. Their change costs no capacity,
// but many simultaneous loads slow each other down.
constexpr std::size_t unused_loading_factor = 2;

struct lane_state {
    std::size_t all = 0;
    std::size_t loading = 0;
    base::micros change_time{0};

    [[nodiscard]] std::size_t limit(const load_rules& rules) const {
        const double share_limit =
            std::ceil(rules.max_loading_share * static_cast<double>(this->all));
        const double rate_limit = std::ceil(static_cast<double>(this->change_time.count()) /
                                            static_cast<double>(rules.rollout_duration.count()));
        return std::max<std::size_t>(1,
                                     static_cast<std::size_t>(std::max(share_limit, rate_limit)));
    }
};

bool can_load(const load_candidate& one, std::int64_t version, base::instant now,
              const load_rules& rules) {
    const bool cooled_down = one.out_of_service || now - one.loaded_at >= rules.cooldown;
    return one.version < version && !one.loading && !one.suspected && cooled_down;
}

} // namespace

std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules) {
    std::map<int, lane_state> lanes;
    std::vector<const load_candidate*> loadable;
    for (const auto& each : all) {
        auto& lane = lanes[each.lane];
        ++lane.all;
        lane.loading += each.loading ? 1 : 0;
        lane.change_time += each.load_duration;
        if (can_load(each, version, now, rules)) {
            loadable.push_back(&each);
        }
    }
    std::sort(loadable.begin(), loadable.end(), [](const auto* left, const auto* right) {
        return std::tie(left->version, left->in_flight, left->id) <
               std::tie(right->version, right->in_flight, right->id);
    });
    std::vector<base::upstream_id> chosen;
    for (const auto* each : loadable) {
        auto& lane = lanes.at(each->lane);
        if (lane.loading < lane.limit(rules) * (each->out_of_service ? unused_loading_factor : 1)) {
            ++lane.loading;
            chosen.push_back(each->id);
        }
    }
    return chosen;
}

} // namespace camphorrail::weights
