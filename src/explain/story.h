#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace camphorrail::explain {

// One line of a process's log.
struct log_line {
    std::int64_t time_ms = 0;
    std::string process;
    std::string event;
    nlohmann::ordered_json fields;
};

// What log files of several processes hold, in the order of their times.
struct log_records {
    std::vector<log_line> lines;
    // Lines that are no event: cut off in the middle, or another program's.
    std::int64_t unreadable = 0;
};

// Reads JSON lines, whatever stands before the first brace of each, such as a collector's own time.
void read_log(std::istream& input, log_records& into);

// Sorts by time. Clocks of VMs differ by some milliseconds and may jump, so lines of different
// processes may stand in the wrong order; those of one process that were written in turn do not.
void sort_by_time(log_records& records);

// One step of a request, with what its process believed then.
struct story_step {
    log_line line;
    // The last lines before it that changed a belief which this step hangs on.
    std::vector<log_line> beliefs;
};

// The request's lines in order. Empty where no line names it.
std::vector<story_step> tell_story(const log_records& records, const std::string& request);

// The story as text: a step a line, its beliefs below it with their age at that moment.
std::string to_text(const std::vector<story_step>& story);

} // namespace camphorrail::explain
