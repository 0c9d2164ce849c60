#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "own_address.h"
#include "raw_client.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <unistd.h>
#include <vector>

using namespace camphorrail;

namespace {

struct endless_request {
    const char* name;
    std::string begin;
    std::string repeated;
};

const std::string letters(1000, 'x');
const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<endless_request> endless_requests() {
    return {{"letters in place of a head", "", letters},
            {"empty lines in place of a head", "", "\r\n"},
            {"one field", "GET / HTTP/1.1\r\nA: ", letters},
            {"many fields", "GET / HTTP/1.1\r\n", "A: b\r\n"},
            {"the size of a chunk", chunked, "0"},
            {"the extension of a chunk", chunked + "1;a=", letters},
            {"many trailers", chunked + "0\r\n", "A: b\r\n"},
            {"a body in chunks", chunked, "5\r\nxxxxx\r\n"}};
}

using handler = std::function<void(const adapters::exchange_ptr&)>;

void answer_at_once(const adapters::exchange_ptr& exchange) {
    exchange->reply(200, {}, "");
}

constexpr std::size_t block_bytes = 64U << 10U;
const auto largest_request = static_cast<std::size_t>(2 * adapters::http_limits{}.max_body_bytes);
// What the kernel holds on both sides of a connection.
constexpr std::size_t socket_buffers = 12U << 20U;

// Serves until the connection of a client that sends such pieces ends; returns what it has sent,
// or nothing if the connection did not end.
template <class Next>
std::optional<std::size_t> send_until_closed(const adapters::http_limits& limits,
                                             const std::string& begin, const Next& next_piece,
                                             const handler& handle = answer_at_once) {
    adapters::event_loop loop;
    adapters::http_server server(loop.base(), limits, handle);
    const std::string address = tests::own_address(18995);
    REQUIRE(server.listen(address));
    const int client = tests::connect_client(address);
    REQUIRE(client >= 0);
    REQUIRE(tests::send_some(client, begin) == begin.size());
    std::size_t sent = 0;
    bool closed = false;
    loop.after(base::seconds(20), [&] { loop.stop(); });
    loop.every(base::milliseconds(1), [&] {
        const auto count = tests::send_some(client, next_piece());
        sent += count.value_or(0);
        closed = !count;
        if (closed) {
            loop.stop();
        }
    });
    loop.run();
    close(client);
    return closed ? std::optional(sent) : std::nullopt;
}

} // namespace

// Guards against a client that fills the memory through the balancer's or the operators' port.
TEST_CASE("a request without end is given up by the server", "[adapters][endless]") {
    const auto request = GENERATE(from_range(endless_requests()));
    CAPTURE(request.name);
    std::string block = tests::repeat(request.repeated, block_bytes);
    const auto sent = send_until_closed({}, request.begin, [&] { return block; });
    REQUIRE(sent);
    CHECK(*sent <= largest_request + socket_buffers);
}

// Guards against a client that ends the process, or fills its memory, by bytes that arrive before
// its request is answered.
TEST_CASE("bytes without end behind a request wait for its answer, and are then given up",
          "[adapters][endless]") {
    bool gone = false;
    adapters::exchange_ptr held;
    std::string block = tests::repeat(letters, block_bytes);
    std::size_t pieces = 0;
    bool was_open = false;
    const auto sent = send_until_closed(
        {}, "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        [&] {
            constexpr std::size_t answered_after = 500;
            if (++pieces == answered_after) {
                was_open = held->open() && !gone;
                held->reply(200, {}, "");
            }
            return block;
        },
        [&](const adapters::exchange_ptr& exchange) {
            held = exchange;
            exchange->gone.connect([&] { gone = true; });
        });
    REQUIRE(sent);
    CHECK(*sent <= largest_request + socket_buffers);
    CHECK(was_open);
    CHECK_FALSE(held->open());
}

// Guards against connections that are held for good by a byte now and then.
TEST_CASE("a request that arrives a byte at a time is given up by the server",
          "[adapters][endless]") {
    const auto request = GENERATE(from_range(endless_requests()));
    CAPTURE(request.name);
    adapters::http_limits limits;
    limits.receive_timeout = base::milliseconds(100);
    std::size_t next = 0;
    const auto sent = send_until_closed(limits, request.begin, [&] {
        return request.repeated.substr(next++ % request.repeated.size(), 1);
    });
    CHECK(sent);
}

