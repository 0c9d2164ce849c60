#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorrail::routing {

// How much of an entry's recent traffic each prefix makes up. Counts fade with time, so that a
// shift of the hot prefixes shows within seconds; the number of prefixes kept is bounded.
struct popularity {
    struct count {
        double weight = 0;
        base::instant at{};
    };
    base::micros half_life = base::seconds(10);
    std::size_t capacity = 4096;
    std::unordered_map<std::uint64_t, count> counts;
    count total;
};

void record_request(popularity& seen, std::uint64_t prefix, base::instant now);

// From 0 to 1. Entries behind one balancer see about the same shares without telling each other.
double traffic_share(const popularity& seen, std::uint64_t prefix, base::instant now);

} // namespace camphorrail::routing
