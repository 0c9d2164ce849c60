#include "kvcache/overload.h"

namespace camphorrail::kvcache {

bool should_reject(double first_byte_ms, double wait_ms, base::milliseconds target) {
    constexpr double max_wait_fraction = 0.25;
    const auto target_ms = static_cast<double>(target.count());
    return first_byte_ms > target_ms && wait_ms > max_wait_fraction * target_ms;
}

base::milliseconds retry_delay(std::uint64_t number) {
    constexpr std::uint64_t min_delay_ms = 600;
    constexpr std::uint64_t jitter_ms = 500;
    return base::milliseconds(min_delay_ms + number % jitter_ms);
}

} // namespace camphorrail::kvcache
