#include "adapters/event_log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <poll.h>
#include <unistd.h>

namespace camphorrail::adapters {

namespace {

// A pipe that polls writable takes this much without blocking.
constexpr std::size_t safe_write_bytes = 4096;
// A longer line counts as several.
constexpr std::size_t max_line_bytes = 512;
constexpr unsigned char first_printable = 0x20;
constexpr double millis_a_second = 1000.0;
constexpr std::int64_t micros_a_tenth = 100;

void escape(std::string& out, std::string_view text) {
    static constexpr char digits[] = "0123456789abcdef";
    constexpr unsigned low_bits = 15;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            out += '\\';
            out += letter;
        } else if (byte < first_printable || byte > 0x7e) {
            // Bytes from outside need not be UTF-8; each is shown as the character of its number.
            out += "\\u00";
            out += digits[byte >> 4U];
            out += digits[byte & low_bits];
        } else {
            out += letter;
        }
    }
}

void append_number(std::string& out, std::int64_t value) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    out.append(digits.data(), end.ptr);
}

} // namespace

event_line::event_line(event_log* owner, std::string_view event, std::int64_t time_ms)
    : owner(owner) {
    if (owner == nullptr) {
        return;
    }
    constexpr std::size_t reserved_bytes = 256;
    this->line.reserve(reserved_bytes);
    this->line += "{\"time_ms\":";
    append_number(this->line, time_ms);
    this->text("process", owner->process);
    this->text("event", event);
}

event_line::~event_line() {
    if (this->owner != nullptr) {
        this->line += "}\n";
        this->owner->add(std::move(this->line));
    }
}

void event_line::name_of(std::string_view name) {
    this->line += ",\"";
    this->line += name;
    this->line += "\":";
}

event_line& event_line::text(std::string_view name, std::string_view value) {
    if (this->owner != nullptr) {
        this->name_of(name);
        this->line += '"';
        escape(this->line, value);
        this->line += '"';
    }
    return *this;
}

event_line& event_line::number(std::string_view name, std::int64_t value) {
    if (this->owner != nullptr) {
        this->name_of(name);
        append_number(this->line, value);
    }
    return *this;
}

event_line& event_line::flag(std::string_view name, bool value) {
    if (this->owner != nullptr) {
        this->name_of(name);
        this->line += value ? "true" : "false";
    }
    return *this;
}

event_line& event_line::thousandths(std::string_view name, double value) {
    // Beyond this the number would not fit.
    constexpr double largest = 1e12;
    return this->number(name, std::llround(std::clamp(value, -largest, largest) * 1000.0));
}

event_line& event_line::span(std::string_view name, base::micros value) {
    if (this->owner != nullptr) {
        this->name_of(name);
        const std::int64_t tenths = value.count() / micros_a_tenth;
        append_number(this->line, tenths / 10);
        this->line += '.';
        append_number(this->line, std::abs(tenths % 10));
    }
    return *this;
}

event_log::event_log(int descriptor, std::string process, event_log_limits limits,
                     std::function<std::int64_t()> wall_ms)
    : descriptor(descriptor), process(std::move(process)), limits(limits),
      wall_ms(std::move(wall_ms)), routine_left(limits.routine_lines_a_second),
      all_left(limits.lines_a_second) {}

event_line event_log::line(importance weight, std::string_view event) {
    const std::int64_t now_ms = this->wall_ms();
    return {this->admit(weight, now_ms) ? this : nullptr, event, now_ms};
}

bool event_log::admit(importance weight, std::int64_t now_ms) {
    // The time of day may jump; a jump gives at most one second's allowance.
    const auto passed = static_cast<double>(now_ms - this->refilled_ms) / millis_a_second;
    const double share = std::clamp(passed, 0.0, 1.0);
    this->refilled_ms = now_ms;
    this->routine_left = std::min(this->limits.routine_lines_a_second,
                                  this->routine_left + share * this->limits.routine_lines_a_second);
    this->all_left =
        std::min(this->limits.lines_a_second, this->all_left + share * this->limits.lines_a_second);
    const bool routine = weight == importance::routine;
    if (this->all_left < 1.0 || (routine && this->routine_left < 1.0)) {
        ++this->dropped;
        return false;
    }
    this->all_left -= 1.0;
    this->routine_left -= routine ? 1.0 : 0.0;
    return true;
}

void event_log::add(std::string&& line) {
    if (this->buffer.size() + line.size() > this->limits.buffered_bytes) {
        ++this->dropped;
        return;
    }
    // Clients choose the names in lines, which may be as long as a head.
    const std::size_t further_lines = line.size() / max_line_bytes;
    this->all_left -= static_cast<double>(further_lines);
    this->buffer += line;
    if (this->buffer.size() >= safe_write_bytes) {
        this->flush();
    }
}

void event_log::report_left_out() {
    if (this->dropped == this->reported) {
        return;
    }
    const std::int64_t count = this->dropped - this->reported;
    this->reported = this->dropped;
    event_line(this, "log_lines_left_out", this->wall_ms()).number("count", count);
}

void event_log::flush() {
    std::size_t at = 0;
    while (at < this->buffer.size()) {
        pollfd writable{this->descriptor, POLLOUT, 0};
        if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0) {
            break;
        }
        const std::size_t part = std::min(safe_write_bytes, this->buffer.size() - at);
        const auto written = write(this->descriptor, this->buffer.data() + at, part);
        if (written <= 0) {
            break;
        }
        at += static_cast<std::size_t>(written);
    }
    this->buffer.erase(0, at);
    if (this->buffer.empty()) {
        this->report_left_out();
    }
}

} // namespace camphorrail::adapters
