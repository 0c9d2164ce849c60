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

// An engine that reports a state set by the test, and a leading entry that has to bring it to the
// second version.
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
                R"(,"models":[{"name":"a0","version":1},{"name":"m0","version":1}],"busy":false,"seq":)" +
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

// An engine that has accepted three commands restarts under its id, and its counter restarts too.
// With the old count every command would be rejected, and a command sent to the previous
// incarnation could be executed by the new one after a newer command.
TEST_CASE("a load command expects the counter of its target incarnation", "[proxy][weights]") {
    loader_world world;
    world.incarnation = 100;
    world.accepted = 3;
    REQUIRE(world.wait_for_commands(1));
    CHECK(world.commands[0].find(R"("expected":3)") != std::string::npos);

    SECTION("the list shows a restart with a smaller number, after a clock was set back") {
        world.incarnation = 90;
        world.accepted = 0;
        auto again = world.member().listed;
        again.incarnation = {90};
        fleet::apply_list(world.world.state.fleet, {again}, world.world.entry().now());
        REQUIRE(world.wait_for_commands(2));
        CHECK(world.commands[1].find(R"("expected":0)") != std::string::npos);
    }
    SECTION("a state reported by an ended incarnation is ignored") {
        auto again = world.member().listed;
        again.incarnation = {101};
        fleet::apply_list(world.world.state.fleet, {again}, world.world.entry().now());
        world.tick_until([&] { return world.world.state.fleet.members.empty(); });
        CHECK(world.commands.size() == 1);
        CHECK(world.member().listed.incarnation.value == 101);
    }
}

// The engine is queried before each command and reports a restart before the platform's list does.
// What was known of its previous incarnation is invalid from then on, although that one stays
// listed for a second.
TEST_CASE("a restart reported by the engine discards its previous incarnation",
          "[proxy][weights]") {
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

    SECTION("the outdated list does not restore it") {
        fleet::apply_list(world.world.state.fleet, {listed_before}, world.world.entry().now());
        CHECK(world.member().listed.incarnation.value == 105);
    }
}

// Guards against an engine that finishes responses of several seconds before it loads and serves no
// one else meanwhile.
TEST_CASE("an engine aborts requests that can continue elsewhere before it loads",
          "[proxy][weights]") {
    loader_world world;
    world.world.stop_clock();
    world.incarnation = 100;
    auto& other = world.world.state.fleet.members[{"i-2"}];
    other.listed = {.id = {"i-2"}, .pool = {"pool"}, .slots = 48};
    auto& work = world.member().local_work;
    fleet::add_request(work, {800, 800, false, true});
    const auto begun = world.world.entry().now();
    const auto passed = [&] { return world.world.entry().now() - begun; };

    SECTION("after a short drain") {
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"cut")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(400));
        CHECK(world.member().weights_change_until > world.world.entry().now());
    }
    SECTION("after its unrepeatable calls have ended") {
        fleet::add_request(work, {9000, 3000, true, false});
        world.tick_until([&] { return passed() > base::milliseconds(700); });
        CHECK(world.commands.empty());
        fleet::remove_request(work, {9000, 3000, true, false}, true);
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"cut")") != std::string::npos);
    }
    SECTION("requests continue on the new weights if the rest of the pool is full") {
        other.listed.slots = 1;
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"keep")") != std::string::npos);
        CHECK(passed() < base::milliseconds(400));
    }
    SECTION("all requests finish if an unrepeatable call takes long") {
        fleet::add_request(work, {9000, 3000, true, false});
        REQUIRE(world.wait_for_commands(1));
        CHECK(world.commands[0].find(R"("mode":"wait")") != std::string::npos);
        CHECK(passed() >= base::milliseconds(1200));
    }
}

// Guards against load commands that name another model of the upstream, which changes nothing there
// and leaves the weights that were named unloaded.
TEST_CASE("a drained engine loads the model that it was drained for", "[proxy][weights]") {
    loader_world world;
    world.world.stop_clock();
    world.incarnation = 100;
    const base::model_id sibling = GENERATE(base::model_id{"a0"}, base::model_id{"z0"});
    CAPTURE(sibling.value);
    world.member().listed.models.emplace_back(sibling, 1);
    proxy::record_target(world.world.state.weights[sibling], 1, {});
    auto& other = world.world.state.fleet.members[{"i-2"}];
    other.listed = {.id = {"i-2"}, .pool = {"pool"}, .slots = 48};
    fleet::add_request(world.member().local_work, {800, 800, false, true});
    REQUIRE(world.wait_for_commands(1));
    CHECK(world.commands[0].find(R"("model":"m0")") != std::string::npos);
    CHECK(world.commands[0].find(R"("version":2)") != std::string::npos);
}
