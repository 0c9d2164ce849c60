#include "kvcache/overload.h"

namespace camphorrail::kvcache {

bool should_reject(double first_byte_ms, double waiting_ms, base::milliseconds target) {
    constexpr double long_wait = 0.25;
    const auto target_ms = static_cast<double>(target.count());
    return first_byte_ms > target_ms && waiting_ms > long_wait * target_ms;
}

base::milliseconds retry_delay(std::uint64_t number) {
    constexpr std::uint64_t soonest_ms = 600;
    constexpr std::uint64_t spread_ms = 500;
    return base::milliseconds(soonest_ms + number % spread_ms);
}

} // namespace camphorrail::kvcache
