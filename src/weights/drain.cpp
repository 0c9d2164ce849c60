#include "weights/drain.h"

namespace camphorrail::weights {

bool is_drained(const draining& one, const drain_rules& rules) {
    if (one.span < rules.usual) {
        return false;
    }
    return one.unrepeatable == 0 || one.span >= rules.longest;
}

} // namespace camphorrail::weights
