#include "proxy/descriptors.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

using namespace camphorrail;
using step = tests::engine_step;

namespace {

tests::engine_script echo(const tests::engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
}

tests::engine_script never_respond(const tests::engine_request& /*got*/) {
    return {{step::kind::hang, {}}};
}

std::string id_of(std::size_t number) {
    return "r" + std::to_string(number);
}

// Moves the clock and keeps the configuration proved current.
void advance_clock(tests::proxy_world& world, base::micros span) {
    world.move_clock(span);
    world.prove_config();
}

// Lowers the descriptor limit so that the process can open no more descriptors while the object
// exists.
class descriptor_exhaustion {
public:
    descriptor_exhaustion() {
        getrlimit(RLIMIT_NOFILE, &this->before);
        const int lowest_free = dup(STDOUT_FILENO);
        close(lowest_free);
        rlimit lowered = this->before;
        lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~descriptor_exhaustion() { setrlimit(RLIMIT_NOFILE, &this->before); }
    descriptor_exhaustion(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;

private:
    rlimit before{};
};

} // namespace

// Guards against client and upstream connections using up the descriptors that the entry's own
// connections need.
TEST_CASE("client and upstream connections leave descriptors for the entry's own connections",
          "[proxy][descriptors]") {
    const std::size_t limit = GENERATE(16U, 64U, 256U, 1024U, 4096U, 4200U, 8192U, 1048576U);
    const auto shares = proxy::share_descriptors(limit);
    CAPTURE(limit);
    CHECK(shares.clients >= 1);
    CHECK(2 * shares.clients + shares.idle_upstreams + shares.reserve <= limit);
    CHECK(shares.reserve >= std::min<std::size_t>(limit / 2, 256));
    CHECK(shares.reserve >= limit / 8);
}

// Guards against idle client connections that keep out clients with requests.
TEST_CASE("at the limit the clients that have been idle longest make room for others",
          "[proxy][descriptors]") {
    constexpr std::size_t limit = 8;
    constexpr std::size_t arrivals = 30;
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", echo);
    world.callers_port().limit_connections(limit);
    for (std::size_t client = 0; client < arrivals; ++client) {
        const auto seen = world.call(tests::request("once", id_of(client)));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
        CHECK(world.callers_port().open_connections() <= limit);
        advance_clock(world, base::seconds(1));
    }
    REQUIRE(world.run_until([&] { return world.seen_by(0).ended; }));
    CHECK_FALSE(world.seen_by(0).reset);
    CHECK_FALSE(world.seen_by(arrivals - 1).ended);
    CHECK(world.callers_port().idle_closed() >= static_cast<std::int64_t>(arrivals - limit));
}

// Guards against making room by disconnecting a client whose request is in flight, and against
// exceeding the limit.
TEST_CASE(
    "if all clients at the limit have requests in flight, the next one waits until one has ended",
    "[proxy][descriptors]") {
    constexpr std::size_t limit = 6;
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", never_respond);
    world.add_engine("i-2", never_respond);
    auto& port = world.callers_port();
    port.limit_connections(limit);
    for (std::size_t client = 0; client < limit; ++client) {
        world.call_until(tests::request("safe", id_of(client)),
                         [&] { return world.open_requests() == client + 1; });
        advance_clock(world, base::milliseconds(300));
    }
    REQUIRE(world.run_until([&] { return port.paused(); }));
    CHECK(port.pauses() == 1);

    int turns = 0;
    world.call_until(tests::request("safe", id_of(limit)), [&turns] { return ++turns > 100; });
    CHECK(port.open_connections() == limit);
    CHECK(world.open_requests() == limit);
    CHECK(port.pauses() == 1);
    for (std::size_t client = 0; client < limit; ++client) {
        CHECK_FALSE(world.seen_by(client).ended);
    }

    world.leave(0);
    REQUIRE(world.run_until([&] { return world.open_requests() == limit && port.pauses() == 2; }));
    CHECK(port.open_connections() == limit);
}

// Guards against losing a request that has arrived but was not read yet when its connection is
// closed to make room.
TEST_CASE("a connection with unread bytes is not closed to make room", "[proxy][descriptors]") {
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", echo);
    auto& port = world.callers_port();
    for (std::size_t client = 0; client < 3; ++client) {
        world.call(tests::request("once", id_of(client)));
    }
    advance_clock(world, base::seconds(1));
    REQUIRE(port.idle_connections() == 3);
    world.send_at_once(0, tests::request("once", "r9"));
    port.limit_connections(1);
    CHECK(port.idle_closed() == 2);
    REQUIRE(world.run_until([&] { return world.seen_by(0).heads.size() == 2; }));
    CHECK(world.seen_by(0).heads[1].status == 200);
    REQUIRE(world.run_until([&] { return world.seen_by(1).ended && world.seen_by(2).ended; }));
    CHECK_FALSE(world.seen_by(1).reset);
}

// Guards against a busy loop of failing accepts in a process that has no descriptors left.
TEST_CASE("accepting pauses while the process has no descriptor left, and then resumes",
          "[proxy][descriptors]") {
    tests::proxy_world world;
    world.add_engine("i-1", echo);
    auto& port = world.callers_port();
    for (std::size_t client = 0; client < 4; ++client) {
        world.call(tests::request("once", id_of(client)));
    }
    world.leave(0);
    REQUIRE(world.run_until([&] { return port.open_connections() == 3; }));
    {
        auto exhausted = std::optional<descriptor_exhaustion>();
        // The client's end takes its descriptor first; the entry's end then finds none.
        world.call_until(tests::request("once", "r9"), [&] {
            if (!exhausted) {
                exhausted.emplace();
            }
            return port.pauses() > 0;
        });
    }
    CHECK(port.pauses() >= 1);
    CHECK(port.max_connections() < 4);
    advance_clock(world, base::seconds(1));
    REQUIRE(world.run_until([&] { return world.last_seen().heads.size() == 1; }));
    CHECK(world.last_seen().heads[0].status == 200);
}

// Guards against a port for operators that takes one connection at a time for good, since clients
// had used up the descriptors once.
TEST_CASE("a port of few connections keeps its limit when there is no descriptor left",
          "[proxy][descriptors]") {
    constexpr std::size_t limit = 128;
    tests::proxy_world world;
    world.add_engine("i-1", echo);
    auto& port = world.callers_port();
    port.limit_connections(limit);
    port.keep_connection_limit();
    {
        auto exhausted = std::optional<descriptor_exhaustion>();
        world.call_until(tests::request("once", "r1"), [&] {
            if (!exhausted) {
                exhausted.emplace();
            }
            return port.pauses() > 0;
        });
    }
    CHECK(port.pauses() >= 1);
    CHECK(port.max_connections() == limit);
    REQUIRE(world.run_until([&] { return world.last_seen().heads.size() == 1; }));
    CHECK(world.last_seen().heads[0].status == 200);
}

// Guards against unused upstream connections that take the descriptors the entry needs for its own.
TEST_CASE("idle connections to upstreams are limited", "[proxy][descriptors]") {
    constexpr std::size_t limit = 2;
    tests::proxy_world world;
    world.engine_connections().limit_idle(limit);
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
        auto& engine = world.add_engine(id, echo);
        world.call(tests::request("once", id));
        REQUIRE(engine.requests.size() == 1);
        CHECK(world.engine_connections().idle_count() <= limit);
        world.state.fleet.members.erase({id});
    }
    CHECK(world.engine_connections().idle_count() == limit);
}

// Guards against filling the log when accepting pauses a thousand times a second.
TEST_CASE("repeated pauses are logged with one pair of lines", "[proxy][descriptors]") {
    tests::proxy_world world;
    proxy::accept_log_state log_state;
    base::instant now = world.entry().now();
    std::int64_t pauses = 0;
    const auto ticks = [&](int count, std::int64_t pauses_each) {
        for (int tick = 0; tick < count; ++tick) {
            now += base::milliseconds(100);
            pauses += pauses_each;
            proxy::log_accept_pauses(log_state, {false, pauses, 7, 8}, now, world.entry().log);
        }
    };
    ticks(50, 100);
    ticks(30, 0);
    const auto lines = world.log_lines();
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].find("accepting_paused") != std::string::npos);
    CHECK(lines[1].find("accepting_resumed") != std::string::npos);
    CHECK(lines[1].find("\"pauses\":4900") != std::string::npos);
}
