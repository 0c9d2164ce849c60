#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorrail::admission {

// Retries allowed within any stretch of some seconds: a part of the requests of that stretch, and a
// few more. Unlike a bucket that fills slowly, it lets many go at once when an upstream with many
// answers under way breaks off; a bucket small enough for the same bound refused most of those.
struct retry_window {
    // The stretch, and the part of it that is counted together.
    base::micros span = base::seconds(10);
    static constexpr std::size_t bucket_count = 20;
    // Retries a request, and further ones a stretch.
    double retries_per_request = 0.1;
    double extra_retries = 10.0;

    struct bucket {
        std::int64_t index = -1;
        double requests = 0;
        double retries = 0;
    };
    // One more than the stretch has, since the oldest is only partly over.
    std::array<bucket, bucket_count + 1> buckets{};
};

void record_request(retry_window& window, base::instant now);

// Takes one retry; false where the window allows no more.
bool consume_retry(retry_window& window, base::instant now);

// Retries that are left now.
double remaining_retries(const retry_window& window, base::instant now);

} // namespace camphorrail::admission
