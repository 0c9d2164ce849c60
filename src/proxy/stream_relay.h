#pragma once

#include "stream/event_splitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrail::proxy {

// One event stream as its client sees it, from one upstream or several in turn. Only complete
// events are forwarded: an upstream may break off in the middle of an event, and another then
// resumes after the last complete one.
struct stream_relay {
    stream::event_splitter splitter;
    // The id of the last event that was forwarded; empty before the first.
    std::string last_event_id;
};

// Adds received bytes and returns the complete events that are to be forwarded now.
std::string relay_events(stream_relay& state, const std::string& bytes);

// Prepares for another upstream to resume the stream: drops the partial event left by the previous
// one.
void resume_relay(stream_relay& state);

// Returns the value of an event's `id` field; empty if it has none.
std::string_view event_id(std::string_view event);

} // namespace camphorrail::proxy
