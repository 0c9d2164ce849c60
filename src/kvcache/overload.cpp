#include "kvcache/overload.h"

namespace camphorrail::kvcache {

bool is_overloaded(double waiting_ms, base::milliseconds target) {
    constexpr double longest_share = 0.15;
    return waiting_ms > longest_share * static_cast<double>(target.count());
}

base::milliseconds come_back_after(std::uint64_t number) {
    constexpr std::uint64_t soonest_ms = 600;
    constexpr std::uint64_t spread_ms = 500;
    return base::milliseconds(soonest_ms + number % spread_ms);
}

} // namespace camphorrail::kvcache
