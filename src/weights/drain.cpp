#include "weights/drain.h"

namespace camphorrail::weights {

bool is_drained(const drain_progress& one, const drain_rules& rules) {
    if (one.elapsed < rules.min_duration) {
        return false;
    }
    return one.non_retryable == 0 || one.elapsed >= rules.max_duration;
}

bool is_crowded(const pool_load& pool, const drain_rules& rules) {
    const double taken = static_cast<double>(pool.in_flight);
    return taken > rules.crowded_utilization * static_cast<double>(pool.slots);
}

} // namespace camphorrail::weights
