#include "adapters/event_loop.h"
#include "adapters/link.h"
#include "own_address.h"
#include "proxy_world.h"
#include "raw_client.h"

#include <catch2/catch.hpp>
#include <event2/bufferevent.h>

#include <algorithm>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace camphorrail;

namespace {

const std::string address = tests::own_address(18991);
constexpr adapters::link_limits limits{1 << 16};
constexpr adapters::link_limits short_handshake{1 << 16, std::chrono::milliseconds(100)};

// What the other end of a link sends in place of the protocol, without end.
struct endless_bytes {
    const char* name;
    std::string begin;
    std::string repeated;
};

const std::string letters(1000, 'x');

} // namespace

TEST_CASE("links between processes", "[adapters]") {
    adapters::event_loop loop;
    std::vector<std::string> seen;
    adapters::link_ptr server_side;
    auto listener =
        adapters::listen_for_links(loop.base(), address, limits, [&](adapters::link_ptr made) {
            server_side = made;
            made->received.connect([&](std::string_view bytes) {
                seen.emplace_back(bytes);
                server_side->send("answer to " + std::string(bytes));
            });
        });
    REQUIRE(listener);
    auto client = adapters::connect_link(loop.base(), address, limits);

    SECTION("carry whole messages both ways, in order") {
        client->opened.connect([&] {
            client->send("one");
            client->send(std::string(40000, 'x'));
        });
        std::vector<std::string> answers;
        client->received.connect([&](std::string_view bytes) {
            answers.emplace_back(bytes);
            if (answers.size() == 2) {
                loop.stop();
            }
        });
        loop.run();
        REQUIRE(seen.size() == 2);
        CHECK(seen[1].size() == 40000);
        CHECK(answers[0] == "answer to one");
    }

    // A peer sends a message above the limit. The receiver must not take it into memory; it closes
    // the link, and the sender sees that.
    SECTION("are closed by a message that is too large") {
        client->opened.connect([&] { client->send(std::string(1 << 20, 'x')); });
        client->closed.connect([&] { loop.stop(); });
        loop.run();
        CHECK(seen.empty());
    }

    SECTION("say when the other end is not there") {
        auto nobody = adapters::connect_link(loop.base(), tests::own_address(18992), limits);
        bool closed = false;
        nobody->closed.connect([&] {
            closed = true;
            loop.stop();
        });
        loop.run();
        CHECK(closed);
    }
}

