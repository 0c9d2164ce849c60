#include "admission/retry_budget.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// A third of the engines is down and every attempt on them fails. Without a limit, retries alone
// would overload the remaining engines.
TEST_CASE("the retry budget limits the attempts sent during an outage", "[admission]") {
    admission::retry_budget budget;
    int attempts = 0;
    constexpr int requests = 10000;
    for (int request = 0; request < requests; ++request) {
        admission::record_request(budget);
        ++attempts;
        while (admission::consume_retry(budget)) {
            ++attempts;
        }
    }
    CHECK(attempts <= requests * 1.1 + 11);
    CHECK(attempts >= requests * 1.09);
}
