#include "fleet/workload.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("an upstream's workload adds up and returns to zero", "[fleet]") {
    fleet::workload load;
    const fleet::request_work first{9000, 2900, true};
    const fleet::request_work second{800, 800, false};
    fleet::add_request(load, first);
    fleet::add_request(load, second);
    CHECK(load.in_flight == 2);
    CHECK(load.pending_prefill_tokens == 3700);
    CHECK(load.kv_tokens == 9800);
    CHECK(load.non_retryable == 1);

    SECTION("with prompts that have been read but are still in memory") {
        fleet::record_first_byte(load, first);
        CHECK(load.pending_prefill_tokens == 800);
        CHECK(load.kv_tokens == 9800);
        fleet::remove_request(load, first, true);
        fleet::add_request(load, first);
    }
    SECTION("summed over all entries") {
        fleet::workload all = load;
        all += load;
        CHECK(all.in_flight == 4);
        CHECK(all.kv_tokens == 19600);
    }
    fleet::remove_request(load, first, false);
    fleet::remove_request(load, second, false);
    CHECK(load.in_flight == 0);
    CHECK(load.pending_prefill_tokens == 0);
    CHECK(load.kv_tokens == 0);
    CHECK(load.non_retryable == 0);
}
