#include "adapters/address_probe.h"
#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "own_address.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

using namespace camphorrail;
using adapters::address_state;

namespace {

address_state probe(adapters::event_loop& loop, const std::string& address) {
    std::optional<address_state> found;
    const adapters::address_probe one(loop.base(), address, base::milliseconds(2000),
                                      [&](address_state state) {
                                          found = state;
                                          loop.stop();
                                      });
    loop.run();
    return found.value();
}

} // namespace

TEST_CASE("a probe tells a process that has ended from one that listens", "[adapters]") {
    adapters::event_loop loop;
    auto server = std::make_unique<adapters::http_server>(loop.base(), adapters::http_limits{},
                                                          [](const adapters::exchange_ptr&) {});
    const std::string address = tests::own_address(18996);
    REQUIRE(server->listen(address));
    CHECK(probe(loop, address) == address_state::open);
    server.reset();
    CHECK(probe(loop, address) == address_state::refused);
    CHECK(probe(loop, "no address") == address_state::unknown);
}
