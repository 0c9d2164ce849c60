#include "proxy/stream_relay.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

std::string event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

} // namespace

TEST_CASE("a stream is forwarded event by event", "[proxy]") {
    proxy::stream_relay state;
    CHECK(proxy::relay_events(state, "id: 1\nda").empty());
    CHECK(proxy::relay_events(state, "ta: a\n\nid: 2\n") == event(1, "a"));
    CHECK(state.last_event_id == "1");
    CHECK(proxy::relay_events(state, "data: b\n\n") == event(2, "b"));
}

// An engine crashes in the middle of an event. The client must receive neither the partial event
// nor any event twice, and the resumed stream must follow without a gap.
TEST_CASE("a stream resumed at another engine has no gap and no repeated event", "[proxy]") {
    proxy::stream_relay state;
    std::string seen = proxy::relay_events(state, event(1, "a") + event(2, "b") + "id: 3\ndata: c");
    CHECK(state.last_event_id == "2");
    proxy::resume_relay(state);
    seen += proxy::relay_events(state, event(2, "b") + event(3, "c") + event(4, "d"));
    CHECK(seen == event(1, "a") + event(2, "b") + event(3, "c") + event(4, "d"));
}

TEST_CASE("an event's id is read from its lines", "[proxy]") {
    CHECK(proxy::event_id("weight-versions: 3\nid: 17\r\ndata: id: 9\n\n") == "17");
    CHECK(proxy::event_id("data: x\n\n").empty());
}
