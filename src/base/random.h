#pragma once

#include <cstdint>

namespace camphorrail::base {

// Seeded pseudorandom generator (splitmix64). The same seed gives the same sequence on every
// platform, which the standard library's distributions do not guarantee.
struct random_source {
    std::uint64_t state = 0;
};

// Returns the next 64 random bits.
std::uint64_t random_bits(random_source& source);

// Returns an integer in [0, bound); `bound` must be positive.
std::uint64_t random_below(random_source& source, std::uint64_t bound);

// Returns a number in [0, 1).
double random_unit(random_source& source);

// Returns an exponentially distributed number with the given mean.
double random_exponential(random_source& source, double mean);

} // namespace camphorrail::base
