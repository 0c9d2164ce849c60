#include "kvcache/cache_index.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};

} // namespace

TEST_CASE("cached parts are told apart by weights and by isolated teams", "[kvcache]") {
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

TEST_CASE("beliefs are bounded and forget the oldest first", "[kvcache]") {
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

    SECTION("with the newest reader first, each once") {
        kvcache::record_prefill(beliefs, read(99, "e2", false), room, now);
        kvcache::record_prefill(beliefs, read(99, "e1", false), room, now);
        REQUIRE(readings(beliefs, 99).size() == 2);
        CHECK(readings(beliefs, 99).front().engine.value == "e1");
    }
    SECTION("and those of an upstream that is gone at once") {
        kvcache::forget_engine(beliefs, {"e1"});
        CHECK(readings(beliefs, 99).empty());
    }
    SECTION("of the outermost level too, which many prompts share") {
        kvcache::record_prefill(beliefs, read(200, "e2", false), room, now);
        REQUIRE(readings(beliefs, 1000).size() == 2);
        CHECK(readings(beliefs, 1000).front().engine.value == "e2");
    }
    SECTION("for the weights that they were read by alone") {
        CHECK(kvcache::readers_of(beliefs, kvcache::key_for_weights(99, weights + 1)).empty());
    }
    // The engine has read so much since that it must have dropped the prompt. Named as a source, it
    // would be asked in vain, and the prompt be read anew.
    SECTION("as long as the engine has room for it") {
        kvcache::record_prefill(beliefs, read(300, "e1", false), 2000, now);
        CHECK(kvcache::holds_level(beliefs, {"e1"}, kvcache::key_for_weights(300, weights)));
        CHECK_FALSE(kvcache::holds_level(beliefs, {"e1"}, kvcache::key_for_weights(97, weights)));
    }
}
