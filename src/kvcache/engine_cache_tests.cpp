#include "kvcache/engine_cache.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Guards against a fixed retention time for all pools: on engines with a larger cache, a prompt
// that was prefilled ten seconds ago is still cached, and can be fetched from there instead of
// being prefilled again.
TEST_CASE("an engine's cache contents are estimated from the tokens it has prefilled",
          "[kvcache]") {
    kvcache::engine_cache cache;
    cache.capacity = 22000;
    kvcache::touch_part(cache, 1, 6000);
    kvcache::touch_part(cache, 2, 6000);
    kvcache::touch_part(cache, 3, 6000);
    CHECK(kvcache::holds(cache, 1));

    SECTION("confidence is higher the fewer tokens were prefilled since the last use") {
        CHECK(kvcache::reliably_holds(cache, 3));
        CHECK_FALSE(kvcache::reliably_holds(cache, 1));
    }
    SECTION("the least recently used part is evicted first") {
        kvcache::touch_part(cache, 4, 6000);
        CHECK_FALSE(kvcache::holds(cache, 1));
        CHECK(kvcache::holds(cache, 2));
    }
    SECTION("a part that is used again is kept") {
        kvcache::touch_part(cache, 1, 6000);
        kvcache::touch_part(cache, 4, 6000);
        CHECK_FALSE(kvcache::holds(cache, 2));
        CHECK(kvcache::holds(cache, 1));
    }
    SECTION("unshared tokens of requests take space as well") {
        kvcache::add_unshared_tokens(cache, 3000);
        CHECK_FALSE(kvcache::holds(cache, 1));
        CHECK(kvcache::holds(cache, 2));
        for (int request = 0; request < 1000; ++request) {
            kvcache::add_unshared_tokens(cache, 300);
        }
        CHECK_FALSE(kvcache::holds(cache, 3));
        CHECK(cache.used_tokens <= cache.capacity);
        CHECK(cache.lru_order.size() < 10);
    }
    SECTION("a part larger than the cache is not kept") {
        kvcache::touch_part(cache, 5, 50000);
        CHECK_FALSE(kvcache::holds(cache, 5));
        CHECK(cache.used_tokens == 0);
    }
}
