#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "adapters/sockets.h"
#include "own_address.h"

#include <catch2/catch.hpp>
#include <event2/util.h>

#include <algorithm>
#include <string>
#include <sys/socket.h>
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

} // namespace

// Guards against a client that fills the memory through the balancer's or the operators' port.
TEST_CASE("a request without end is given up by the server", "[adapters][endless]") {
    const auto request = GENERATE(from_range(endless_requests()));
    CAPTURE(request.name);
    adapters::event_loop loop;
    adapters::http_server server(loop.base(), {}, [](const adapters::exchange_ptr& exchange) {
        exchange->reply(200, {}, "");
    });
    const std::string address = tests::own_address(18995);
    REQUIRE(server.listen(address));
    const auto to = *adapters::parse_address(address);
    const int client = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(client, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    evutil_make_socket_nonblocking(client);
    send(client, request.begin.data(), request.begin.size(), MSG_NOSIGNAL);
    std::string block;
    while (block.size() < (64U << 10U)) {
        block += request.repeated;
    }
    std::size_t sent = 0;
    bool closed = false;
    loop.after(base::seconds(20), [&] { loop.stop(); });
    loop.every(base::milliseconds(1), [&] {
        const auto count = send(client, block.data(), block.size(), MSG_NOSIGNAL);
        sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        closed = count < 0 && errno != EAGAIN;
        if (closed) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(closed);
    // What the kernel holds on both sides comes on top.
    const auto largest = static_cast<std::size_t>(2 * adapters::http_limits{}.max_body_bytes);
    CHECK(sent <= largest + (12U << 20U));
    close(client);
}
