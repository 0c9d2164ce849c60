#include "kvcache/cache_index.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};

} // namespace

TEST_CASE("cache keys differ between versions of the weights and between isolated teams",
          "[kvcache]") {
    const kvcache::prompt_scope shared{{"m"}, {}};
    const kvcache::prompt_scope isolated{{"m"}, {"north"}};
    CHECK(kvcache::make_salt(shared, 1) != kvcache::make_salt(shared, 2));
    CHECK(kvcache::make_salt(isolated, 1) != kvcache::make_salt(shared, 1));
    const std::vector<ports::prompt_part> parts{{"agency", {2520}}, {"own", {100}}};
    const auto here = kvcache::make_chain(shared, parts).levels.front();
    const auto there = kvcache::make_chain(isolated, parts).levels.front();
    CHECK(here.key != there.key);
    CHECK(kvcache::cached_level_key(here.key, 1, 0) != kvcache::cached_level_key(here.key, 2, 0));
}

TEST_CASE("the cache index is bounded and evicts the least recently used levels", "[kvcache]") {
    constexpr std::int64_t weights = 3;
    const auto readers = [](const kvcache::cache_index& index, std::uint64_t level) {
        return kvcache::readers_of(index, kvcache::cached_level_key(level, weights, 0));
    };
    constexpr std::int64_t capacity = 1'000'000;
    const auto read = [](std::uint64_t prompt, const std::string& by, bool saved) {
        kvcache::prompt_prefill prefill;
        prefill.levels = {{1000, 100}, {prompt, 500}};
        prefill.weights = weights;
        prefill.engine.id.value = by;
        prefill.saved = saved;
        return prefill;
    };
    kvcache::cache_index index;
    index.max_records = 10;
    for (std::uint64_t prompt = 0; prompt < 100; ++prompt) {
        kvcache::record_prefill(index, read(prompt, "e1", prompt % 2 == 0), capacity, now);
    }
    CHECK(index.records.size() == 10);
    CHECK(readers(index, 99).front().engine.value == "e1");
    CHECK(readers(index, 1).empty());
    CHECK(kvcache::last_save_time(index, kvcache::cached_level_key(98, weights, 0)) == now);
    CHECK_FALSE(kvcache::last_save_time(index, kvcache::cached_level_key(99, weights, 0)));

    SECTION("the latest engine comes first and each engine is listed once") {
        kvcache::record_prefill(index, read(99, "e2", false), capacity, now);
        kvcache::record_prefill(index, read(99, "e1", false), capacity, now);
        REQUIRE(readers(index, 99).size() == 2);
        CHECK(readers(index, 99).front().engine.value == "e1");
    }
    SECTION("an upstream that has terminated is removed immediately") {
        kvcache::forget_engine(index, {"e1"});
        CHECK(readers(index, 99).empty());
    }
    SECTION("the outermost level shared by many prompts is tracked as well") {
        kvcache::record_prefill(index, read(200, "e2", false), capacity, now);
        REQUIRE(readers(index, 1000).size() == 2);
        CHECK(readers(index, 1000).front().engine.value == "e2");
    }
    SECTION("records apply only to the weights that were used for the prefill") {
        CHECK(kvcache::readers_of(index, kvcache::cached_level_key(99, weights + 1, 0)).empty());
    }
    // The engine has prefilled so many tokens since then that it must have evicted the prompt. If
    // it were still named as a source, the fetch would fail and the prompt would be prefilled
    // again.
    SECTION("a level is dropped once the engine must have evicted it") {
        kvcache::record_prefill(index, read(300, "e1", false), 2000, now);
        CHECK(kvcache::holds_level(index, {"e1"}, kvcache::cached_level_key(300, weights, 0)));
        CHECK_FALSE(kvcache::holds_level(index, {"e1"}, kvcache::cached_level_key(97, weights, 0)));
    }
}
