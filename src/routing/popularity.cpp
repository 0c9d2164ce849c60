#include "routing/popularity.h"

#include <algorithm>
#include <cmath>

namespace camphorrail::routing {

namespace {

double decayed_weight(const popularity& traffic, const popularity::count& item, base::instant now) {
    const double age = static_cast<double>((now - item.at).count());
    return item.weight * std::exp2(-age / static_cast<double>(traffic.half_life.count()));
}

void add(const popularity& traffic, popularity::count& item, base::instant now) {
    item.weight = decayed_weight(traffic, item, now) + 1;
    item.at = now;
}

// Drops the prefix with the lowest decayed weight.
void evict_smallest(popularity& traffic, base::instant now) {
    const auto least = std::min_element(traffic.counts.begin(), traffic.counts.end(),
                                        [&](const auto& left, const auto& right) {
                                            return decayed_weight(traffic, left.second, now) <
                                                   decayed_weight(traffic, right.second, now);
                                        });
    traffic.counts.erase(least);
}

} // namespace

void record_request(popularity& traffic, std::uint64_t prefix, base::instant now) {
    add(traffic, traffic.total, now);
    add(traffic, traffic.counts[prefix], now);
    if (traffic.counts.size() > traffic.capacity) {
        evict_smallest(traffic, now);
    }
}

double traffic_share(const popularity& traffic, std::uint64_t prefix, base::instant now) {
    const auto found = traffic.counts.find(prefix);
    if (found == traffic.counts.end() || traffic.total.weight <= 0) {
        return 0;
    }
    return decayed_weight(traffic, found->second, now) /
           decayed_weight(traffic, traffic.total, now);
}

} // namespace camphorrail::routing
