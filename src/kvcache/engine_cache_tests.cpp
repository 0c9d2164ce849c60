#include "kvcache/engine_cache.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Two pools with the same prompts: on the one whose engines hold more, a prompt that was read ten
// seconds ago is still there, and is fetched from there instead of being read again.
TEST_CASE("what an engine holds follows from what it has read since", "[kvcache]") {
    kvcache::engine_cache memory;
    memory.capacity = 22000;
    kvcache::touch_part(memory, 1, 6000);
    kvcache::touch_part(memory, 2, 6000);
    kvcache::touch_part(memory, 3, 6000);
    CHECK(kvcache::holds(memory, 1));

    SECTION("the more surely, the less it has read since") {
        CHECK(kvcache::reliably_holds(memory, 3));
        CHECK_FALSE(kvcache::reliably_holds(memory, 1));
    }
    SECTION("the part used longest ago yields first") {
        kvcache::touch_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 1));
        CHECK(kvcache::holds(memory, 2));
    }
    SECTION("a part that is used again stays") {
        kvcache::touch_part(memory, 1, 6000);
        kvcache::touch_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 2));
        CHECK(kvcache::holds(memory, 1));
    }
    SECTION("requests' own parts take room too") {
        kvcache::add_unshared_tokens(memory, 3000);
        CHECK_FALSE(kvcache::holds(memory, 1));
        CHECK(kvcache::holds(memory, 2));
        for (int request = 0; request < 1000; ++request) {
            kvcache::add_unshared_tokens(memory, 300);
        }
        CHECK_FALSE(kvcache::holds(memory, 3));
        CHECK(memory.used_tokens <= memory.capacity);
        CHECK(memory.lru_order.size() < 10);
    }
    SECTION("a part that is larger than the memory is not held") {
        kvcache::touch_part(memory, 5, 50000);
        CHECK_FALSE(kvcache::holds(memory, 5));
        CHECK(memory.used_tokens == 0);
    }
}
