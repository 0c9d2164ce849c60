#include "adapters/event_loop.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "own_address.h"

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
