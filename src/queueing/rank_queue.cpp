#include "queueing/rank_queue.h"

#include <algorithm>

namespace camphorrail::queueing {

rank_queue& rank_queue::operator+=(const rank_queue& other) {
    if (other.ranked_requests == 0) {
        return *this;
    }
    this->ranked_requests += other.ranked_requests;
    for (std::size_t each = 0; each < rank_count; ++each) {
        this->by_rank[each].requests += other.by_rank[each].requests;
        this->by_rank[each].unread_tokens += other.by_rank[each].unread_tokens;
    }
    return *this;
}

void add_request(rank_queue& queue, rank of, std::int64_t unread_tokens) {
    auto& waiting = queue.by_rank.at(of.value);
    ++waiting.requests;
    waiting.unread_tokens += static_cast<std::int32_t>(unread_tokens);
    ++queue.ranked_requests;
}

void record_first_byte(rank_queue& queue, rank of, std::int64_t unread_tokens) {
    auto& waiting = queue.by_rank.at(of.value);
    --waiting.requests;
    waiting.unread_tokens -= static_cast<std::int32_t>(unread_tokens);
}

void remove_request(rank_queue& queue) {
    --queue.ranked_requests;
}

work_ahead ahead_of(const rank_queue& queue, const work_ahead& total, rank of) {
    work_ahead ahead{total.requests - queue.ranked_requests, total.unread_tokens};
    for (std::size_t each = 0; each < rank_count; ++each) {
        const auto& waiting = queue.by_rank[each];
        if (each <= of.value) {
            ahead.requests += waiting.requests;
        } else {
            ahead.unread_tokens -= waiting.unread_tokens;
        }
    }
    return {std::max<std::int64_t>(ahead.requests, 0),
            std::max<std::int64_t>(ahead.unread_tokens, 0)};
}

double responses_awaited(const work_ahead& ahead, double excess) {
    return std::min(excess, static_cast<double>(ahead.requests) + 1.0);
}

} // namespace camphorrail::queueing
