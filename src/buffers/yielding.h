#pragma once

#include "base/units.h"
#include "buffers/account.h"

#include <cstdint>
#include <vector>

namespace camphorrail::buffers {

constexpr std::int64_t bytes_per_mb = std::int64_t{1} << 20U;

// Bounds on what an entry holds. All figures are in bytes; 0 for no bounds.
struct budget {
    // Holders yield when more than this is held.
    std::int64_t limit = 0;
    // They yield until no more than this is held, so that the next few bytes do not make the next
    // holder yield at once.
    std::int64_t released_to = 0;
    // Responses to slow clients are read without restraint while no more than this is held. The
    // rest of the budget is left to other requests.
    std::int64_t reading = 0;
};

// The budget for so many bytes.
budget budget_of_bytes(std::int64_t limit);

// The budget of a process that may use so much memory, in MiB. Half of it: the process itself, its
// view of the platform, what the kernel has received and the allocator's losses take the rest.
// `others` is what is held on behalf of other clients than the holders, and is taken from it.
budget budget_of(std::int64_t memory_mb, std::int64_t others = 0);

// A client that sends nothing of its request for this long has stalled.
constexpr base::milliseconds stall_time{1000};

// Whether more is held than the budget allows.
bool is_exhausted(const account& state, const budget& limits);

// The holders that must yield to bring what is held back under the budget, in this order: requests
// whose clients have stalled first, then the largest; of the same size, a request that was not sent
// before a response under way, and that before a request that may be running; then the one that
// came last. Empty unless the budget is exhausted.
std::vector<holder_id> choose_yields(const account& state, const budget& limits);

// Whether a new request, which the account already contains, may be sent to an upstream. It may not
// if it would be among those that yield.
bool may_take(const account& state, const budget& limits, holder_id holder);

// How an upstream is read whose client lags far behind.
struct reading_state {
    bool paused = false;
    base::instant paused_at{};
    // Bytes that may be read before the next pause, whatever is held.
    std::int64_t allowance = 0;
};

// An upstream cuts off a response of which nothing is read for some seconds, so a pause is shorter.
constexpr base::milliseconds max_read_pause{1000};
// Bytes read between two pauses. A kernel tells its peer of free space in its receive buffer only
// once there is room for a whole segment, which on loopback has 64 KB.
constexpr std::int64_t read_step = std::int64_t{64} << 10U;

// Records bytes read for a client that lags far behind. Returns whether reading goes on; if not, it
// is paused from now on.
bool read_on(reading_state& reading, const account& state, const budget& limits, std::int64_t bytes,
             base::instant now);

// Whether a paused upstream is to be read again: there is room, or the pause has lasted too long.
// The latter lets what is held grow slowly until the largest holder yields.
bool resume_reading(reading_state& reading, const account& state, const budget& limits,
                    base::instant now);

} // namespace camphorrail::buffers
