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
struct loader_world {
    tests::proxy_world world;
    proxy::weights_loader loader{this->world.entry(),
                                 {[] { return true; }, [] { return std::string("entry-1"); },
                                  [] { return std::int64_t{7}; }}};
    std::int64_t incarnation = 0;
    std::int64_t accepted = 0;
    std::vector<std::string> commands;

    loader_world() {
        this->world.add_engine("i-1", [this](const engine_request& got) {
            if (got.head.target == "/order") {
                this->commands.push_back(got.body);
                return engine_script{{tests::engine_step::kind::send, json_answer("{}", 202)}};
            }
            const std::string state =
                R"({"born":)" + std::to_string(this->incarnation) +
                R"(,"models":[{"name":"m0","version":1}],"busy":false,"seq":)" +
                std::to_string(this->accepted) + "}";
            return engine_script{{tests::engine_step::kind::send, json_answer(state)}};
        });
        auto& member = this->member();
        member.listed.models = {{model, 1}};
        member.listed.incarnation = {100};
        proxy::record_target(this->world.state.weights[model], 1, {});
        const auto now = this->world.entry().now();
        proxy::record_target(this->world.state.weights[model], 2, {now, {}, now});
    }

    fleet::member& member() { return this->world.state.fleet.members.at({"i-1"}); }

    bool tick_until(const std::function<bool()>& condition) {
        return this->world.run_until([&] {
            this->world.move_clock(base::milliseconds(10));
            this->loader.tick();
            return condition();
        });
    }
    bool wait_for_commands(std::size_t count) {
        return this->tick_until([&] { return this->commands.size() >= count; });
    }
};

} // namespace

// An engine that has accepted three orders starts again under its id. Its count starts anew: with
// the count of its earlier life an order would be refused for good, and one of ours that was on its
// way to the earlier life could be carried out by the new one after a newer order.
TEST_CASE("an order expects the count of the life that it is for", "[proxy][weights]") {
    loader_world world;
    world.incarnation = 100;
    world.accepted = 3;
    REQUIRE(world.wait_for_commands(1));
    CHECK(world.commands[0].find(R"("expected":3)") != std::string::npos);

    SECTION(
        "also when the list tells of the new life, with the smaller number of a clock set back") {
        world.incarnation = 90;
        world.accepted = 0;
        auto again = world.member().listed;
        again.incarnation = {90};
        fleet::apply_list(world.world.state.fleet, {again}, world.world.entry().now());
        REQUIRE(world.wait_for_commands(2));
        CHECK(world.commands[1].find(R"("expected":0)") != std::string::npos);
    }
    SECTION("and what a life says that is over is not believed") {
        auto again = world.member().listed;
        again.incarnation = {101};
        fleet::apply_list(world.world.state.fleet, {again}, world.world.entry().now());
        world.tick_until([&] { return world.world.state.fleet.members.empty(); });
        CHECK(world.commands.size() == 1);
        CHECK(world.member().listed.incarnation.value == 101);
    }
}

// The engine itself is asked before each order, and answers before the platform's list does. What
// was believed of it is void from then on, though its earlier life is still listed for a second.
TEST_CASE("an engine's own word ends what was believed of its earlier life", "[proxy][weights]") {
    loader_world world;
    world.incarnation = 105;
    world.member().health.ejected_until = world.world.entry().now() + base::seconds(60);
    world.member().remote_work[{"entry-2"}] = {{4, 100, 100, 0},
                                               world.world.entry().now() + base::seconds(60)};
    const auto listed_before = world.member().listed;
    world.member().health.ejected_until = {};
    REQUIRE(world.wait_for_commands(1));
    CHECK(world.member().listed.incarnation.value == 105);
    CHECK(world.member().remote_work.empty());

    SECTION("and the list does not bring it back") {
        fleet::apply_list(world.world.state.fleet, {listed_before}, world.world.entry().now());
        CHECK(world.member().listed.incarnation.value == 105);
    }
}

// The failure: an engine with answers of several seconds under way finishes them before it loads,
// and serves nobody else for as long.
TEST_CASE("an engine cuts off what can go on elsewhere when it is to load", "[proxy][weights]") {
    loader_world world;
    world.world.stop_clock();
    world.incarnation = 100;
    auto& other = world.world.state.fleet.members[{"i-2"}];
    other.listed = {.id = {"i-2"}, .pool = {"pool"}, .slots = 48};
    auto& work = world.member().local_work;
    fleet::add_request(work, {800, 800, false, true});
    const auto begun = world.world.entry().now();
    const auto passed = [&] { return world.world.entry().now() - begun; };

    SECTION("after a moment in which it gets nothing new") {
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"cut")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(400));
        CHECK(world.member().weights_change_until > world.world.entry().now());
    }
    SECTION("once its calls that would be lost have ended") {
        fleet::add_request(work, {9000, 3000, true, false});
        world.tick_until([&] { return passed() > base::milliseconds(700); });
        CHECK(world.commands.empty());
        fleet::remove_request(work, {9000, 3000, true, false}, true);
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"cut")") != std::string::npos);
    }
    SECTION("but has it go on where the rest of the pool has no room for it") {
        other.listed.slots = 1;
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"keep")") != std::string::npos);
        CHECK(passed() < base::milliseconds(400));
    }
    SECTION("and finishes all of it where such a call takes long") {
        fleet::add_request(work, {9000, 3000, true, false});
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"wait")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(1200));
    }
}
