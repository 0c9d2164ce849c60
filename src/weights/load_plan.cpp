#include "weights/load_plan.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::weights {

std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules) {
    std::vector<const load_candidate*> open;
    std::size_t loading = 0;
    std::size_t done = 0;
    for (const auto& each : all) {
        loading += each.loading ? 1 : 0;
        done += each.version >= version ? 1 : 0;
        if (each.version < version && !each.loading && !each.suspected) {
            open.push_back(&each);
        }
    }
    std::sort(open.begin(), open.end(), [](const auto* left, const auto* right) {
        if (left->in_flight != right->in_flight) {
            return left->in_flight < right->in_flight;
        }
        return left->id < right->id;
    });
    const auto wanted_first =
        static_cast<std::size_t>(std::ceil(rules.first_part * static_cast<double>(all.size())));
    const auto at_once = std::max<std::size_t>(
        1, static_cast<std::size_t>(rules.in_change * static_cast<double>(all.size())));
    std::vector<base::upstream_id> chosen;
    for (const auto* each : open) {
        if (loading + chosen.size() >= at_once) {
            break;
        }
        const bool first = done + loading + chosen.size() < wanted_first;
        if (first || now - each->outdated_since >= rules.rest_after) {
            chosen.push_back(each->id);
        }
    }
    return chosen;
}

} // namespace camphorrail::weights
