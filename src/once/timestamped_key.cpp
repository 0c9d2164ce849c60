#include "once/timestamped_key.h"

#include <string>

namespace camphorrail::once {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;

int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

bool is_dash_position(std::size_t position) {
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_uuid(const std::string& text) {
    for (std::size_t position = 0; position < text.size(); ++position) {
        const bool fits =
            is_dash_position(position) ? text[position] == '-' : hex_digit(text[position]) >= 0;
        if (!fits) {
            return false;
        }
    }
    return text.size() == uuid_length;
}

} // namespace

std::optional<std::int64_t> creation_time_ms(const base::idempotency_key& key) {
    // The key starts with the team's name and a slash; the client's own part follows.
    const std::string text = key.value.substr(key.value.rfind('/') + 1);
    if (!is_uuid(text) || text[version_position] != '7') {
        return std::nullopt;
    }
    std::int64_t time = 0;
    for (std::size_t position = 0; position < 13; ++position) {
        if (!is_dash_position(position)) {
            time = time * 16 + hex_digit(text[position]);
        }
    }
    return time;
}

} // namespace camphorrail::once
