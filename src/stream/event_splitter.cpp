#include "stream/event_splitter.h"

#include <string_view>

namespace camphorrail::stream {

namespace {

constexpr std::string_view end_mark = "[DONE]";
constexpr std::string_view data_field = "data:";

struct boundary {
    std::size_t at = std::string::npos;
    std::size_t length = 0;
};

// A blank line ends an event; lines may end in LF or CRLF.
boundary find_boundary(const std::string& text, std::size_t from) {
    const auto plain = text.find("\n\n", from);
    const auto carriage = text.find("\n\r\n", from);
    if (plain == std::string::npos && carriage == std::string::npos) {
        return {};
    }
    return plain < carriage ? boundary{plain, 2} : boundary{carriage, 3};
}

} // namespace

std::vector<std::string> split(event_splitter& state, const std::string& bytes) {
    std::vector<std::string> events;
    state.rest += bytes;
    for (auto found = find_boundary(state.rest, state.searched); found.at != std::string::npos;
         found = find_boundary(state.rest, 0)) {
        std::string event = state.rest.substr(0, found.at + found.length);
        state.rest.erase(0, found.at + found.length);
        state.done = state.done || data_of(event) == end_mark;
        events.push_back(std::move(event));
    }
    // A boundary may have begun in the last two bytes.
    state.searched = state.rest.size() < 2 ? 0 : state.rest.size() - 2;
    state.oversize = state.oversize || state.rest.size() > max_event_bytes;
    return events;
}

bool ends_within_event(const event_splitter& state) {
    // Further blank lines after an event belong to none.
    return state.rest.find_first_not_of("\r\n") != std::string::npos;
}

std::string data_of(const std::string& event) {
    std::string data;
    std::string_view rest = event;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.substr(0, data_field.size()) != data_field) {
            continue;
        }
        line.remove_prefix(data_field.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        data += data.empty() ? "" : "\n";
        data += line;
    }
    return data;
}

} // namespace camphorrail::stream
