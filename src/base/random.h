#pragma once

#include <cstdint>

namespace camphorrail::base {

// Small seeded generator (splitmix64). The same seed gives the same numbers on every machine,
// which the standard library's distributions do not promise.
struct random_source {
    std::uint64_t state = 0;
};

// The next 64 random bits.
std::uint64_t random_bits(random_source& source);

// A whole number from 0 to bound - 1; bound is above 0.
std::uint64_t random_below(random_source& source, std::uint64_t bound);

// A number from 0 up to, but without, 1.
double random_unit(random_source& source);

// An exponentially distributed span with the given mean.
double random_exponential(random_source& source, double mean);

} // namespace camphorrail::base
