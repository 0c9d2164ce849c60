#include "proxy/peer_messages.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

TEST_CASE("entries' messages survive the way between them", "[proxy]") {
    const proxy::peer_store_view view{
        7, true, base::micros(1500), 42, {{"config", std::string("\xff\0x", 3), 9}}};
    const auto read = proxy::decode(proxy::encode(view));
    REQUIRE(read.has_value());
    const auto& got = std::get<proxy::peer_store_view>(read.value());
    CHECK(got.number == 7);
    CHECK(got.proved);
    CHECK(got.age == base::micros(1500));
    REQUIRE(got.items.size() == 1);
    CHECK(got.items[0].value == view.items[0].value);

    const auto load =
        proxy::decode(proxy::encode(proxy::peer_load{{{{"e1"}, 2, 900, base::milliseconds(40)}}}));
    CHECK(std::get<proxy::peer_load>(load.value()).items.at(0).unread_tokens == 900);
    const auto suspicion = proxy::decode(
        proxy::encode(proxy::peer_suspicion{{"e1"}, base::milliseconds(250), "silent"}));
    CHECK(std::get<proxy::peer_suspicion>(suspicion.value()).why == "silent");
}

TEST_CASE("bytes that are no message are refused", "[proxy]") {
    const std::vector<std::string> broken{"", "\x81", "hello", "\x81\x64nope",
                                          std::string("\x82\x63") + "ask\x01"};
    for (const auto& bytes : broken) {
        CHECK(proxy::decode(bytes).error() == base::code::frame_malformed);
    }
}
