#include "admission/retry_share.h"

#include <algorithm>

namespace camphorrail::admission {

std::size_t startup_slot_count(double slack, const retry_share_rules& rules) {
    const auto most = static_cast<double>(rules.max_startup_slots);
    return static_cast<std::size_t>(std::clamp(slack * rules.startup_fraction, 1.0, most));
}

double retry_share(const retry_share_view& view, const retry_share_rules& rules) {
    if (view.uptime >= rules.settling_time) {
        const auto entries = static_cast<double>(std::max<std::int64_t>(view.entry_count, 1));
        return view.slack * rules.settled_fraction / entries;
    }
    if (!view.has_startup_slot) {
        return 0.0;
    }
    const auto slots = static_cast<double>(startup_slot_count(view.slack, rules));
    return view.slack * rules.startup_fraction / slots;
}

} // namespace camphorrail::admission
