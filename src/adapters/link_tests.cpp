#include "adapters/event_loop.h"
#include "adapters/link.h"
#include "own_address.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorrail;

namespace {

const std::string address = tests::own_address(18991);
constexpr adapters::link_limits limits{1 << 16};

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
