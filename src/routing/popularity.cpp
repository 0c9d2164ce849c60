#include "routing/popularity.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::routing {

namespace {

double decayed_weight(const popularity& seen, const popularity::count& item, base::instant now) {
    const double age = static_cast<double>((now - item.at).count());
    return item.weight * std::exp2(-age / static_cast<double>(seen.half_life.count()));
}

void add(const popularity& seen, popularity::count& item, base::instant now) {
    item.weight = decayed_weight(seen, item, now) + 1;
    item.at = now;
}

// Drops the prefix with the lowest decayed weight.
void evict_smallest(popularity& seen, base::instant now) {
    const auto least = std::min_element(
        seen.counts.begin(), seen.counts.end(), [&](const auto& left, const auto& right) {
            return decayed_weight(seen, left.second, now) < decayed_weight(seen, right.second, now);
        });
    seen.counts.erase(least);
}

} // namespace

void record_request(popularity& seen, std::uint64_t prefix, base::instant now) {
    add(seen, seen.total, now);
    add(seen, seen.counts[prefix], now);
    if (seen.counts.size() > seen.capacity) {
        evict_smallest(seen, now);
    }
}

double traffic_share(const popularity& seen, std::uint64_t prefix, base::instant now) {
    const auto found = seen.counts.find(prefix);
    if (found == seen.counts.end() || seen.total.weight <= 0) {
        return 0;
    }
    return decayed_weight(seen, found->second, now) / decayed_weight(seen, seen.total, now);
}

} // namespace camphorrail::routing
