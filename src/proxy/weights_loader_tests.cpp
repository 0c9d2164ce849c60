#include "proxy/weights_loader.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;

namespace {

const base::model_id model{"m0"};

std::string json_answer(const std::string& body, int status = 200) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An engine that says of itself what the test sets, and an entry that leads and is to bring it to
// the second version.
struct led_world {
    tests::proxy_world world;
    proxy::weights_loader loader{this->world.entry(),
                                 {[] { return true; }, [] { return std::string("entry-1"); },
                                  [] { return std::int64_t{7}; }}};
    std::int64_t born = 0;
    std::int64_t accepted = 0;
    std::vector<std::string> ordered;

    led_world() {
        this->world.add_engine("i-1", [this](const engine_request& got) {
            if (got.head.target == "/order") {
                this->ordered.push_back(got.body);
                return engine_script{{tests::engine_step::kind::send, json_answer("{}", 202)}};
            }
            const std::string said =
                R"({"born":)" + std::to_string(this->born) +
                R"(,"models":[{"name":"m0","version":1}],"busy":false,"seq":)" +
                std::to_string(this->accepted) + "}";
            return engine_script{{tests::engine_step::kind::send, json_answer(said)}};
        });
        auto& one = this->member();
        one.listed.models = {{model, 1}};
        one.listed.incarnation = {100};
        proxy::note_named(this->world.state.weights[model], 1, {});
        const auto now = this->world.entry().now();
        proxy::note_named(this->world.state.weights[model], 2, {now, {}, now});
    }

    fleet::member& member() { return this->world.state.fleet.members.at({"i-1"}); }

    bool tick_until(const std::function<bool()>& condition) {
        return this->world.run_until([&] {
            this->world.move_clock(base::milliseconds(10));
            this->loader.tick();
            return condition();
        });
    }
    bool wait_for_orders(std::size_t count) {
        return this->tick_until([&] { return this->ordered.size() >= count; });
    }
};

} // namespace

// An engine that has accepted three orders starts again under its id. Its count starts anew: with
// the count of its earlier life an order would be refused for good, and one of ours that was on its
// way to the earlier life could be carried out by the new one after a newer order.
TEST_CASE("an order expects the count of the life that it is for", "[proxy][weights]") {
    led_world led;
    led.born = 100;
    led.accepted = 3;
    REQUIRE(led.wait_for_orders(1));
    CHECK(led.ordered[0].find(R"("expected":3)") != std::string::npos);

    SECTION(
        "also when the list tells of the new life, with the smaller number of a clock set back") {
        led.born = 90;
        led.accepted = 0;
        auto again = led.member().listed;
        again.incarnation = {90};
        fleet::apply_list(led.world.state.fleet, {again}, led.world.entry().now());
        REQUIRE(led.wait_for_orders(2));
        CHECK(led.ordered[1].find(R"("expected":0)") != std::string::npos);
    }
    SECTION("and what a life says that is over is not believed") {
        auto again = led.member().listed;
        again.incarnation = {101};
        fleet::apply_list(led.world.state.fleet, {again}, led.world.entry().now());
        led.tick_until([&] { return led.world.state.fleet.members.empty(); });
        CHECK(led.ordered.size() == 1);
        CHECK(led.member().listed.incarnation.value == 101);
    }
}

// The engine itself is asked before each order, and answers before the platform's list does. What
// was believed of it is void from then on, though its earlier life is still listed for a second.
TEST_CASE("an engine's own word ends what was believed of its earlier life", "[proxy][weights]") {
    led_world led;
    led.born = 105;
    led.member().health.ejected_until = led.world.entry().now() + base::seconds(60);
    led.member().remote_work[{"entry-2"}] = {{4, 100, 100, 0},
                                             led.world.entry().now() + base::seconds(60)};
    const auto listed_before = led.member().listed;
    led.member().health.ejected_until = {};
    REQUIRE(led.wait_for_orders(1));
    CHECK(led.member().listed.incarnation.value == 105);
    CHECK(led.member().remote_work.empty());

    SECTION("and the list does not bring it back") {
        fleet::apply_list(led.world.state.fleet, {listed_before}, led.world.entry().now());
        CHECK(led.member().listed.incarnation.value == 105);
    }
}

// The failure: an engine with answers of several seconds under way finishes them before it loads,
// and serves nobody else for as long.
TEST_CASE("an engine cuts off what can go on elsewhere when it is to load", "[proxy][weights]") {
    led_world led;
    led.world.stop_clock();
    led.born = 100;
    auto& other = led.world.state.fleet.members[{"i-2"}];
    other.listed = {.id = {"i-2"}, .pool = {"pool"}, .slots = 48};
    auto& work = led.member().local_work;
    fleet::add_request(work, {800, 800, false, true});
    const auto begun = led.world.entry().now();
    const auto passed = [&] { return led.world.entry().now() - begun; };

    SECTION("after a moment in which it gets nothing new") {
        REQUIRE(led.wait_for_orders(1));
        CHECK(led.ordered[0].find(R"("mode":"cut")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(400));
        CHECK(led.member().weights_change_until > led.world.entry().now());
    }
    SECTION("once its calls that would be lost have ended") {
        fleet::add_request(work, {9000, 3000, true, false});
        led.tick_until([&] { return passed() > base::milliseconds(700); });
        CHECK(led.ordered.empty());
        fleet::remove_request(work, {9000, 3000, true, false}, true);
        REQUIRE(led.wait_for_orders(1));
        CHECK(led.ordered[0].find(R"("mode":"cut")") != std::string::npos);
    }
    SECTION("but has it go on where the rest of the pool has no room for it") {
        other.listed.slots = 1;
        REQUIRE(led.wait_for_orders(1));
        CHECK(led.ordered[0].find(R"("mode":"keep")") != std::string::npos);
        CHECK(passed() < base::milliseconds(400));
    }
    SECTION("and finishes all of it where such a call takes long") {
        fleet::add_request(work, {9000, 3000, true, false});
        REQUIRE(led.wait_for_orders(1));
        CHECK(led.ordered[0].find(R"("mode":"wait")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(1200));
    }
}
