#include "weights/drain.h"

namespace camphorrail::weights {

bool is_drained(const draining& one, const drain_rules& rules) {
    if (one.span < rules.usual) {
        return false;
    }
    return one.unrepeatable == 0 || one.span >= rules.longest;
}

bool is_crowded(const pool_load& pool, const drain_rules& rules) {
    const double taken = static_cast<double>(pool.in_flight);
    return taken > rules.crowded_part * static_cast<double>(pool.slots);
}

} // namespace camphorrail::weights
