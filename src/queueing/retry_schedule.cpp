#include "queueing/retry_schedule.h"

#include "base/random.h"

#include <algorithm>

namespace camphorrail::queueing {

namespace {

// Callers wait for at most a third of the time that they have left.
constexpr double max_return_part = 1.0 / 3.0;
// Sooner than this, a request that returns could not be told from a new one; see
// `is_likely_return`.
constexpr double min_return_part = 0.06;
// Returns without room are spread over this part of the longest delay.
constexpr double spread_part = 0.25;
// Part of the room that every rank has.
constexpr double reserved_part = 0.25;
constexpr double max_interval_ms = 1000.0;

using ms = std::chrono::duration<double, std::milli>;

base::milliseconds rounded(double delay_ms) {
    return std::chrono::duration_cast<base::milliseconds>(ms(delay_ms));
}

} // namespace

double room_per_ms(const pool_room& room) {
    const double by_slots = static_cast<double>(room.slots) / std::max(room.slot_ms, 1.0);
    const double by_reading = static_cast<double>(room.upstreams) / std::max(room.read_ms, 1.0);
    return room.share * std::min(by_slots, by_reading);
}

double room_for_rank(double room_per_ms, double taken_before_per_ms) {
    return std::max(room_per_ms - taken_before_per_ms, reserved_part * room_per_ms);
}

bool has_returns(const retry_schedule& schedule, rank of, base::instant now) {
    return schedule.next_return.at(of.value) > now;
}

scheduled_return schedule_return(retry_schedule& schedule, const refused_request& refused,
                                 base::instant now, std::uint64_t draw) {
    const auto left_ms = static_cast<double>(std::max<std::int64_t>(refused.time_left.count(), 0));
    const double latest_ms = max_return_part * left_ms;
    const double interval_ms = std::min(1.0 / std::max(refused.room_per_ms, 1e-6), max_interval_ms);
    base::random_source random{draw};
    const double part = base::random_unit(random);
    auto& next = schedule.next_return.at(refused.of.value);
    const ms queued = next - now;
    const double start_ms =
        std::max({queued.count(), refused.backlog_ms, min_return_part * left_ms});
    if (start_ms + interval_ms > latest_ms) {
        return {rounded(latest_ms * (1.0 - spread_part * part)), false};
    }
    next = now + std::chrono::duration_cast<base::micros>(ms(start_ms + interval_ms));
    return {rounded(start_ms + part * interval_ms), true};
}

} // namespace camphorrail::queueing
