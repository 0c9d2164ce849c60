#include "proxy/stream_relay.h"

#include <charconv>

namespace camphorrail::proxy {

namespace {

std::optional<std::int64_t> to_number(std::string_view text) {
    std::int64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

// An upstream that resumes may repeat the event it was asked to go on after.
bool already_passed(const stream_relay& state, std::string_view id) {
    const auto last = to_number(state.last_event);
    const auto next = to_number(id);
    return last && next && *next <= *last;
}

} // namespace

std::string_view id_of(std::string_view event) {
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

std::string relay(stream_relay& state, const std::string& bytes) {
    std::string out;
    for (const auto& event : stream::split(state.splitter, bytes)) {
        const auto id = id_of(event);
        if (!id.empty() && already_passed(state, id)) {
            continue;
        }
        if (!id.empty()) {
            state.last_event = id;
        }
        out += event;
    }
    return out;
}

void resume_relay(stream_relay& state) {
    state.splitter = {};
}

} // namespace camphorrail::proxy
