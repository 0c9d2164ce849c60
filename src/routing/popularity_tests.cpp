#include "routing/popularity.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("shares of prefixes", "[routing]") {
    routing::popularity seen;
    base::instant now{base::seconds(10)};
    const auto traffic = [&](std::uint64_t hot, int requests) {
        for (int request = 0; request < requests; ++request) {
            now += base::milliseconds(10);
            routing::record_request(seen, request % 2 == 0 ? hot : 1000 + request, now);
        }
    };

    SECTION("follow a shift of the most popular prefix") {
        traffic(1, 2000);
        CHECK(routing::traffic_share(seen, 1, now) == Approx(0.5).margin(0.01));
        traffic(2, 4000);
        CHECK(routing::traffic_share(seen, 1, now) < 0.05);
        CHECK(routing::traffic_share(seen, 2, now) > 0.4);
    }

    SECTION("are kept for a bounded number of prefixes, including the most popular ones") {
        seen.capacity = 50;
        traffic(1, 500);
        CHECK(seen.counts.size() <= 50);
        CHECK(routing::traffic_share(seen, 1, now) > 0.4);
        CHECK(routing::traffic_share(seen, 99, now) == 0);
    }
}
