#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace camphorrail::adapters {

// How much a line matters when there are more than the bound lets through.
enum class importance {
    // A step of a request that may well end well. Left out first.
    routine,
    // A failure, or a change of what the process believes.
    keep,
};

// Bounds on what a process writes. A busy entry writes about three lines a request; the bounds let
// some 300 requests a second through whole. A line counts as one for each 512 bytes begun, so that
// a flood is held to 750 KB a second.
struct event_log_limits {
    double routine_lines_a_second = 900;
    double lines_a_second = 1500;
    // Lines that wait for the reader; beyond that they are counted and left out.
    std::size_t buffered_bytes = 256U << 10U;
};

class event_log;

// One line under construction; it is written when it goes out of scope.
class event_line {
public:
    event_line(event_log* owner, std::string_view event, std::int64_t time_ms);
    ~event_line();
    event_line(const event_line&) = delete;
    event_line& operator=(const event_line&) = delete;

    event_line& text(std::string_view name, std::string_view value);
    event_line& number(std::string_view name, std::int64_t value);
    event_line& flag(std::string_view name, bool value);
    // A fraction, written as a whole number of thousandths.
    event_line& thousandths(std::string_view name, double value);
    // A span, written in milliseconds with one decimal.
    event_line& span(std::string_view name, base::micros value);

private:
    void name_of(std::string_view name);

    event_log* owner;
    std::string line;
};

// Writes JSON lines to a descriptor without ever waiting for its reader: whoever reads the log may
// be slow or gone, and requests must not wait for it.
class event_log {
public:
    event_log(int descriptor, std::string process, event_log_limits limits,
              std::function<std::int64_t()> wall_ms);

    // A line, or one that goes nowhere where the bound is reached.
    event_line line(importance weight, std::string_view event);
    // Hands what has gathered to the reader, as far as it takes it.
    void flush();
    [[nodiscard]] std::int64_t left_out() const { return this->dropped; }

private:
    friend class event_line;
    void add(std::string&& line);
    bool admit(importance weight, std::int64_t now_ms);
    void report_left_out();

    int descriptor;
    std::string process;
    event_log_limits limits;
    std::function<std::int64_t()> wall_ms;
    std::string buffer;
    double routine_left;
    double all_left;
    std::int64_t refilled_ms = 0;
    std::int64_t dropped = 0;
    std::int64_t reported = 0;
};

} // namespace camphorrail::adapters
