#include "routing/engine_view.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("an agent's view of its engine", "[agent]") {
    auto view = routing::make_engine_view({"pool-1"});
    const base::instant now{base::seconds(50)};
    const prefix::prefix_chain chain{{1, {4000}}, {2, {8000}}, {3, {8100}}};
    routing::record_incarnation(view, 1, now);
    const auto basis = routing::estimate_work(view, chain, now).basis;

    SECTION("predicts less work for a prefix that the engine repeatedly serves from its cache") {
        const auto cold = routing::estimate_work(view, chain, now).work;
        for (int order = 0; order < 200; ++order) {
            routing::record_served(view, chain, basis, {8000}, base::milliseconds(10), now);
        }
        CHECK(routing::estimate_work(view, chain, now).work < cold / 4);
    }

    SECTION("learns the engine's speed only from sufficiently long prefills") {
        for (int order = 0; order < 200; ++order) {
            routing::record_served(view, chain, basis, {0}, base::micros(8100 * 40), now);
        }
        CHECK(view.prefill_us_per_token == Approx(40).epsilon(0.01));
        routing::record_served(view, chain, basis, {8000}, base::seconds(9), now);
        CHECK(view.prefill_us_per_token == Approx(40).epsilon(0.01));
    }
}
