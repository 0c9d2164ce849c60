#include "proxy_world.h"
#include "raw_client.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// What a client sends: a beginning, and then bytes without end. `status` is that of its refusal.
struct endless_request {
    const char* name;
    std::string begin;
    std::string repeated;
    int status = 0;
};

const std::string head = "POST /once/x HTTP/1.1\r\nHost: desk.example\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string letters(1000, 'x');

std::vector<endless_request> endless_requests() {
    return {{"letters in place of a head", "", letters, 431},
            {"empty lines in place of a head", "", "\r\n", 400},
            {"line feeds in place of a head", "", "\n", 431},
            {"one field", head + "A: ", letters, 431},
            {"many fields", head, "A: b\r\n", 431},
            {"the size of a chunk", chunked, "0", 400},
            {"the extension of a chunk", chunked + "1;a=", letters, 400},
            {"bytes after a chunk", chunked + "1\r\na", letters, 400},
            {"a trailer", chunked + "0\r\nA: ", letters, 400},
            {"many trailers", chunked + "0\r\n", "A: b\r\n", 400},
            {"a body in chunks", chunked, "5\r\nxxxxx\r\n", 413}};
}

// A client that goes on sending until its connection ends.
struct endless_client {
    tests::proxy_world world;
    std::size_t sent = 0;

    void send(const std::string& begin, const std::string& repeated) {
        this->world.connect_at_once(begin);
        this->world.run_until([&] {
            this->sent += this->world.send_at_once(0, repeated);
            return this->world.seen_by(0).ended &&
                   this->world.callers_port().open_connections() == 0;
        });
    }
};

} // namespace

// Guards against a client that fills an entry's memory, or holds a connection for good, by bytes
// without end.
TEST_CASE("a request without end is refused and its connection closed", "[proxy][endless]") {
    const auto request = GENERATE(from_range(endless_requests()));
    CAPTURE(request.name);
    endless_client client;
    client.send(request.begin, tests::repeat(request.repeated, 64U << 10U));
    const auto& seen = client.world.seen_by(0);
    CHECK(client.world.callers_port().open_connections() == 0);
    REQUIRE(seen.heads.size() == 1);
    CHECK(seen.heads[0].status == request.status);
    // What the kernel holds on both sides comes on top of what is read and dropped.
    constexpr std::size_t socket_buffers = 12U << 20U;
    constexpr std::size_t most_read = 16U << 20U;
    CHECK(client.sent <= most_read + socket_buffers);
}

TEST_CASE("a request that arrives a byte at a time is refused when its time is over",
          "[proxy][endless]") {
    const auto request = GENERATE(from_range(endless_requests()));
    CAPTURE(request.name);
    endless_client client;
    client.world.caller_limits.head_timeout = base::milliseconds(100);
    client.world.caller_limits.receive_timeout = base::milliseconds(150);
    std::size_t next = 0;
    client.world.connect_at_once(request.begin);
    client.world.run_until([&] {
        client.world.send_at_once(0, request.repeated.substr(next++ % request.repeated.size(), 1));
        return client.world.seen_by(0).ended && client.world.callers_port().open_connections() == 0;
    });
    CHECK(client.world.callers_port().open_connections() == 0);
    REQUIRE(client.world.seen_by(0).heads.size() == 1);
    const int status = client.world.seen_by(0).heads[0].status;
    CHECK((status == 408 || status == request.status));
}

TEST_CASE("a client that goes on sending after its refusal is cut off", "[proxy][endless]") {
    endless_client client;
    client.world.connect_at_once(tests::repeat(letters, 64U << 10U));
    client.world.let_callers_read(false);
    REQUIRE(client.world.run_until(
        [&] { return client.world.callers_port().open_connections() == 1; }));
    client.world.run_until([&] {
        client.sent += client.world.send_at_once(0, tests::repeat(letters, 64U << 10U));
        return client.world.callers_port().open_connections() == 0;
    });
    CHECK(client.world.callers_port().open_connections() == 0);
}

TEST_CASE("bytes without end behind a request are refused after its response", "[proxy][endless]") {
    endless_client client;
    client.world.add_engine("i-1", [](const tests::engine_request& got) {
        return tests::engine_script{
            {tests::engine_step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
    });
    client.send(tests::request("once", "r1"), tests::repeat(letters, 64U << 10U));
    const auto& seen = client.world.seen_by(0);
    CHECK(client.world.callers_port().open_connections() == 0);
    REQUIRE(seen.heads.size() == 2);
    CHECK(seen.heads[0].status == 200);
    CHECK(seen.bodies[0] == "done");
    CHECK(seen.heads[1].status == 431);
}

// Guards against refusing a request since the empty line in front of it arrives in two pieces.
TEST_CASE("a few empty lines in front of a request are skipped", "[proxy][endless]") {
    tests::proxy_world world;
    world.add_engine("i-1", [](const tests::engine_request& got) {
        return tests::engine_script{
            {tests::engine_step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
    });
    const auto status_after = [&](const std::vector<std::string>& pieces) {
        const std::size_t caller = world.call_count();
        world.connect_at_once(pieces.front());
        std::size_t next = 1;
        bool is_read = false;
        world.run_until([&] {
            // Each piece is read before the next one is sent.
            if (!std::exchange(is_read, true)) {
                return false;
            }
            if (next < pieces.size()) {
                is_read = false;
                world.send_at_once(caller, pieces[next++]);
                return false;
            }
            return !world.seen_by(caller).heads.empty() && world.seen_by(caller).whole;
        });
        return world.seen_by(caller).heads.at(0).status;
    };
    const std::string request = tests::request("once", "r1");
    CHECK(status_after({"\r\n" + request}) == 200);
    CHECK(status_after({"\r\n\r\n\r\n\r\n" + request}) == 200);
    CHECK(status_after({"\r", "\n" + request}) == 200);
    CHECK(status_after({"\r\n\r", "\n", request}) == 200);
    CHECK(status_after({"\r" + request}) == 400);
    CHECK(status_after({"\r", request}) == 400);
}