namespace {

std::vector<endless_bytes> endless_handshakes(const std::string& start_line) {
    return {{"letters", "", letters},
            {"empty lines", "", "\r\n"},
            {"one field", start_line + "A: ", letters},
            {"many fields", start_line, "A: b\r\n"},
            {"a body", start_line + "Content-Length: 30000000\r\n\r\n", letters},
            {"chunks", start_line + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nxxxxx\r\n"}};
}

} // namespace

// Guards against a link that is never given up, so that its entry is not connected to again, or
// that fills the memory, since its other end sends without end.
TEST_CASE("a link whose other end does not complete the handshake is closed",
          "[adapters][endless]") {
    using step = tests::engine_step;
    adapters::event_loop loop;
    const auto bytes = GENERATE(from_range(endless_handshakes("HTTP/1.1 200 OK\r\n")));
    const auto how = GENERATE(step::kind::repeat, step::kind::trickle);
    CAPTURE(bytes.name, how == step::kind::trickle);
    tests::scripted_engine server(loop.base(), [&](const tests::engine_request&) {
        return tests::engine_script{{step::kind::send, bytes.begin + bytes.repeated},
                                    {how, bytes.repeated}};
    });
    auto link = adapters::connect_link(loop.base(), server.address(), short_handshake);
    bool closed = false;
    link->closed.connect([&] { closed = true; });
    loop.after(base::seconds(10), [&] { loop.stop(); });
    loop.every(base::milliseconds(5), [&] {
        if (closed && server.repeating == 0) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(closed);
    CHECK(server.repeating == 0);
    // What the kernel holds on both sides comes on top.
    CHECK(server.repeated_bytes <= (12U << 20U));
}

TEST_CASE("a connection that does not become a link is closed", "[adapters][endless]") {
    adapters::event_loop loop;
    const auto bytes = GENERATE(from_range(endless_handshakes("GET / HTTP/1.1\r\n")));
    const bool byte_by_byte = GENERATE(false, true);
    CAPTURE(bytes.name, byte_by_byte);
    const std::string address = tests::own_address(18991);
    adapters::link_ptr accepted;
    bool closed = false;
    const auto listener = adapters::listen_for_links(
        loop.base(), address, short_handshake, [&](const adapters::link_ptr& made) {
            accepted = made;
            made->closed.connect([&] { closed = true; });
        });
    REQUIRE(listener);
    const int client = tests::connect_client(address);
    REQUIRE(client >= 0);
    REQUIRE(tests::send_some(client, bytes.begin) == bytes.begin.size());
    std::size_t sent = 0;
    std::size_t next = 0;
    loop.after(base::seconds(10), [&] { loop.stop(); });
    loop.every(base::milliseconds(1), [&] {
        const std::string piece = byte_by_byte
                                      ? bytes.repeated.substr(next++ % bytes.repeated.size(), 1)
                                      : bytes.repeated;
        sent += tests::send_some(client, piece).value_or(0);
        if (closed) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(closed);
    CHECK(sent <= (12U << 20U));
    close(client);
}

// Guards against messages of many links that never end and fill the memory together.
TEST_CASE("links whose messages do not end are closed when all of them hold too much",
          "[adapters][endless]") {
    adapters::event_loop loop;
    constexpr std::size_t most_incomplete = 110'000;
    adapters::link_limits bounded = limits;
    bounded.max_incomplete_bytes = most_incomplete;
    std::vector<adapters::link_ptr> accepted;
    int closed = 0;
    auto listener =
        adapters::listen_for_links(loop.base(), address, bounded, [&](adapters::link_ptr made) {
            made->closed.connect([&] { ++closed; });
            accepted.push_back(made);
        });
    REQUIRE(listener);
    // A handshake, and the head of a masked frame of 60,000 bytes.
    const std::string begin =
        tests::link_handshake + std::string("\x82\xfe\xea\x60\x00\x00\x00\x00", 8);
    std::vector<int> clients;
    for (int each = 0; each < 3; ++each) {
        clients.push_back(tests::connect_client(address));
        REQUIRE(tests::send_some(clients.back(), begin + std::string(50'000, 'x')));
    }
    loop.after(base::seconds(10), [&] { loop.stop(); });
    loop.every(base::milliseconds(5), [&] {
        if (closed > 0) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(accepted.size() == 3);
    CHECK(closed == 1);
    for (const int client : clients) {
        close(client);
    }
}

// Guards against replies that pile up for links whose other ends read none of them.
TEST_CASE("a link that is not read is closed when all of them hold too much",
          "[adapters][endless]") {
    constexpr std::size_t max_unread = 4U << 20U;
    constexpr int most_requests = 200;
    adapters::event_loop loop;
    adapters::link_limits bounded = limits;
    bounded.max_unread_bytes = max_unread;
    const std::string reply(1U << 20U, 'x');
    std::vector<adapters::link_ptr> accepted;
    std::vector<std::size_t> closed;
    std::size_t most_unread = 0;
    const auto listener =
        adapters::listen_for_links(loop.base(), address, bounded, [&](adapters::link_ptr made) {
            const std::size_t number = accepted.size();
            accepted.push_back(made);
            made->closed.connect([&closed, number] { closed.push_back(number); });
            made->received.connect([&, made = made.get()](std::string_view) { made->send(reply); });
        });
    REQUIRE(listener);
    // A masked frame of one byte.
    const std::string request("\x82\x81\x00\x00\x00\x00x", 7);
    // Only the second client reads.
    std::vector<int> clients{tests::connect_client(address), tests::connect_client(address)};
    for (const int client : clients) {
        REQUIRE(tests::send_some(client, tests::link_handshake));
    }
    std::vector<char> bytes(reply.size());
    int requests = 0;
    loop.after(base::seconds(20), [&] { loop.stop(); });
    loop.every(base::milliseconds(2), [&] {
        while (recv(clients[1], bytes.data(), bytes.size(), 0) > 0) {
        }
        tests::send_some(clients[0], request);
        most_unread = std::max(most_unread, listener->unread_bytes());
        if (++requests % 10 == 0) {
            tests::send_some(clients[1], request);
        }
        if (!closed.empty() || requests > most_requests) {
            loop.stop();
        }
    });
    loop.run();
    CHECK(closed == std::vector<std::size_t>{0});
    CHECK(most_unread <= max_unread + 2 * reply.size());
    for (const int client : clients) {
        close(client);
    }
}
