#pragma once

#include "stream/event_splitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrail::proxy {

// One answer made of events, as its caller sees it, from one upstream or several in turn. Only
// whole events are passed on: an upstream may break off in the middle of one, and another then goes
// on after the last whole one.
struct stream_relay {
    stream::event_splitter splitter;
    // The id of the last event that was passed on; empty before the first.
    std::string last_event_id;
};

// The bytes to pass on now.
std::string relay_events(stream_relay& state, const std::string& bytes);

// Another upstream goes on; what the one before has left of an event is dropped.
void resume_relay(stream_relay& state);

// The value of an event's id line; empty where it has none.
std::string_view event_id(std::string_view event);

} // namespace camphorrail::proxy
