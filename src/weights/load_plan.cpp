#include "weights/load_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace camphorrail::weights {

namespace {

// How far a lane is with the change.
struct lane_progress {
    std::size_t all = 0;
    std::size_t begun = 0;

    [[nodiscard]] double share() const {
        return static_cast<double>(this->begun) / static_cast<double>(this->all);
    }
};

using lanes = std::map<int, lane_progress>;

// The open candidate that is next: of the lane that is furthest behind, the least busy.
std::vector<const load_candidate*>::iterator next_of(std::vector<const load_candidate*>& open,
                                                     const lanes& progress) {
    return std::min_element(open.begin(), open.end(), [&](const auto* left, const auto* right) {
        const double left_share = progress.at(left->lane).share();
        const double right_share = progress.at(right->lane).share();
        if (left_share != right_share) {
            return left_share < right_share;
        }
        if (left->in_flight != right->in_flight) {
            return left->in_flight < right->in_flight;
        }
        return left->id < right->id;
    });
}

} // namespace

std::vector<base::upstream_id> plan_loads(const std::vector<load_candidate>& all,
                                          std::int64_t version, base::instant now,
                                          const load_rules& rules) {
    std::vector<const load_candidate*> open;
    lanes progress;
    std::size_t loading = 0;
    std::size_t in_use_loading = 0;
    std::size_t done = 0;
    std::size_t suspected = 0;
    for (const auto& each : all) {
        const bool is_done = each.version >= version;
        loading += each.loading ? 1 : 0;
        in_use_loading += each.loading && !each.unused ? 1 : 0;
        done += is_done ? 1 : 0;
        suspected += each.suspected ? 1 : 0;
        ++progress[each.lane].all;
        progress[each.lane].begun += is_done || each.loading ? 1 : 0;
        if (!is_done && !each.loading && !each.suspected) {
            open.push_back(&each);
        }
    }
    const auto size = static_cast<double>(all.size());
    const auto sound = static_cast<double>(all.size() - suspected);
    const auto wanted_first = static_cast<std::size_t>(std::ceil(rules.first_part * size));
    const double in_change = rules.pressed ? rules.in_change_pressed : rules.in_change;
    const auto at_once = std::max<std::size_t>(1, static_cast<std::size_t>(in_change * sound));
    std::vector<base::upstream_id> chosen;
    // Taking out what serves nobody costs nobody anything.
    for (const auto* each : open) {
        if (each->unused) {
            chosen.push_back(each->id);
            ++progress[each->lane].begun;
        }
    }
    std::erase_if(open, [](const auto* each) { return each->unused; });
    const std::size_t idle = chosen.size();
    while (!open.empty() && in_use_loading + chosen.size() - idle < at_once) {
        const auto next = next_of(open, progress);
        const load_candidate& each = **next;
        const bool first = done + loading + chosen.size() < wanted_first;
        if (first || now - each.outdated_since >= rules.rest_after) {
            chosen.push_back(each.id);
            ++progress[each.lane].begun;
        }
        open.erase(next);
    }
    return chosen;
}

} // namespace camphorrail::weights
