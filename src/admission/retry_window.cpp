#include "admission/retry_window.h"

namespace camphorrail::admission {

namespace {

std::int64_t step_number(const retry_window& window, base::instant now) {
    const auto step = window.span / static_cast<std::int64_t>(retry_window::steps);
    return now.time_since_epoch() / step;
}

retry_window::step& step_at(retry_window& window, base::instant now) {
    const std::int64_t number = step_number(window, now);
    auto& found = window.counted.at(static_cast<std::size_t>(number) % window.counted.size());
    if (found.number != number) {
        found = {number, 0, 0};
    }
    return found;
}

} // namespace

void note_request(retry_window& window, base::instant now) {
    step_at(window, now).requests += 1;
}

double retries_left(const retry_window& window, base::instant now) {
    const std::int64_t newest = step_number(window, now);
    const std::int64_t oldest = newest - static_cast<std::int64_t>(retry_window::steps);
    double left = window.more;
    for (const auto& each : window.counted) {
        if (each.number < oldest || each.number > newest) {
            continue;
        }
        // The oldest step is only partly within the stretch: its retries count, its requests don't.
        left += each.number == oldest ? 0.0 : window.a_request * each.requests;
        left -= each.retries;
    }
    return left;
}

bool take_retry(retry_window& window, base::instant now) {
    if (retries_left(window, now) < 1.0) {
        return false;
    }
    step_at(window, now).retries += 1;
    return true;
}

} // namespace camphorrail::admission
