#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::kvcache {

// Whether a prompt should be rejected immediately, with a time to retry after, since it would wait
// too long even at its best upstream. `wait_ms` is the expected wait before prefill, and
// `first_byte_ms` the expected time to the first event, including that wait.
//
// If requests arrive faster than the engines can prefill, each additional prompt delays those
// already queued, and much of the work is wasted: clients give up before their first event, and
// engines whose memory is full preempt running requests and prefill them a second time. Such an
// overload sustained itself for ten seconds after new weights or a crash. Rejected clients retry
// once it is over.
//
// A prompt that would still meet its target is never rejected. Neither is one with a short wait: it
// misses the target due to its own length, and would do so on a retry as well.
//
// Rejecting by the wait alone, from two fifths of the target on, scored 0.006, 0.011 and 0.024 less
// on twenty days of heavy load in each of three pools, and rejected twice as many. With a threshold
// of seven tenths or more, engines fell behind and most responses were late.
bool should_reject(double first_byte_ms, double wait_ms, base::milliseconds target);

// How long a rejected client should wait before retrying. `number` differs between requests and
// spreads the delays, so that clients rejected at the same time do not retry at the same time.
// Delays of half a second or of more than a second served as many requests; clients with a timeout
// of four seconds wait for at most a third of it.
base::milliseconds retry_delay(std::uint64_t number);

} // namespace camphorrail::kvcache
