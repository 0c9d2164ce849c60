#pragma once

#include <optional>
#include <vector>

namespace camphorrail::shares {

// What one team asks for, in slots, and its weight in relation to other teams.
struct weighted_demand {
    double weight = 1.0;
    double demand = 0.0;
};

// Raises weights below `min_fraction` of the mean weight to that. With equal demands no team then
// gets less than this fraction of what the teams get on average.
void raise_small_weights(std::vector<weighted_demand>& demands, double min_fraction);

// Divides the capacity by weighted max-min fairness: a team may use its weight times the returned
// level, and what some teams do not use is divided among the others. Empty if the capacity covers
// all demands.
std::optional<double> max_min_level(std::vector<weighted_demand> demands, double capacity);

} // namespace camphorrail::shares
