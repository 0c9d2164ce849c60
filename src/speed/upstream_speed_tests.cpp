#include "base/random.h"
#include "routing/rendezvous.h"
#include "speed/upstream_speed.h"

#include <catch2/catch.hpp>

#include <set>

using namespace camphorrail;

namespace {

base::instant at(double seconds) {
    return base::instant{base::micros(static_cast<std::int64_t>(seconds * 1e6))};
}

// Four upstreams of one pool, each with ten samples a second.
struct sampled_pool {
    std::vector<double> factors{0.6, 1.0, 1.0, 1.6};
    std::vector<speed::upstream_speed> speeds{4};
    latency::first_byte_model model;
    double now = 0.0;

    void update(bool stating) {
        std::vector<speed::upstream_speed*> all;
        for (auto& each : this->speeds) {
            all.push_back(&each);
        }
        speed::update_pool(all, stating, at(this->now), {});
    }

    // Returns the factors in force of the last upstream.
    std::set<double> run(double seconds) {
        std::set<double> in_force;
        for (const double end = this->now + seconds; this->now < end; this->now += 0.1) {
            for (std::size_t each = 0; each < this->speeds.size(); ++each) {
                const double noise = static_cast<int>(this->now * 10.0) % 2 == 0 ? 1.15 : 0.87;
                this->record(each, noise * this->factors[each]);
            }
            this->update(true);
            in_force.insert(this->speeds.back().factor);
        }
        return in_force;
    }

    // An upstream of factor 1.0 takes 220 ms.
    void record(std::size_t upstream, double factor) {
        speed::record_first_byte(this->speeds[upstream], this->model,
                                 {{10000.0, 0.0, 0.0}, 220.0 * factor}, at(this->now), {});
    }

    [[nodiscard]] double learned(std::size_t upstream) const {
        return speed::learned_factor(this->speeds[upstream], at(this->now), {});
    }
};

} // namespace

TEST_CASE("factors are learned from samples, and forgotten without them", "[speed]") {
    sampled_pool pool;
    pool.run(20);
    CHECK(pool.learned(0) == Approx(0.6).epsilon(0.1));
    CHECK(pool.learned(3) == Approx(1.6).epsilon(0.1));
    CHECK(latency::expected_first_byte_ms(pool.model, {10000.0, 0.0, 0.0}) ==
          Approx(220.0).epsilon(0.1));

    SECTION("a factor in force changes rarely: each change moves homes") {
        CHECK(pool.run(60).size() <= 2);
    }
    SECTION("a burst of outliers does not make an upstream a slow one") {
        for (int each = 0; each < 10; ++each) {
            pool.record(1, 50.0);
        }
        CHECK(pool.learned(1) < 1.15);
    }
    SECTION("an upstream that becomes slow is known within half a minute") {
        pool.factors[1] = 1.6;
        pool.run(30);
        CHECK(pool.learned(1) > 1.35);
    }
    SECTION("a late sample does not make the evidence older") {
        const auto newest = pool.speeds[1].sampled_at;
        pool.now -= 5.0;
        pool.record(1, 1.0);
        CHECK(pool.speeds[1].sampled_at == newest);
    }
    SECTION("without samples a factor returns to 1.0") {
        pool.now += 600.0;
        CHECK(pool.learned(3) == Approx(1.0).epsilon(0.01));
    }
    SECTION("no factor is in force once upstreams no longer state slowdowns") {
        pool.update(false);
        CHECK(speed::capacity(pool.speeds[3]) == 1.0);
        CHECK(speed::time_factor(pool.speeds[3], at(pool.now), {}) == 1.0);
    }
}

// Guards against prompts that leave their homes because of a slowness that has passed, and against
// a statement that counts twice, once by itself and once in the learned factor.
TEST_CASE("a stated slowdown decays, and leaves out what was learned", "[speed]") {
    sampled_pool pool;
    pool.run(20);
    auto& slow = pool.speeds[3];
    for (int each = 0; each < 300; ++each) {
        speed::record_statement(slow, 1.6, at(pool.now), {});
    }
    CHECK(speed::current_slowdown(slow, at(pool.now), {}) == Approx(1.0).epsilon(0.1));
    const double factor = slow.factor;
    speed::record_statement(slow, 4.0, at(pool.now), {});
    CHECK(speed::current_slowdown(slow, at(pool.now), {}) > 2.0);
    CHECK(speed::current_slowdown(slow, at(pool.now + 1.0), {}) == 1.0);
    pool.update(true);
    CHECK(slow.factor == factor);
}

// Guards against homes that move without need: with each one, cached prompts are lost.
TEST_CASE("a changed weight moves only that share of the keys", "[speed]") {
    base::random_source random{5};
    const auto first = base::random_bits(random);
    const auto second = base::random_bits(random);
    int gained = 0;
    for (int each = 0; each < 10000; ++each) {
        const auto key = base::random_bits(random);
        const auto other = routing::weighted_score(second, key, 1.0);
        const bool before = routing::weighted_score(first, key, 1.0) > other;
        const bool after = routing::weighted_score(first, key, 1.5) > other;
        CHECK((after || !before));
        gained += after && !before ? 1 : 0;
    }
    // From a half to three fifths.
    CHECK(gained == Approx(1000).epsilon(0.1));
}
