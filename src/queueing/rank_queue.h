#pragma once

#include "queueing/ranks.h"

#include <array>
#include <cstdint>

namespace camphorrail::queueing {

// Requests that wait for their first byte, and the tokens of their prompts that are still to be
// read.
struct waiting_work {
    std::int32_t requests = 0;
    std::int32_t unread_tokens = 0;

    bool operator==(const waiting_work&) const = default;
};

// The requests at an upstream that wait for their first byte, by rank.
struct rank_queue {
    std::array<waiting_work, rank_count> by_rank{};
    // Requests in flight, waiting or not, whose rank is known. The others are of entries that do
    // not report ranks.
    std::int64_t ranked_requests = 0;

    rank_queue& operator+=(const rank_queue& other);
    bool operator==(const rank_queue&) const = default;
};

// Adds a request that is sent to the upstream.
void add_request(rank_queue& queue, rank of, std::int64_t unread_tokens);

// Records the first response byte, by which the request has a slot and its prompt has been read.
void record_first_byte(rank_queue& queue, rank of, std::int64_t unread_tokens);

// Removes a request that has ended or was cancelled after its first byte.
void remove_request(rank_queue& queue);

// What a request finds at an upstream.
struct work_ahead {
    std::int64_t requests = 0;
    std::int64_t unread_tokens = 0;
};

// The work that an upstream admits before a new request of the given rank: all that waits with this
// rank or a more urgent one, and all work whose rank is unknown. `total` is all work in flight
// there: the number of requests, and their unread tokens.
work_ahead ahead_of(const rank_queue& queue, const work_ahead& total, rank of);

// How many responses must end before a request gets a slot, if `excess` requests beyond the slots
// are in flight. At most that many wait for a slot, and of those only the ones ahead count.
double responses_awaited(const work_ahead& ahead, double excess);

} // namespace camphorrail::queueing
