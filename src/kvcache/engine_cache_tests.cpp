#include "kvcache/engine_cache.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Guards against a fixed retention time for all pools: on engines with a larger cache, a prompt
// that was prefilled ten seconds ago is still cached, and can be fetched from there instead of
// being prefilled again.
TEST_CASE("an engine's cache contents are estimated from the tokens it has prefilled",
          "[kvcache]") {
    kvcache::engine_cache memory;
    memory.capacity = 22000;
    kvcache::touch_part(memory, 1, 6000);
    kvcache::touch_part(memory, 2, 6000);
    kvcache::touch_part(memory, 3, 6000);
    CHECK(kvcache::holds(memory, 1));

    SECTION("confidence is higher the fewer tokens were prefilled since the last use") {
        CHECK(kvcache::reliably_holds(memory, 3));
        CHECK_FALSE(kvcache::reliably_holds(memory, 1));
    }
    SECTION("the least recently used part is evicted first") {
        kvcache::touch_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 1));
        CHECK(kvcache::holds(memory, 2));
    }
    SECTION("a part that is used again is kept") {
        kvcache::touch_part(memory, 1, 6000);
        kvcache::touch_part(memory, 4, 6000);
        CHECK_FALSE(kvcache::holds(memory, 2));
        CHECK(kvcache::holds(memory, 1));
    }
    SECTION("unshared tokens of requests take space as well") {
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
    SECTION("a part larger than the cache is not kept") {
        kvcache::touch_part(memory, 5, 50000);
        CHECK_FALSE(kvcache::holds(memory, 5));
        CHECK(memory.used_tokens == 0);
    }
}
