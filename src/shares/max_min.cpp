#include "shares/max_min.h"

#include <algorithm>
#include <numeric>

namespace camphorrail::shares {

namespace {

double sum_of_weights(const std::vector<weighted_demand>& demands) {
    return std::accumulate(
        demands.begin(), demands.end(), 0.0,
        [](double sum, const weighted_demand& each) { return sum + each.weight; });
}

} // namespace

void raise_small_weights(std::vector<weighted_demand>& demands, double min_fraction) {
    if (demands.empty()) {
        return;
    }
    const double least =
        min_fraction * sum_of_weights(demands) / static_cast<double>(demands.size());
    // Raising some weights raises the mean. With this factor the smallest ones keep the fraction.
    const double raised = least / (1.0 - min_fraction);
    for (auto& each : demands) {
        each.weight = std::max(each.weight, raised);
    }
}

std::optional<double> max_min_level(std::vector<weighted_demand> demands, double capacity) {
    std::sort(demands.begin(), demands.end(),
              [](const weighted_demand& left, const weighted_demand& right) {
                  return left.demand * right.weight < right.demand * left.weight;
              });
    double capacity_left = capacity;
    double weight_left = sum_of_weights(demands);
    for (const auto& each : demands) {
        if (each.demand * weight_left > each.weight * capacity_left) {
            return std::max(0.0, capacity_left / weight_left);
        }
        capacity_left -= each.demand;
        weight_left -= each.weight;
    }
    return std::nullopt;
}

} // namespace camphorrail::shares
