#include "proxy/load_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// Two entries that know the same engine, and what the first tells the second.
struct exchange_world {
    tests::proxy_world teller;
    tests::proxy_world listener;
    proxy::load_exchange telling{teller.entry()};
    proxy::load_exchange listening{listener.entry()};
    static constexpr std::size_t linked = 20;

    exchange_world() {
        for (auto* world : {&this->teller, &this->listener}) {
            world->add_engine("engine", [](const auto&) { return tests::engine_script{}; });
        }
    }

    fleet::member& at_teller() { return this->teller.state.fleet.members.at({"engine"}); }
    fleet::member& at_listener() { return this->listener.state.fleet.members.at({"engine"}); }

    [[nodiscard]] std::int64_t heard_in_flight() {
        return fleet::total_work(this->at_listener(), this->listener.entry().now()).in_flight;
    }

    // Gives whether there was news.
    bool tell(bool passes_on = false) {
        const auto news = this->telling.collect(linked);
        if (news.near) {
            this->listening.take(*news.near, passes_on);
        }
        return news.near.has_value();
    }

    void wait(base::milliseconds span) {
        this->teller.move_clock(span);
        this->listener.move_clock(span);
    }
};

} // namespace

TEST_CASE("entries tell each other what they have under way", "[proxy]") {
    exchange_world world;
    world.at_teller().local_work = {2, 5000, 9000, 0};
    REQUIRE(world.tell());
    CHECK(world.heard_in_flight() == 2);

    SECTION("and then only what has changed") {
        CHECK_FALSE(world.tell());
        world.at_teller().local_work = {1, 0, 4000, 0};
        REQUIRE(world.tell());
        CHECK(world.heard_in_flight() == 1);
    }
    SECTION("also that nothing is left") {
        world.at_teller().local_work = {};
        REQUIRE(world.tell());
        CHECK(world.heard_in_flight() == 0);
        CHECK_FALSE(world.tell());
    }
    SECTION("and now and then all of it, for those that missed something") {
        world.at_listener().remote_work.clear();
        world.wait(base::milliseconds(150));
        REQUIRE(world.tell());
        CHECK(world.heard_in_flight() == 2);
    }
    SECTION("and are believed for a while only") {
        world.wait(base::seconds(2));
        CHECK(world.heard_in_flight() == 0);
    }
}

// An entry of another zone relies on this one to pass on what it says. The age that it gains on the
// way goes along, since what waited then may have been read meanwhile.
TEST_CASE("what entries of other zones say is passed on with its age", "[proxy]") {
    exchange_world world;
    world.at_teller().local_work = {3, 6000, 9000, 0};
    REQUIRE(world.tell(true));
    world.wait(base::milliseconds(120));
    const auto passed = world.listening.collect(20);
    REQUIRE(passed.near);
    CHECK_FALSE(passed.far);
    REQUIRE(passed.near->loads.size() == 1);
    CHECK(passed.near->loads.front().items.front().work.in_flight == 3);
    CHECK(passed.near->loads.front().age >= base::milliseconds(120));
    CHECK_FALSE(world.listening.collect(20).near);
}

// At the peak an engine reads what waits there within a tenth of a second. Counted for as long as
// it takes to tell again, it drove prompts from the engines that had them cached.
TEST_CASE("what others said waits is read meanwhile", "[proxy]") {
    exchange_world world;
    world.at_teller().local_work = {1, 6000, 9000, 0};
    REQUIRE(world.tell());
    constexpr double tokens_a_ms = 100.0;
    const auto unread = [&] {
        return fleet::estimate_pending_prefill_tokens(world.at_listener(),
                                                      world.listener.entry().now(), tokens_a_ms);
    };
    CHECK(unread() > 5000);
    world.wait(base::milliseconds(30));
    CHECK(unread() < 3100);
    world.wait(base::milliseconds(40));
    CHECK(unread() == 0);
    world.at_listener().local_work.pending_prefill_tokens = 700;
    CHECK(unread() == 700);
}

// The failure: an entry that stood still reads what others told meanwhile, takes them to be there
// now, and gives out their part of the quotas besides its own.
TEST_CASE("an entry is heard as of when it told, not of when that is read", "[proxy][quota]") {
    exchange_world world;
    const auto rules = proxy::quota_rules_of(world.listener.entry().settings);
    routes::team team;
    team.id = {"north"};
    team.quota = {routes::quota_unit::tokens, 1000, 1000, 200};
    for (auto* each : {&world.teller, &world.listener}) {
        each->stop_clock();
        quota::set_limits(each->state.quotas, {team}, each->entry().now(), rules);
    }
    const auto is_heard = [&] {
        auto& quotas = world.listener.state.quotas;
        quota::silence_changes(quotas, world.listener.entry().now(), rules);
        return quotas.reachable.size() == 1;
    };
    constexpr base::milliseconds period{150};
    for (base::milliseconds passed{0}; passed < base::seconds(5); passed += period) {
        world.tell();
        world.wait(period);
    }
    REQUIRE(is_heard());
    std::vector<peering::load_report> unread;
    for (base::milliseconds passed{0}; passed < base::seconds(1); passed += period) {
        unread.push_back(world.telling.collect(exchange_world::linked).near.value());
        world.wait(period);
    }
    world.wait(base::seconds(4));
    for (const auto& each : unread) {
        world.listening.take(each, false);
    }
    CHECK_FALSE(is_heard());

    SECTION("until it tells again") {
        world.tell();
        world.wait(period);
        CHECK(is_heard());
    }
}
