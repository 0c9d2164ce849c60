#include "kvcache/engine_memory.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Two pools with the same prompts: on the one whose engines hold more, a prompt that was read ten
// seconds ago is still there, and is fetched from there instead of being read again.
TEST_CASE("what an engine holds follows from what it has read since", "[kvcache]") {
    kvcache::engine_memory memory;
    memory.room = 22000;
    kvcache::use_part(memory, 1, 6000);
    kvcache::use_part(memory, 2, 6000);
    kvcache::use_part(memory, 3, 6000);
    CHECK(kvcache::holds(memory, 1));

    SECTION("the more surely, the less it has read since") {
        CHECK(kvcache::surely_holds(memory, 3));
        CHECK_FALSE(kvcache::surely_holds(memory, 1));
    }
    SECTION("the part used longest ago yields first") {
        kvcache::use_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 1));
        CHECK(kvcache::holds(memory, 2));
    }
    SECTION("a part that is used again stays") {
        kvcache::use_part(memory, 1, 6000);
        kvcache::use_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 2));
        CHECK(kvcache::holds(memory, 1));
    }
    SECTION("requests' own parts take room too") {
        kvcache::use_own_tokens(memory, 3000);
        CHECK_FALSE(kvcache::holds(memory, 1));
        CHECK(kvcache::holds(memory, 2));
        for (int request = 0; request < 1000; ++request) {
            kvcache::use_own_tokens(memory, 300);
        }
        CHECK_FALSE(kvcache::holds(memory, 3));
        CHECK(memory.used <= memory.room);
        CHECK(memory.by_age.size() < 10);
    }
    SECTION("a part that is larger than the memory is not held") {
        kvcache::use_part(memory, 5, 50000);
        CHECK_FALSE(kvcache::holds(memory, 5));
        CHECK(memory.used == 0);
    }
}
