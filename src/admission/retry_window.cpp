#include "admission/retry_window.h"

namespace camphorrail::admission {

namespace {

std::int64_t bucket_index(const retry_window& window, base::instant now) {
    const auto width = window.span / static_cast<std::int64_t>(retry_window::bucket_count);
    return now.time_since_epoch() / width;
}

retry_window::bucket& current_bucket(retry_window& window, base::instant now) {
    const std::int64_t index = bucket_index(window, now);
    auto& found = window.buckets.at(static_cast<std::size_t>(index) % window.buckets.size());
    if (found.index != index) {
        found = {index, 0, 0};
    }
    return found;
}

} // namespace

void record_request(retry_window& window, base::instant now) {
    current_bucket(window, now).requests += 1;
}

double remaining_retries(const retry_window& window, base::instant now) {
    const std::int64_t newest = bucket_index(window, now);
    const std::int64_t oldest = newest - static_cast<std::int64_t>(retry_window::bucket_count);
    double left = window.extra_retries;
    for (const auto& each : window.buckets) {
        if (each.index < oldest || each.index > newest) {
            continue;
        }
        // The window covers its oldest bucket only partly: the bucket's retries count, its requests
        // don't.
        left += each.index == oldest ? 0.0 : window.retries_per_request * each.requests;
        left -= each.retries;
    }
    return left;
}

bool consume_retry(retry_window& window, base::instant now) {
    if (remaining_retries(window, now) < 1.0) {
        return false;
    }
    current_bucket(window, now).retries += 1;
    return true;
}

} // namespace camphorrail::admission
