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

tests::engine_script keep_waiting(const tests::engine_request& /*got*/) {
    return {{step::kind::hang, {}}};
}

std::string id_of(std::size_t number) {
    return "r" + std::to_string(number);
}

// The configuration stays proven meanwhile.
void let_time_pass(tests::proxy_world& world, base::micros span) {
    world.move_clock(span);
    world.prove_config();
}

// Leaves this process no more descriptors than it has open, until it goes out of scope.
class no_descriptors_left {
public:
    no_descriptors_left() {
        getrlimit(RLIMIT_NOFILE, &this->before);
        const int lowest_free = dup(STDOUT_FILENO);
        close(lowest_free);
        rlimit lowered = this->before;
        lowered.rlim_cur = static_cast<rlim_t>(lowest_free);
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~no_descriptors_left() { setrlimit(RLIMIT_NOFILE, &this->before); }
    no_descriptors_left(const no_descriptors_left&) = delete;
    no_descriptors_left& operator=(const no_descriptors_left&) = delete;

private:
    rlimit before{};
};

} // namespace

// An entry's own connections find no descriptor, since callers and upstreams have them all.
TEST_CASE("callers and upstreams leave descriptors for the entry's own connections",
          "[proxy][descriptors]") {
    const std::size_t limit = GENERATE(16U, 64U, 256U, 1024U, 4096U, 4200U, 8192U, 1048576U);
    const auto shares = proxy::share_descriptors(limit);
    CAPTURE(limit);
    CHECK(shares.clients >= 1);
    CHECK(2 * shares.clients + shares.idle_upstreams + shares.reserve <= limit);
    CHECK(shares.reserve >= std::min<std::size_t>(limit / 2, 256));
    CHECK(shares.reserve >= limit / 8);
}

// Connections that callers keep without using them take the places of callers who come with work.
TEST_CASE("at the bound the callers that have been idle longest make room for others",
          "[proxy][descriptors]") {
    constexpr std::size_t most = 8;
    constexpr std::size_t came = 30;
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", echo);
    world.callers_port().limit_connections(most);
    for (std::size_t caller = 0; caller < came; ++caller) {
        const auto seen = world.call(tests::request("once", id_of(caller)));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
        CHECK(world.callers_port().open_connections() <= most);
        let_time_pass(world, base::seconds(1));
    }
    REQUIRE(world.run_until([&] { return world.seen_by(0).ended; }));
    CHECK_FALSE(world.seen_by(0).reset);
    CHECK_FALSE(world.seen_by(came - 1).ended);
    CHECK(world.callers_port().idle_closed() >= static_cast<std::int64_t>(came - most));
}

// To make room, the entry cuts off a caller whose request is under way, or takes more than it has
// room for.
TEST_CASE("where all callers at the bound are at work, the next one waits until one has ended",
          "[proxy][descriptors]") {
    constexpr std::size_t most = 6;
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", keep_waiting);
    world.add_engine("i-2", keep_waiting);
    auto& port = world.callers_port();
    port.limit_connections(most);
    for (std::size_t caller = 0; caller < most; ++caller) {
        world.call_until(tests::request("safe", id_of(caller)),
                         [&] { return world.open_requests() == caller + 1; });
        let_time_pass(world, base::milliseconds(300));
    }
    REQUIRE(world.run_until([&] { return port.paused(); }));
    CHECK(port.pauses() == 1);

    int turns = 0;
    world.call_until(tests::request("safe", id_of(most)), [&turns] { return ++turns > 100; });
    CHECK(port.open_connections() == most);
    CHECK(world.open_requests() == most);
    CHECK(port.pauses() == 1);
    for (std::size_t caller = 0; caller < most; ++caller) {
        CHECK_FALSE(world.seen_by(caller).ended);
    }

    world.leave(0);
    REQUIRE(world.run_until([&] { return world.open_requests() == most && port.pauses() == 2; }));
    CHECK(port.open_connections() == most);
}

// A request that has come, and was not read yet, gets no answer since its connection is closed to
// make room.
TEST_CASE("a connection with bytes unread is not closed to make room", "[proxy][descriptors]") {
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", echo);
    auto& port = world.callers_port();
    for (std::size_t caller = 0; caller < 3; ++caller) {
        world.call(tests::request("once", id_of(caller)));
    }
    let_time_pass(world, base::seconds(1));
    REQUIRE(port.idle_connections() == 3);
    world.send_at_once(0, tests::request("once", "r9"));
    port.limit_connections(1);
    CHECK(port.idle_closed() == 2);
    REQUIRE(world.run_until([&] { return world.seen_by(0).heads.size() == 2; }));
    CHECK(world.seen_by(0).heads[1].status == 200);
    REQUIRE(world.run_until([&] { return world.seen_by(1).ended && world.seen_by(2).ended; }));
    CHECK_FALSE(world.seen_by(1).reset);
}

// A process without descriptors tries to accept again and again, and does nothing else.
TEST_CASE("accepting pauses when the process has no descriptor left, and goes on after it",
          "[proxy][descriptors]") {
    tests::proxy_world world;
    world.add_engine("i-1", echo);
    auto& port = world.callers_port();
    for (std::size_t caller = 0; caller < 4; ++caller) {
        world.call(tests::request("once", id_of(caller)));
    }
    world.leave(0);
    REQUIRE(world.run_until([&] { return port.open_connections() == 3; }));
    {
        auto short_of = std::optional<no_descriptors_left>();
        // The caller's own connection takes its descriptor at once, the entry's is then short.
        world.call_until(tests::request("once", "r9"), [&] {
            if (!short_of) {
                short_of.emplace();
            }
            return port.pauses() > 0;
        });
    }
    CHECK(port.pauses() >= 1);
    CHECK(port.max_connections() < 4);
    let_time_pass(world, base::seconds(1));
    REQUIRE(world.run_until([&] { return world.last_seen().heads.size() == 1; }));
    CHECK(world.last_seen().heads[0].status == 200);
}

// Connections kept to upstreams that nobody uses take the descriptors of the entry's own.
TEST_CASE("idle connections to upstreams are kept up to a bound", "[proxy][descriptors]") {
    constexpr std::size_t most = 2;
    tests::proxy_world world;
    world.engine_connections().limit_idle(most);
    for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
        auto& engine = world.add_engine(id, echo);
        world.call(tests::request("once", id));
        REQUIRE(engine.requests.size() == 1);
        CHECK(world.engine_connections().idle_count() <= most);
        world.state.fleet.members.erase({id});
    }
    CHECK(world.engine_connections().idle_count() == most);
}

// An entry that pauses a thousand times a second fills its log with that.
TEST_CASE("a span of pauses is logged with one pair of lines", "[proxy][descriptors]") {
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
