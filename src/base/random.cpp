#include "base/random.h"

#include <cmath>

namespace camphorrail::base {

std::uint64_t random_bits(random_source& source) {
    source.state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t bits = source.state;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
    return bits ^ (bits >> 31U);
}

std::uint64_t random_below(random_source& source, std::uint64_t bound) {
    return random_bits(source) % bound;
}

double random_unit(random_source& source) {
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random_bits(source) >> 11U) * scale;
}

double random_exponential(random_source& source, double mean) {
    return -mean * std::log1p(-random_unit(source));
}

} // namespace camphorrail::base
