#include "kvcache/cache_index.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};

} // namespace

TEST_CASE("cache keys differ between versions of the weights and between isolated teams",
          "[kvcache]") {
    const kvcache::prompt_scope shared{{"m"}, {}};
    const kvcache::prompt_scope walled{{"m"}, {"north"}};
    CHECK(kvcache::make_salt(shared, 1) != kvcache::make_salt(shared, 2));
    CHECK(kvcache::make_salt(walled, 1) != kvcache::make_salt(shared, 1));
    const std::vector<ports::prompt_part> parts{{"agency", {2520}}, {"own", {100}}};
    const auto here = kvcache::make_chain(shared, parts).levels.front();
    const auto there = kvcache::make_chain(walled, parts).levels.front();
    CHECK(here.key != there.key);
    CHECK(kvcache::key_for_weights(here.key, 1) != kvcache::key_for_weights(here.key, 2));
}

TEST_CASE("the cache index is bounded and evicts the least recently used levels", "[kvcache]") {
    constexpr std::int64_t weights = 3;
    const auto readings = [](const kvcache::cache_index& beliefs, std::uint64_t level) {
        return kvcache::readers_of(beliefs, kvcache::key_for_weights(level, weights));
    };
    constexpr std::int64_t room = 1'000'000;
    const auto read = [](std::uint64_t prompt, const std::string& by, bool saved) {
        kvcache::prompt_prefill made;
        made.levels = {{1000, 100}, {prompt, 500}};
        made.weights = weights;
        made.engine.id.value = by;
        made.saved = saved;
        return made;
    };
    kvcache::cache_index beliefs;
    beliefs.max_records = 10;
    for (std::uint64_t prompt = 0; prompt < 100; ++prompt) {
        kvcache::record_prefill(beliefs, read(prompt, "e1", prompt % 2 == 0), room, now);
    }
    CHECK(beliefs.records.size() == 10);
    CHECK(readings(beliefs, 99).front().engine.value == "e1");
    CHECK(readings(beliefs, 1).empty());
    CHECK(kvcache::last_save_time(beliefs, kvcache::key_for_weights(98, weights)) == now);
    CHECK_FALSE(kvcache::last_save_time(beliefs, kvcache::key_for_weights(99, weights)));

    SECTION("the latest engine comes first and each engine is listed once") {
        kvcache::record_prefill(beliefs, read(99, "e2", false), room, now);
        kvcache::record_prefill(beliefs, read(99, "e1", false), room, now);
        REQUIRE(readings(beliefs, 99).size() == 2);
        CHECK(readings(beliefs, 99).front().engine.value == "e1");
    }
    SECTION("an upstream that has terminated is removed immediately") {
        kvcache::forget_engine(beliefs, {"e1"});
        CHECK(readings(beliefs, 99).empty());
    }
    SECTION("the outermost level shared by many prompts is tracked as well") {
        kvcache::record_prefill(beliefs, read(200, "e2", false), room, now);
        REQUIRE(readings(beliefs, 1000).size() == 2);
        CHECK(readings(beliefs, 1000).front().engine.value == "e2");
    }
    SECTION("records apply only to the weights that were used for the prefill") {
        CHECK(kvcache::readers_of(beliefs, kvcache::key_for_weights(99, weights + 1)).empty());
    }
    // The engine has prefilled so many tokens since then that it must have evicted the prompt. If
    // it were still named as a source, the fetch would fail and the prompt would be prefilled
    // again.
    SECTION("a level is dropped once the engine must have evicted it") {
        kvcache::record_prefill(beliefs, read(300, "e1", false), 2000, now);
        CHECK(kvcache::holds_level(beliefs, {"e1"}, kvcache::key_for_weights(300, weights)));
        CHECK_FALSE(kvcache::holds_level(beliefs, {"e1"}, kvcache::key_for_weights(97, weights)));
    }
}
