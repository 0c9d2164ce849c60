#include "proxy/load_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// Two entries that know the same engine, and what the first tells the second.
struct exchange_world {
    tests::proxy_world sender;
    tests::proxy_world receiver;
    proxy::load_exchange sending{sender.entry()};
    proxy::load_exchange receiving{receiver.entry()};
    static constexpr std::size_t connected_count = 20;

    exchange_world() {
        for (auto* world : {&this->sender, &this->receiver}) {
            world->add_engine("engine", [](const auto&) { return tests::engine_script{}; });
        }
    }

    fleet::member& at_sender() { return this->sender.state.fleet.members.at({"engine"}); }
    fleet::member& at_receiver() { return this->receiver.state.fleet.members.at({"engine"}); }

    [[nodiscard]] std::int64_t reported_in_flight() {
        return fleet::total_work(this->at_receiver(), this->receiver.entry().now()).in_flight;
    }

    // Gives whether there was news.
    bool send_report(bool should_relay = false) {
        const auto reports = this->sending.collect(connected_count);
        if (reports.near) {
            this->receiving.receive(*reports.near, should_relay);
        }
        return reports.near.has_value();
    }

    void wait(base::milliseconds span) {
        this->sender.move_clock(span);
        this->receiver.move_clock(span);
    }
};

} // namespace

TEST_CASE("entries tell each other what they have under way", "[proxy]") {
    exchange_world world;
    world.at_sender().local_work = {2, 5000, 9000, 0};
    REQUIRE(world.send_report());
    CHECK(world.reported_in_flight() == 2);

    SECTION("and then only what has changed") {
        CHECK_FALSE(world.send_report());
        world.at_sender().local_work = {1, 0, 4000, 0};
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 1);
    }
    SECTION("also that nothing is left") {
        world.at_sender().local_work = {};
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 0);
        CHECK_FALSE(world.send_report());
    }
    SECTION("and now and then all of it, for those that missed something") {
        world.at_receiver().remote_work.clear();
        world.wait(base::milliseconds(150));
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 2);
    }
    SECTION("and are believed for a while only") {
        world.wait(base::seconds(2));
        CHECK(world.reported_in_flight() == 0);
    }
}

// An entry of another zone relies on this one to pass on what it says. The age that it gains on the
// way goes along, since what waited then may have been read meanwhile.
TEST_CASE("what entries of other zones say is passed on with its age", "[proxy]") {
    exchange_world world;
    world.at_sender().local_work = {3, 6000, 9000, 0};
    REQUIRE(world.send_report(true));
    world.wait(base::milliseconds(120));
    const auto relayed = world.receiving.collect(20);
    REQUIRE(relayed.near);
    CHECK_FALSE(relayed.far);
    REQUIRE(relayed.near->loads.size() == 1);
    CHECK(relayed.near->loads.front().items.front().work.in_flight == 3);
    CHECK(relayed.near->loads.front().age >= base::milliseconds(120));
    CHECK_FALSE(world.receiving.collect(20).near);
}

// At the peak an engine reads what waits there within a tenth of a second. Counted for as long as
// it takes to tell again, it drove prompts from the engines that had them cached.
TEST_CASE("what others said waits is read meanwhile", "[proxy]") {
    exchange_world world;
    world.at_sender().local_work = {1, 6000, 9000, 0};
    REQUIRE(world.send_report());
    constexpr double tokens_a_ms = 100.0;
    const auto unread = [&] {
        return fleet::estimate_pending_prefill_tokens(world.at_receiver(),
                                                      world.receiver.entry().now(), tokens_a_ms);
    };
    CHECK(unread() > 5000);
    world.wait(base::milliseconds(30));
    CHECK(unread() < 3100);
    world.wait(base::milliseconds(40));
    CHECK(unread() == 0);
    world.at_receiver().local_work.pending_prefill_tokens = 700;
    CHECK(unread() == 700);
}

// The failure: an entry that stood still reads what others told meanwhile, takes them to be there
// now, and gives out their part of the quotas besides its own.
TEST_CASE("an entry is heard as of when it told, not of when that is read", "[proxy][quota]") {
    exchange_world world;
    const auto rules = proxy::quota_rules_of(world.receiver.entry().settings);
    routes::team team;
    team.id = {"north"};
    team.quota = {routes::quota_unit::tokens, 1000, 1000, 200};
    for (auto* each : {&world.sender, &world.receiver}) {
        each->stop_clock();
        quota::set_limits(each->state.quotas, {team}, each->entry().now(), rules);
    }
    const auto is_responsive = [&] {
        auto& quotas = world.receiver.state.quotas;
        quota::silence_changes(quotas, world.receiver.entry().now(), rules);
        return quotas.reachable.size() == 1;
    };
    constexpr base::milliseconds period{150};
    for (base::milliseconds passed{0}; passed < base::seconds(5); passed += period) {
        world.send_report();
        world.wait(period);
    }
    REQUIRE(is_responsive());
    std::vector<peering::load_report> unread;
    for (base::milliseconds passed{0}; passed < base::seconds(1); passed += period) {
        unread.push_back(world.sending.collect(exchange_world::connected_count).near.value());
        world.wait(period);
    }
    world.wait(base::seconds(4));
    for (const auto& each : unread) {
        world.receiving.receive(each, false);
    }
    CHECK_FALSE(is_responsive());

    SECTION("until it tells again") {
        world.send_report();
        world.wait(period);
        CHECK(is_responsive());
    }
}
