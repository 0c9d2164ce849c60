#pragma once

#include <string>
#include <vector>

namespace camphorrail::stream {

// Cuts a server-sent event stream into whole events, whatever pieces it arrives in.
struct event_splitter {
    std::string rest;
    // Bytes of `rest` that were searched for the end of an event, so that a large event is not
    // searched again with each piece of it.
    std::size_t searched = 0;
    // The stream's own end mark has been seen.
    bool done = false;
    // An event was larger than allowed.
    bool oversize = false;
};

inline constexpr std::size_t max_event_bytes = 1U << 20U;

// The events completed by these bytes, each with its closing blank line.
std::vector<std::string> split(event_splitter& state, const std::string& bytes);

// Whether the bytes so far end within an event, so that a stream that ends here has been cut.
bool ends_within_event(const event_splitter& state);

// The payload of an event's data lines.
std::string data_of(const std::string& event);

} // namespace camphorrail::stream
