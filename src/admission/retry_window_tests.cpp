#include "admission/retry_window.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

// An engine fails with forty responses in flight. All of them may be retried elsewhere at once if
// the entry's requests of the last ten seconds allow it.
TEST_CASE("a retry window allows many retries at once", "[admission]") {
    admission::retry_window window{.retries_per_request = 0.14, .extra_retries = 3};
    for (int request = 0; request < 300; ++request) {
        admission::record_request(window, at(request * 30));
    }
    int consumed = 0;
    while (admission::consume_retry(window, at(9100))) {
        ++consumed;
    }
    CHECK(consumed == 45);

    SECTION("and no more until they are ten seconds old") {
        admission::record_request(window, at(12000));
        CHECK_FALSE(admission::consume_retry(window, at(18900)));
        CHECK(admission::consume_retry(window, at(20000)));
    }
}

// A third of the engines is down and every attempt on them fails. The retries must stay within the
// limit in every window of ten seconds that operators may check.
TEST_CASE("a retry window limits the retries in every ten seconds", "[admission]") {
    admission::retry_window window{.retries_per_request = 0.14, .extra_retries = 3};
    std::vector<int> requests;
    std::vector<int> retries;
    for (int time = 0; time < 60000; time += 7) {
        // Intermittent traffic.
        if ((time / 5000) % 2 == 0 || time % 70 == 0) {
            admission::record_request(window, at(time));
            requests.push_back(time);
        }
        if (admission::consume_retry(window, at(time))) {
            retries.push_back(time);
        }
    }
    const auto within = [](const std::vector<int>& times, int from) {
        return std::count_if(times.begin(), times.end(),
                             [from](int time) { return time >= from && time < from + 10000; });
    };
    for (int from = 0; from <= 50000; from += 100) {
        const auto allowed = 0.2 * static_cast<double>(within(requests, from)) + 5;
        CHECK(static_cast<double>(within(retries, from)) <= allowed);
    }
}
