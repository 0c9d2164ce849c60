#pragma once

#include <chrono>
#include <cstdint>

namespace camphorrail::base {

// Durations in the decision logic are in microseconds, of real or simulated time.
using micros = std::chrono::microseconds;

// A point on the monotonic clock. The decision logic takes the current time as a parameter and
// never reads the clock, so that tests can simulate time.
using instant = std::chrono::time_point<std::chrono::steady_clock, micros>;

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A count of model tokens.
struct tokens {
    std::int64_t value = 0;

    auto operator<=>(const tokens&) const = default;
};

inline tokens operator+(tokens left, tokens right) {
    return {left.value + right.value};
}
inline tokens operator-(tokens left, tokens right) {
    return {left.value - right.value};
}

} // namespace camphorrail::base
