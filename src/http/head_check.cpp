#include "http/head_check.h"

#include "http/fields.h"

namespace camphorrail::http {

namespace {

constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(char letter) {
    const auto byte = static_cast<unsigned char>(letter);
    return (byte < first_printable && letter != '\t') || byte == delete_character;
}

struct framing_seen {
    int lengths = 0;
    int codings = 0;
};

bool is_digits(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool check_field(std::string_view line, framing_seen& seen) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos) {
        return false;
    }
    const std::string_view value = trim(line.substr(colon + 1));
    if (same_name(name, "Content-Length")) {
        ++seen.lengths;
        return is_digits(value);
    }
    if (same_name(name, "Transfer-Encoding")) {
        ++seen.codings;
        return same_name(value, "chunked");
    }
    return true;
}

} // namespace

std::size_t head_length(std::string_view bytes) {
    const auto end = bytes.find("\r\n\r\n");
    return end == std::string_view::npos ? end : end + 4;
}

bool is_unambiguous(std::string_view head) {
    framing_seen seen;
    bool first = true;
    while (head.size() > 2) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + 2);
        for (const char letter : line) {
            if (is_control(letter)) {
                return false;
            }
        }
        if (!first && !check_field(line, seen)) {
            return false;
        }
        first = false;
    }
    return seen.lengths + seen.codings <= 1;
}

} // namespace camphorrail::http
