#include "buffers/yielding.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace camphorrail::buffers {

namespace {

// Parts of the memory and of the budget.
constexpr std::int64_t memory_divisor = 2;
constexpr std::int64_t release_divisor = 16;
constexpr std::int64_t reserve_divisor = 8;
// This part of the budget is left to requests whatever is held for others.
constexpr std::int64_t min_part_divisor = 4;

// Sorts holders in the order in which they yield.
auto yield_order(const std::pair<holder_id, holding>& each) {
    return std::make_tuple(!each.second.is_stalled, -total(each.second.held), each.second.progress,
                           -each.first.value);
}

bool has_room(const account& state, const budget& limits) {
    return total(state.held) <= limits.reading;
}

} // namespace

budget budget_of(std::int64_t memory_mb, std::int64_t others) {
    const std::int64_t all = memory_mb * bytes_per_mb / memory_divisor;
    return budget_of_bytes(std::max(all - others, all / min_part_divisor));
}

budget budget_of_bytes(std::int64_t limit) {
    return {limit, limit - limit / release_divisor, limit - limit / reserve_divisor};
}

bool is_exhausted(const account& state, const budget& limits) {
    return limits.limit > 0 && total(state.held) > limits.limit;
}

std::vector<holder_id> choose_yields(const account& state, const budget& limits) {
    std::vector<holder_id> chosen;
    if (!is_exhausted(state, limits)) {
        return chosen;
    }
    std::vector<std::pair<holder_id, holding>> holders;
    std::copy_if(state.holders.begin(), state.holders.end(), std::back_inserter(holders),
                 [](const auto& each) { return each.second.may_yield; });
    std::sort(holders.begin(), holders.end(), [](const auto& left, const auto& right) {
        return yield_order(left) < yield_order(right);
    });
    std::int64_t left = total(state.held);
    for (const auto& [holder, now] : holders) {
        if (left <= limits.released_to) {
            break;
        }
        chosen.push_back(holder);
        left -= total(now.held);
    }
    return chosen;
}

bool may_take(const account& state, const budget& limits, holder_id holder) {
    const auto chosen = choose_yields(state, limits);
    return std::find(chosen.begin(), chosen.end(), holder) == chosen.end();
}

bool read_on(reading_state& reading, const account& state, const budget& limits, std::int64_t bytes,
             base::instant now) {
    reading.allowance = std::max<std::int64_t>(0, reading.allowance - bytes);
    if (!reading.paused && (has_room(state, limits) || reading.allowance > 0)) {
        return true;
    }
    if (!reading.paused) {
        reading.paused = true;
        reading.paused_at = now;
    }
    return false;
}

bool resume_reading(reading_state& reading, const account& state, const budget& limits,
                    base::instant now) {
    if (!reading.paused) {
        return false;
    }
    if (!has_room(state, limits)) {
        if (now - reading.paused_at < max_read_pause) {
            return false;
        }
        reading.allowance = read_step;
    }
    reading.paused = false;
    return true;
}

} // namespace camphorrail::buffers
