#include "adapters/event_loop.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "own_address.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const std::string address = tests::own_address(18993);
constexpr std::size_t enough = 1 << 20;

} // namespace

TEST_CASE("calls over HTTP", "[adapters]") {
    adapters::event_loop loop;
    int arrived = 0;
    adapters::exchange_ptr held;
    adapters::http_server server(loop.base(), {}, [&](adapters::exchange_ptr exchange) {
        ++arrived;
        held = exchange;
        if (exchange->path() == "/whole") {
            exchange->reply(200, {{"Content-Type", "text/plain"}}, "got " + exchange->body());
        } else if (exchange->path() == "/cut") {
            exchange->start(200, {});
            exchange->send("half an ans");
            loop.after(base::milliseconds(5), [&] { held->abort(); });
        }
    });
    REQUIRE(server.listen(address));
    base::result<adapters::http_answer> answer = base::code::timed_out;
    const auto fetch = [&](const std::string& path, const std::string& to) {
        adapters::http_fetch(loop.base(), to, {"POST", path, {}, "body"},
                             {base::milliseconds(2000), true}, enough,
                             [&](base::result<adapters::http_answer> got) {
                                 answer = std::move(got);
                                 loop.stop();
                             });
        loop.run();
    };

    SECTION("bring the whole answer") {
        fetch("/whole", address);
        CHECK(answer.value().body == "got body");
        CHECK(arrived == 1);
    }

    // The upstream dies in the middle of its answer. What came before must not pass for the whole
    // answer, and the call, which has run, must not be sent a second time.
    SECTION("that are cut in mid-answer fail as 'may have run' and are not sent again") {
        fetch("/cut", address);
        CHECK(base::to_code(answer.error()) == base::code::upstream_failed);
        CHECK(arrived == 1);
    }

    SECTION("that nobody listens for fail as 'never left'") {
        fetch("/whole", tests::own_address(18994));
        CHECK(base::to_code(answer.error()) == base::code::upstream_unreachable);
    }

    SECTION("that are cancelled close the connection, and the server sees its caller gone") {
        bool gone = false;
        const auto handle = adapters::http_call(loop.base(), address, {"POST", "/wait", {}, ""}, {},
                                                {base::milliseconds(2000), false});
        loop.after(base::milliseconds(20), [&] {
            held->gone.connect([&] {
                gone = true;
                loop.stop();
            });
            handle.cancel();
        });
        loop.run();
        CHECK(gone);
    }
}

namespace {

// What a server sends in answer to a call: a beginning, and then bytes without end.
struct endless_answer {
    const char* name;
    std::string begin;
    std::string repeated;
};

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string letters(1000, 'x');

std::vector<endless_answer> endless_answers() {
    return {{"letters in place of a head", "", letters},
            {"empty lines in place of a head", "", "\r\n"},
            {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"one field", "HTTP/1.1 200 OK\r\nA: ", letters},
            {"many fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
            {"the size of a chunk", chunked, "0"},
            {"the extension of a chunk", chunked + "1;a=", letters},
            {"empty lines after a chunk", chunked + "1\r\na\r\n", "\r\n"},
            {"many trailers", chunked + "0\r\n", "A: b\r\n"},
            {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", letters},
            {"a body in chunks", chunked, "5\r\nxxxxx\r\n"}};
}

} // namespace

// Guards against a store, or an engine that is asked for its state, that fills this process's
// memory or keeps a call open for good by an answer without end.
TEST_CASE("a call whose answer does not end fails", "[adapters][endless]") {
    using step = tests::engine_step;
    adapters::event_loop loop;
    const auto answer = GENERATE(from_range(endless_answers()));
    const auto how = GENERATE(step::kind::repeat, step::kind::trickle);
    CAPTURE(answer.name, how == step::kind::trickle);
    tests::scripted_engine server(loop.base(), [&](const tests::engine_request&) {
        return tests::engine_script{{step::kind::send, answer.begin + answer.repeated},
                                    {how, answer.repeated}};
    });
    std::optional<base::result<adapters::http_answer>> got;
    adapters::http_fetch(loop.base(), server.address(), {"GET", "/", {}, ""},
                         {base::milliseconds(100), false}, enough,
                         [&](auto answered) { got = std::move(answered); });
    // Far longer than the call may take, and far shorter than its server would go on.
    loop.after(base::seconds(20), [&] { loop.stop(); });
    loop.every(base::milliseconds(5), [&] {
        if (got && server.repeating == 0) {
            loop.stop();
        }
    });
    loop.run();
    REQUIRE(got.has_value());
    CHECK_FALSE(got->has_value());
    CHECK(server.repeating == 0);
    // What the kernel holds on both sides comes on top.
    constexpr std::size_t socket_buffers = 12U << 20U;
    CHECK(server.repeated_bytes <= 2 * enough + socket_buffers);
}

// Guards against taking an upstream's bytes that are no answer for one, of whatever status.
TEST_CASE("a call whose answer has a status that is none fails", "[adapters]") {
    using step = tests::engine_step;
    adapters::event_loop loop;
    const std::string status = GENERATE("000", "099", "20", "600", "999", "2000", "-20", "2x0");
    CAPTURE(status);
    tests::scripted_engine server(loop.base(), [&](const tests::engine_request&) {
        return tests::engine_script{
            {step::kind::send, "HTTP/1.1 " + status + " S\r\nContent-Length: 2\r\n\r\n{}"}};
    });
    std::optional<base::result<adapters::http_answer>> got;
    adapters::http_fetch(loop.base(), server.address(), {"GET", "/", {}, ""},
                         {base::milliseconds(2000), false}, enough, [&](auto answered) {
                             got = std::move(answered);
                             loop.stop();
                         });
    loop.run();
    REQUIRE(got.has_value());
    CHECK_FALSE(got->has_value());
}

TEST_CASE("a large answer may take as long as a slow link needs", "[adapters]") {
    constexpr base::milliseconds timeout{800};
    CHECK(adapters::allowed_time(timeout, 0) == timeout);
    // A configuration of 1,400 routes over a link of 10 Mbit/s that other traffic fills by half.
    constexpr std::size_t configuration = 360'000;
    constexpr std::int64_t bytes_per_ms = 625;
    CHECK(adapters::allowed_time(timeout, configuration) >
          base::milliseconds(static_cast<std::int64_t>(configuration) / bytes_per_ms));
}
