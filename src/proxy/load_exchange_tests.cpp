#include "proxy/load_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// Two entries with the same engine; the first reports to the second.
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

    // Returns whether there was anything to report.
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

TEST_CASE("entries report their in-flight work to each other", "[proxy]") {
    exchange_world world;
    world.at_sender().local_work = {2, 5000, 9000, 0};
    REQUIRE(world.send_report());
    CHECK(world.reported_in_flight() == 2);

    SECTION("later reports hold only changes") {
        CHECK_FALSE(world.send_report());
        world.at_sender().local_work = {1, 0, 4000, 0};
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 1);
    }
    SECTION("the end of all work is reported once") {
        world.at_sender().local_work = {};
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 0);
        CHECK_FALSE(world.send_report());
    }
    SECTION("complete reports are repeated periodically") {
        world.at_receiver().remote_work.clear();
        world.wait(base::milliseconds(150));
        REQUIRE(world.send_report());
        CHECK(world.reported_in_flight() == 2);
    }
    SECTION("reports expire") {
        world.wait(base::seconds(2));
        CHECK(world.reported_in_flight() == 0);
    }
}

// An entry in another zone relies on this entry to relay its reports. The relayed report must
// include the delay, since the engine may have read the queued tokens meanwhile.
TEST_CASE("reports from other zones are relayed with their age", "[proxy]") {
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

// At peak an engine reads its queue within a tenth of a second. Counting the reported queue in full
// until the next report drove prompts away from the engines that had them cached.
TEST_CASE("reported unread tokens decrease with time", "[proxy]") {
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

// Guards against an entry that was suspended, then reads old reports, takes their senders to be
// alive now, and hands out their share of the quotas in addition to its own.
TEST_CASE("a report counts from when it was sent, not from when it is read", "[proxy][quota]") {
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

    SECTION("responsive again after a new report") {
        world.send_report();
        world.wait(period);
        CHECK(is_responsive());
    }
}

// Guards against an urgent prompt that is refused because of less urgent work of another entry, and
// against one that is sent behind the work of an entry whose build does not report ranks.
TEST_CASE("entries report what waits at which rank", "[proxy][queueing]") {
    exchange_world world;
    const fleet::request_work later{800, 800, false, true, queueing::rank{3}};
    for (int each = 0; each < 5; ++each) {
        fleet::add_request(world.at_sender().local_work, later);
    }
    REQUIRE(world.send_report());
    const auto ahead_of = [&](queueing::rank rank) {
        const auto work = fleet::total_work(world.at_receiver(), world.receiver.entry().now());
        return fleet::work_ahead(work, rank).requests;
    };
    CHECK(ahead_of({0}) == 0);
    CHECK(ahead_of({3}) == 5);

    SECTION("a first byte is a change to report") {
        fleet::record_first_byte(world.at_sender().local_work, later);
        REQUIRE(world.send_report());
        CHECK(ahead_of({3}) == 4);
    }
    SECTION("work of an older build counts as ahead of everyone") {
        world.at_sender().local_work = {6, 5000, 9000, 0};
        REQUIRE(world.send_report());
        CHECK(ahead_of({0}) == 6);
    }
    SECTION("a lost report is corrected by the next complete one") {
        fleet::record_first_byte(world.at_sender().local_work, later);
        world.sending.collect(exchange_world::connected_count);
        CHECK(ahead_of({3}) == 5);
        world.wait(base::milliseconds(150));
        REQUIRE(world.send_report());
        CHECK(ahead_of({3}) == 4);
    }
    SECTION("the work of an entry that is killed expires") {
        world.wait(base::seconds(2));
        CHECK(ahead_of({3}) == 0);
    }
}
