#include "proxy/stream_relay.h"

#include <charconv>

namespace camphorrail::proxy {

namespace {

std::optional<std::int64_t> to_number(std::string_view text) {
    std::int64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool complete = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    return complete ? std::optional(number) : std::nullopt;
}

// An upstream that resumes may repeat the event it was asked to resume after.
bool already_relayed(const stream_relay& state, std::string_view id) {
    const auto last = to_number(state.last_event_id);
    const auto next = to_number(id);
    return last && next && *next <= *last;
}

} // namespace

std::string_view event_id(std::string_view event) {
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return line;
    }
    return {};
}

std::string relay_events(stream_relay& state, const std::string& bytes) {
    std::string out;
    for (const auto& event : stream::split(state.splitter, bytes)) {
        const auto id = event_id(event);
        if (!id.empty() && already_relayed(state, id)) {
            continue;
        }
        if (!id.empty()) {
            state.last_event_id = id;
        }
        out += event;
    }
    return out;
}

void resume_relay(stream_relay& state) {
    state.splitter = {};
}

} // namespace camphorrail::proxy