// Guards against a next request that ends the process since it arrives early, and against counting
// a long answer as time that it takes to arrive.
TEST_CASE("a client may send its next request before a long answer ends", "[adapters][endless]") {
    adapters::event_loop loop;
    adapters::http_limits limits;
    limits.receive_timeout = base::milliseconds(100);
    int answered = 0;
    adapters::http_server server(loop.base(), limits, [&](const adapters::exchange_ptr& exchange) {
        loop.after(base::milliseconds(answered == 0 ? 300 : 0), [&, exchange] {
            exchange->reply(200, {}, "");
            ++answered;
        });
    });
    const std::string address = tests::own_address(18996);
    REQUIRE(server.listen(address));
    const int client = tests::connect_client(address);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(tests::send_some(client, request) == request.size());
    loop.after(base::milliseconds(50), [&] { tests::send_some(client, request.substr(0, 8)); });
    loop.after(base::milliseconds(200), [&] { tests::send_some(client, request.substr(8)); });
    loop.after(base::seconds(10), [&] { loop.stop(); });
    loop.every(base::milliseconds(5), [&] {
        if (answered == 2) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(answered == 2);
    close(client);
}

// Guards against callers that fill the memory together while each keeps to its limits.
TEST_CASE("requests that are received in part yield when all of them hold too much",
          "[adapters][memory]") {
    adapters::event_loop loop;
    adapters::http_limits limits;
    limits.memory = buffers::budget_of_bytes(1 << 20);
    std::int64_t yields = 0;
    std::string got;
    adapters::http_server server(loop.base(), limits, [&](const adapters::exchange_ptr& exchange) {
        got = exchange->body();
        exchange->reply(200, {}, "");
        loop.stop();
    });
    server.on_yield = [&](std::int64_t) { ++yields; };
    const std::string address = tests::own_address(18997);
    REQUIRE(server.listen(address));
    std::vector<int> clients;
    for (int each = 0; each < 16; ++each) {
        clients.push_back(tests::connect_client(address));
        REQUIRE(tests::send_some(clients.back(), chunked + "100000\r\n"));
    }
    std::int64_t most = 0;
    int turns = 0;
    loop.every(base::milliseconds(1), [&] {
        for (const int client : clients) {
            tests::send_some(client, letters);
        }
        most = std::max(most, server.held_bytes());
        if (++turns == 400) {
            clients.push_back(tests::connect_client(address));
            tests::send_some(clients.back(),
                             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
        }
    });
    loop.after(base::seconds(20), [&] { loop.stop(); });
    loop.run();
    CHECK(got == "hello");
    CHECK(yields > 0);
    CHECK(most <= (1 << 20) + (256 << 10));
    for (const int client : clients) {
        close(client);
    }
}

// Guards against requests that are received one after the other, run for long, and fill the memory
// together.
TEST_CASE("requests under way leave no room for another large one", "[adapters][memory]") {
    adapters::event_loop loop;
    adapters::http_limits limits;
    limits.memory = buffers::budget_of_bytes(1 << 20);
    constexpr std::size_t large = 300 << 10;
    std::vector<adapters::exchange_ptr> running;
    std::vector<bool> found_room;
    adapters::http_server server(loop.base(), limits, [&](const adapters::exchange_ptr& exchange) {
        found_room.push_back(exchange->may_hold(large));
        if (found_room.back()) {
            exchange->set_held(large);
        }
        running.push_back(exchange);
        if (running.size() == 5) {
            loop.stop();
        }
    });
    const std::string address = tests::own_address(18998);
    REQUIRE(server.listen(address));
    std::vector<int> clients;
    for (int each = 0; each < 5; ++each) {
        clients.push_back(tests::connect_client(address));
        REQUIRE(tests::send_some(clients.back(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    }
    loop.after(base::seconds(10), [&] { loop.stop(); });
    loop.run();
    CHECK(found_room == std::vector<bool>{true, true, true, false, false});
    for (const auto& exchange : running) {
        exchange->reply(200, {}, "");
    }
    for (const int client : clients) {
        close(client);
    }
}
