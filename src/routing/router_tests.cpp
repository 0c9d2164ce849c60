#include "routing/router.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorrail;

namespace {

constexpr double prefill_us = 100;

routing::pool_view make_pool(int size) {
    routing::pool_view pool;
    std::vector<base::upstream_id> ids;
    ids.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index) {
        ids.push_back({"pool-" + std::to_string(index)});
    }
    routing::set_members(pool, ids, std::vector<base::availability_zone>(ids.size()));
    return pool;
}

void report(routing::pool_view& pool, std::size_t index, base::micros wait, base::instant now,
            std::int64_t incarnation = 1) {
    routing::record_load(pool, pool.upstreams[index].id, wait, prefill_us, incarnation, now);
}

} // namespace

TEST_CASE("choosing an upstream", "[routing]") {
    const routing::routing_rules rules;
    routing::pool_view pool = make_pool(8);
    routing::affinity_table table;
    base::random_source random{1};
    const base::instant now{base::seconds(100)};
    const prefix::prefix_chain chain{{11, {4000}}, {12, {6000}}, {13, {6100}}};
    for (std::size_t index = 0; index < pool.upstreams.size(); ++index) {
        report(pool, index, base::micros{0}, now);
    }
    const auto choose = [&](const routing::routing_request& request, base::instant when) {
        return routing::choose_upstream(pool, table, request, when, random, rules);
    };
    const auto first = choose({&chain}, now);
    REQUIRE(first);
    const auto home = first->index;
    routing::record_served(pool, table, pool.upstreams[home].id, chain, first->basis, {0}, now,
                           rules);

    SECTION("returns to the upstream that served the prefix") {
        CHECK(choose({&chain}, now)->index == home);
    }

    SECTION("switches upstreams once waiting costs more than prefilling the prefix again") {
        report(pool, home, base::seconds(5), now);
        CHECK(choose({&chain}, now)->index != home);
    }

    // The engine crashed and restarted with an empty cache. Hints from its earlier incarnation
    // would direct its former prefixes there as if they were cached, and each would be prefilled
    // again.
    SECTION("ignores hints from an earlier incarnation of the engine") {
        const auto before = choose({&chain}, now)->expected_cached;
        report(pool, home, base::micros{0}, now, 2);
        const auto later = now + base::seconds(60);
        const auto after = choose({&chain}, later);
        CHECK(after->expected_cached.value <= before.value);
        const auto* record = routing::find(table, 11);
        REQUIRE(record != nullptr);
        CHECK(record->holders[0].engine_incarnation != 2);
    }

    SECTION("never picks an upstream that is draining, ejected or already tried; returns nothing "
            "if none is left") {
        routing::routing_request request{&chain};
        for (auto& view : pool.upstreams) {
            if (&view != &pool.upstreams[3]) {
                view.health.draining = true;
            }
        }
        CHECK(choose(request, now)->index == 3);
        request.excluded.push_back(pool.upstreams[3].id);
        CHECK_FALSE(choose(request, now));
    }

    SECTION("keeps the state of remaining upstreams when the members change") {
        report(pool, home, base::seconds(3), now);
        const auto id = pool.upstreams[home].id;
        routing::set_members(pool, {{"new"}, id}, {{}, {}});
        CHECK(routing::find(pool, id)->reported_wait == base::seconds(3));
        CHECK(pool.hashes.size() == 2);
    }
}
