#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrail::admission {

// Limits the retries within any sliding window of some seconds to a fraction of the window's
// requests plus a constant. Unlike a token bucket that fills slowly, it allows many retries at once
// when an upstream fails with many responses in flight; a bucket small enough for the same limit
// rejected most of those.
struct retry_window {
    // Length of the window, and the number of buckets that it is counted in.
    base::micros span = base::seconds(10);
    static constexpr std::size_t bucket_count = 20;
    // Retries per request, and additional retries per window. A window allows nothing until they
    // are set.
    double retries_per_request = 0.0;
    double extra_retries = 0.0;

    struct bucket {
        std::int64_t index = -1;
        double requests = 0;
        double retries = 0;
    };
    // One bucket more than the window has, since the window covers its oldest bucket only partly.
    std::array<bucket, bucket_count + 1> buckets{};
};

void record_request(retry_window& window, base::instant now);

// Consumes one retry; returns false if the window allows no more.
bool consume_retry(retry_window& window, base::instant now);

// Number of retries allowed now.
double remaining_retries(const retry_window& window, base::instant now);

} // namespace camphorrail::admission
