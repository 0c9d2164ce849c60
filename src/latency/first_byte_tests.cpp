#include "base/random.h"
#include "latency/first_byte.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// An engine that reads `a_ms` tokens a millisecond after `fixed` ms, and takes `pair` ms for a
// million pairs.
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

// Prompts of all lengths, ten a second, one in ten far slower than the engine by itself.
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

// Three pools of engines that differ by three in speed. With one pool's figures, another's prompts
// were placed and refused by times that were ten times too short.
TEST_CASE("the time to the first event is learned from what engines show", "[latency]") {
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

    SECTION("and anew within seconds when they turn slow") {
        const engine_kind slow{kind.fixed * 2, kind.tokens_per_ms / 2, kind.pair * 2};
        add_samples(model, slow, 15.0, 300);
        const auto work = prompt_of(12000.0, 0.0);
        CHECK(latency::expected_first_byte_ms(model, work) == Approx(slow.ms(work)).epsilon(0.25));
    }
}

TEST_CASE("before anything was seen, expectations are those of a middling engine", "[latency]") {
    const latency::first_byte_model model;
    const double expected = latency::expected_first_byte_ms(model, prompt_of(10000.0, 0.0));
    CHECK(expected > 100.0);
    CHECK(expected < 300.0);
}

// An engine stalls for two seconds, and a dozen prompts are shown to take ten times as long.
TEST_CASE("a burst of faults does not move what is expected of the pool", "[latency]") {
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

TEST_CASE("what one length shows says nothing absurd of others", "[latency]") {
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
