#include "admission/retry_share.h"

#include <algorithm>

namespace camphorrail::admission {

double retry_share(double slack, std::int64_t entry_count, base::micros uptime,
                   const retry_share_rules& rules) {
    if (uptime < rules.settling_time) {
        return 0.0;
    }
    const auto entries = static_cast<double>(std::max<std::int64_t>(entry_count, 1));
    return slack * rules.divided_fraction / entries;
}

} // namespace camphorrail::admission
