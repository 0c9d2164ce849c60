#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorrail::routing {

// Shares of prefixes in an entry's recent traffic. Counts decay exponentially, so that a shift of
// the popular prefixes shows within seconds; the number of tracked prefixes is bounded.
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

void record_request(popularity& traffic, std::uint64_t prefix, base::instant now);

// Share of a prefix, from 0 to 1. Entries behind the same load balancer compute about the same
// shares without communicating.
double traffic_share(const popularity& traffic, std::uint64_t prefix, base::instant now);

} // namespace camphorrail::routing
