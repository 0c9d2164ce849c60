#include "ratelimit/permits.h"

#include <algorithm>

namespace camphorrail::ratelimit {

namespace {

using seconds = std::chrono::duration<double>;

double total_burst(requests_per_second limit, const permit_rules& rules) {
    return rules.burst + rules.burst_seconds * limit.value;
}

double permits_at(const permit_bucket& bucket, base::instant now) {
    const double since = std::max(0.0, seconds(now - bucket.refilled_at).count());
    return std::min(bucket.permits + bucket.rate.value * since, bucket.capacity);
}

void refill(permit_bucket& bucket, base::instant now) {
    bucket.permits = permits_at(bucket, now);
    bucket.refilled_at = std::max(bucket.refilled_at, now);
}

} // namespace

std::size_t holder_count(requests_per_second limit, std::size_t entry_count,
                         const permit_rules& rules) {
    const double burst = total_burst(std::max(limit, rules.min_limit), rules);
    return static_cast<std::size_t>(
        std::clamp(burst, 1.0, std::max(1.0, static_cast<double>(entry_count))));
}

void set_share(permit_bucket& bucket, requests_per_second limit, std::size_t holders,
               base::instant now, const permit_rules& rules) {
    if (holders == 0) {
        bucket = {};
        return;
    }
    if (bucket.capacity == 0.0) {
        bucket.refilled_at = now;
    }
    refill(bucket, now);
    const requests_per_second divided = std::max(limit, rules.min_limit);
    const auto count = static_cast<double>(holders);
    bucket.rate.value = divided.value / count;
    bucket.capacity = total_burst(divided, rules) / count;
    bucket.permits = std::min(bucket.permits, bucket.capacity);
}

bool has_permit(const permit_bucket& bucket, base::instant now) {
    return permits_at(bucket, now) >= 1.0;
}

bool take_permit(permit_bucket& bucket, base::instant now) {
    refill(bucket, now);
    if (bucket.permits < 1.0) {
        return false;
    }
    bucket.permits -= 1.0;
    return true;
}

} // namespace camphorrail::ratelimit
