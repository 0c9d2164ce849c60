#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

// What an engine sends in answer to each request: a beginning, and then bytes without end.
struct endless_response {
    const char* name;
    std::string begin;
    std::string repeated;
};

std::string head(const std::string& fields) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n" + fields;
}

const std::string chunked = head("Transfer-Encoding: chunked\r\n\r\n");
const std::string letters(1000, 'x');

// Those that are no response in the protocol.
std::vector<endless_response> malformed_responses() {
    return {{"letters in place of a head", "", letters},
            {"empty lines in place of a head", "", "\r\n"},
            {"line feeds in place of a head", "", "\n"},
            {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"interim heads with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
            {"a status line", "HTTP/1.1 200 O", "K"},
            {"one field", head("A: "), letters},
            {"many fields", head(""), "A: b\r\n"},
            {"the size of a chunk", chunked, "0"},
            {"the extension of a chunk", chunked + "1;a=", letters},
            {"bytes after a chunk", chunked + "1\r\na", letters},
            {"empty lines after a chunk", chunked + "1\r\na\r\n", "\r\n"},
            {"a trailer", chunked + "0\r\nA: ", letters},
            {"many trailers", chunked + "0\r\n", "A: b\r\n"},
            {"a body without a length", head("\r\n"), letters},
            {"a body in chunks", chunked, "5\r\nxxxxx\r\n"}};
}

// What the kernel may hold of a connection on its two sides, and one read of an entry more.
constexpr std::size_t socket_buffers = 12U << 20U;
// The largest plain response that an entry reads.
constexpr std::size_t largest_response = 8U << 20U;

std::string request_with_deadline(const std::string& route, int deadline_ms) {
    std::string bytes = tests::request(route, "r1");
    const std::string usual = "Request-Deadline: 4000";
    return bytes.replace(bytes.find(usual), usual.size(),
                         "Request-Deadline: " + std::to_string(deadline_ms));
}

engine_script whole_response(const engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), tests::event(1))}};
}

} // namespace

// Guards against an upstream that fills an entry's memory, or occupies its loop, by a response
// without end.
TEST_CASE("a response without end is given up", "[proxy][endless]") {
    tests::proxy_world world;
    const auto response = GENERATE(from_range(malformed_responses()));
    CAPTURE(response.name);
    auto& engine = world.add_engine("i-1", [&](const engine_request&) {
        return engine_script{{step::kind::send, response.begin + response.repeated},
                             {step::kind::repeat, response.repeated}};
    });

    SECTION("and the request fails as one that may have run") {
        const auto seen = world.call(tests::request("once", "r1"));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 502);
        REQUIRE(world.run_until([&] { return engine.repeating == 0; }));
        CHECK(engine.repeated_bytes <= largest_response + socket_buffers);
    }
    SECTION("and a request that may be repeated goes to another upstream") {
        auto& other = world.add_engine("i-2", whole_response);
        world.state.fleet.members.at({"i-2"}).pause_until = {};
        bool served = true;
        for (int each = 0; each < 4; ++each) {
            const auto seen = world.call(tests::request("safe", "r1"));
            served = served && seen.heads.size() == 1 && seen.heads[0].status == 200;
        }
        CHECK(served);
        CHECK_FALSE(other.requests.empty());
    }
}

// Guards against a connection that is held for as long as an upstream sends a byte now and then.
TEST_CASE("a response that arrives a byte at a time ends with its request", "[proxy][endless]") {
    tests::proxy_world world;
    const auto response = GENERATE(from_range(malformed_responses()));
    CAPTURE(response.name);
    auto& engine = world.add_engine("i-1", [&](const engine_request&) {
        return engine_script{{step::kind::send, response.begin + response.repeated},
                             {step::kind::trickle, response.repeated}};
    });
    const auto seen = world.call(request_with_deadline("once", 150));
    REQUIRE(seen.heads.size() == 1);
    CHECK((seen.heads[0].status == 504 || seen.heads[0].status == 502));
    CHECK(world.run_until([&] { return engine.repeating == 0; }));
}

TEST_CASE("bytes without end behind a whole response belong to no request", "[proxy][endless]") {
    tests::proxy_world world;
    auto& engine = world.add_engine("i-1", [&](const engine_request& got) {
        return engine_script{{step::kind::send, tests::answer(got.field("Request-Id"), "done")},
                             {step::kind::repeat, letters}};
    });
    for (const char* id : {"r1", "r2"}) {
        const auto seen = world.call(tests::request("once", id));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
        CHECK(seen.bodies[0] == "done");
    }
    REQUIRE(world.run_until([&] { return engine.repeating == 0; }));
    CHECK(engine.repeated_bytes <= socket_buffers);
}

TEST_CASE("a late response without end is dropped until the request's time is over",
          "[proxy][endless]") {
    tests::proxy_world world;
    auto& engine = world.add_engine("i-1", [&](const engine_request&) {
        return engine_script{
            {step::kind::send, "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n" + letters},
            {step::kind::repeat, letters}};
    });
    const auto seen = world.call(request_with_deadline("once", 150));
    REQUIRE(seen.heads.size() == 1);
    CHECK((seen.heads[0].status == 504 || seen.heads[0].status == 502));
    CHECK(world.run_until([&] { return engine.repeating == 0; }));
}

// Guards against memory that an event without end takes at each request of an upstream.
TEST_CASE("an event without end breaks its stream", "[proxy][endless]") {
    tests::proxy_world world;
    const bool after_first = GENERATE(false, true);
    CAPTURE(after_first);
    auto& engine = world.add_engine("i-1", [&](const engine_request&) {
        const std::string begin = after_first ? tests::chunk(tests::event(1)) : "";
        return engine_script{
            {step::kind::send, tests::stream_head("r1") + begin + tests::chunk("data: ")},
            {step::kind::repeat, tests::chunk(letters)}};
    });

    SECTION("which is visibly incomplete for its client") {
        const auto seen = world.call(tests::request("stream", "r1"));
        CHECK(seen.ended == after_first);
        CHECK(seen.whole == !after_first);
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == (after_first ? 200 : 502));
        REQUIRE(world.run_until([&] { return engine.repeating == 0; }));
        CHECK(engine.repeated_bytes <= socket_buffers);
    }
    SECTION("and goes on at another upstream where it may be resumed") {
        world.add_engine("i-2", [](const engine_request& got) {
            return engine_script{{step::kind::send, tests::stream_head(got.field("Request-Id")) +
                                                        tests::chunk(tests::event(2)) +
                                                        "0\r\n\r\n"}};
        });
        for (int each = 0; each < 4; ++each) {
            const auto seen = world.call(tests::request("resume", "r1"));
            REQUIRE(seen.heads.size() == 1);
            CHECK(seen.heads[0].status == 200);
            CHECK(seen.whole);
        }
    }
}

TEST_CASE("what an event without end takes counts against the memory budget", "[proxy][endless]") {
    tests::proxy_world world;
    world.set_memory_budget(32);
    world.add_engine("i-1", [&](const engine_request&) {
        return engine_script{
            {step::kind::send, tests::stream_head("r1") + tests::chunk("data: " + letters)},
            {step::kind::hang, {}}};
    });
    world.call_until(tests::request("stream", "r1"),
                     [&] { return world.buffers().held().held.responses > 0; });
    CHECK(world.buffers().held().held.responses >= static_cast<std::int64_t>(letters.size()));
}
