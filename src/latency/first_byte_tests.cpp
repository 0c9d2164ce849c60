#include "base/random.h"
#include "latency/first_byte.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// An engine that prefills `tokens_per_ms` tokens per millisecond after `fixed` ms, and takes `pair`
// ms per million attention pairs.
struct engine_kind {
    double fixed;
    double tokens_per_ms;
    double pair;

    [[nodiscard]] double ms(const latency::prefill_work& work) const {
        return this->fixed + (work.tokens + work.queued_tokens) / this->tokens_per_ms +
               this->pair * work.million_pairs;
    }
};

latency::prefill_work prompt_of(double tokens, double ahead) {
    return {tokens, ahead, latency::attention_pairs(tokens, tokens)};
}

base::instant at(double seconds) {
    return base::instant{base::micros(static_cast<std::int64_t>(seconds * 1e6))};
}

// Adds samples of prompts of all lengths, ten per second; one in ten is delayed by a stall of three
// seconds.
void add_samples(latency::first_byte_model& model, const engine_kind& kind, double from_s,
                 int count) {
    base::random_source random{5};
    for (int each = 0; each < count; ++each) {
        const auto work = prompt_of(static_cast<double>(base::random_below(random, 20000)),
                                    static_cast<double>(base::random_below(random, 8000)));
        const double stall = base::random_below(random, 10) == 0 ? 3000.0 : 0.0;
        latency::record_first_byte(model, {work, kind.ms(work) + stall}, at(from_s + each * 0.1));
    }
}

} // namespace

// Guards against fixed constants: the engines of three pools differ in speed by a factor of three.
// With the constants of one pool, prompts of another were placed and rejected based on predictions
// that were ten times too short.
TEST_CASE("the time to the first event is learned from observed requests", "[latency]") {
    const auto kind =
        GENERATE(engine_kind{95, 48, 0.5}, engine_kind{8, 100, 0.3}, engine_kind{65, 75, 0.35});
    latency::first_byte_model model;
    add_samples(model, kind, 0.0, 150);
    for (const double tokens : {300.0, 3000.0, 12000.0, 30000.0}) {
        const auto work = prompt_of(tokens, 2000.0);
        CAPTURE(kind.tokens_per_ms, tokens);
        CHECK(latency::expected_first_byte_ms(model, work) ==
              Approx(kind.ms(work)).epsilon(0.25).margin(10.0));
    }

    SECTION("it adapts within seconds when engines slow down") {
        const engine_kind slow{kind.fixed * 2, kind.tokens_per_ms / 2, kind.pair * 2};
        add_samples(model, slow, 15.0, 300);
        const auto work = prompt_of(12000.0, 0.0);
        CHECK(latency::expected_first_byte_ms(model, work) == Approx(slow.ms(work)).epsilon(0.25));
    }
}

TEST_CASE("predictions without samples are those of an average engine", "[latency]") {
    const latency::first_byte_model model;
    const double expected = latency::expected_first_byte_ms(model, prompt_of(10000.0, 0.0));
    CHECK(expected > 100.0);
    CHECK(expected < 300.0);
}

// An engine stalls for two seconds, and a dozen prompts appear to take ten times as long.
TEST_CASE("a burst of faults does not shift the prediction for the pool", "[latency]") {
    const engine_kind kind{20, 80, 0.4};
    latency::first_byte_model model;
    add_samples(model, kind, 0.0, 200);
    const auto work = prompt_of(8000.0, 0.0);
    const double before = latency::expected_first_byte_ms(model, work);
    for (int each = 0; each < 12; ++each) {
        latency::record_first_byte(model, {work, 3000.0}, at(20.0 + each * 0.05));
    }
    CHECK(latency::expected_first_byte_ms(model, work) < 1.8 * before);
}

TEST_CASE("samples of one prompt length give plausible predictions for other lengths",
          "[latency]") {
    latency::first_byte_model model;
    for (int each = 0; each < 200; ++each) {
        latency::record_first_byte(model, {prompt_of(400.0, 0.0), 110.0}, at(each * 0.05));
    }
    CHECK(latency::expected_first_byte_ms(model, prompt_of(400.0, 0.0)) ==
          Approx(110.0).epsilon(0.1));
    const double longer = latency::expected_first_byte_ms(model, prompt_of(15000.0, 0.0));
    CHECK(longer > 200.0);
    CHECK(longer < 700.0);
}
