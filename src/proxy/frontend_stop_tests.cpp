#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

engine_script echo(const engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
}

// An entry with one engine and one caller, whose connection is kept after its first response.
struct entry_with_idle_caller {
    tests::proxy_world world;

    entry_with_idle_caller() {
        this->world.add_engine("i-1", echo);
        this->world.call(tests::request("once", "r1"));
    }

    bool run_until_ended(std::size_t caller) {
        return this->world.run_until([&] { return this->world.seen_by(caller).ended; });
    }
};

} // namespace

// Guards against a stopping entry that closes a connection as idle although a request has arrived
// on it, which the event loop has not read yet.
TEST_CASE("a request that arrives before the entry stops is answered", "[proxy][stop]") {
    entry_with_idle_caller entry;
    auto& world = entry.world;

    SECTION("on an idle connection") {
        world.send_at_once(0, tests::request("once", "r2"));
        world.stop_server();
        CHECK(world.callers_port().pending_requests() == 1);
        REQUIRE(entry.run_until_ended(0));
        REQUIRE(world.seen_by(0).heads.size() == 2);
        CHECK(world.seen_by(0).heads[1].status == 200);
        CHECK_FALSE(world.seen_by(0).heads[1].keep_alive);
        CHECK(world.callers_port().pending_requests() == 0);
    }
    SECTION("of which only a part has arrived") {
        const std::string whole = tests::request("once", "r2", "body");
        world.send_at_once(0, whole.substr(0, whole.size() - 2));
        world.stop_server();
        const auto idle = [&] { return world.callers_port().idle_connections() == 0; };
        REQUIRE(world.run_until(idle));
        CHECK(world.callers_port().pending_requests() == 1);
        world.send_at_once(0, whole.substr(whole.size() - 2));
        REQUIRE(entry.run_until_ended(0));
        REQUIRE(world.seen_by(0).heads.size() == 2);
        CHECK(world.seen_by(0).heads[1].status == 200);
    }
    SECTION("on a connection that is not accepted yet") {
        world.connect_at_once(tests::request("once", "r2"));
        world.stop_server();
        REQUIRE(entry.run_until_ended(1));
        REQUIRE(world.seen_by(1).heads.size() == 1);
        CHECK(world.seen_by(1).heads[0].status == 200);
    }
    SECTION("behind a response that promised to keep the connection") {
        auto& engine = world.add_engine("i-2", [](const engine_request& got) {
            return engine_script{{step::kind::send, tests::stream_head(got.field("Request-Id")) +
                                                        tests::chunk(tests::event(1))},
                                 {step::kind::hold, {}},
                                 {step::kind::send, "0\r\n\r\n"}};
        });
        world.state.fleet.members.erase({"i-1"});
        world.call_until(tests::request("stream", "r2") + tests::request("stream", "r3"),
                         [&] { return !world.seen_by(1).heads.empty(); });
        world.stop_server();
        REQUIRE(world.run_until([&] {
            engine.go_on();
            return world.seen_by(1).ended;
        }));
        REQUIRE(world.seen_by(1).heads.size() == 2);
        CHECK(world.seen_by(1).heads[0].keep_alive);
        CHECK_FALSE(world.seen_by(1).heads[1].keep_alive);
    }
}

TEST_CASE("a stopping entry closes connections without a request", "[proxy][stop]") {
    entry_with_idle_caller entry;

    SECTION("at once if nothing has arrived") {
        entry.world.stop_server();
    }
    SECTION("after reading an empty line, which is no request") {
        entry.world.send_at_once(0, "\r\n");
        entry.world.stop_server();
    }
    REQUIRE(entry.run_until_ended(0));
    CHECK(entry.world.seen_by(0).heads.size() == 1);
    CHECK(entry.world.callers_port().pending_requests() == 0);
}

// Guards against a request that is read and dropped because it crosses the close of its connection.
TEST_CASE("a request that crosses the close of an idle connection stays unread", "[proxy][stop]") {
    entry_with_idle_caller entry;
    auto& world = entry.world;
    const std::string crossing = tests::request("once", "r2");
    world.let_callers_read(false);
    world.stop_server();
    world.send_at_once(0, crossing);
    REQUIRE(world.run_until([&] { return world.callers_port().open_connections() == 0; }));
    REQUIRE(world.late_inputs.size() == 1);
    CHECK(world.late_inputs[0].bytes == crossing.size());
    CHECK(world.late_inputs[0].left_unread);
}

// Guards against an idle timeout that takes effect although a request has arrived meanwhile, as
// after a pause of the VM.
TEST_CASE("a request that has arrived when its connection's time runs out is answered",
          "[proxy][stop]") {
    tests::proxy_world world;
    world.caller_limits.idle_timeout = base::milliseconds(50);
    world.add_engine("i-1", echo);
    world.call(tests::request("once", "r1"));
    world.send_at_once(0, tests::request("once", "r2"));
    std::this_thread::sleep_for(2 * world.caller_limits.idle_timeout);
    world.run_until([&] { return world.seen_by(0).heads.size() == 2 || world.seen_by(0).ended; });
    CHECK(world.seen_by(0).heads.size() == 2);
}
