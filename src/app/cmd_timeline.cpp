#include "app/blocking.h"
#include "app/commands.h"
#include "app/usage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace camphorrail::app {

namespace {

using nlohmann::json;

constexpr const char* usage = R"(Gathers the events of all processes into one time line.

Usage:
  camphorrail timeline [--text] [--out=FILE] ADDRESS...
  camphorrail timeline --help

ADDRESS is a process's operators' port, as IP:PORT.

Options:
  --out=FILE  Write to FILE instead of standard output.
  --text      One event a line, for reading; otherwise the trace-event JSON that viewers open.
)";

void print_text(std::ostream& out, const json& events) {
    const std::int64_t start = events.empty() ? 0 : events.front().at("ts").get<std::int64_t>();
    for (const auto& event : events) {
        const double at = static_cast<double>(event.at("ts").get<std::int64_t>() - start) / 1000.0;
        out << std::fixed << at << " ms  " << event.value("pid", "") << "  "
            << event.value("name", "") << "  " << event.at("args").dump() << "\n";
    }
}

} // namespace

int cmd_timeline(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    adapters::event_loop loop;
    std::vector<json> events;
    for (const auto& address : given->at("ADDRESS").asStringList()) {
        const auto text = fetch_text(loop, address, "/timeline");
        const auto read = text.has_value() ? json::parse(text.value(), nullptr, false) : json();
        if (!read.is_array()) {
            std::cerr << "camphorrail: no time line from " << address << "\n";
            exit_code = exit_failed;
            continue;
        }
        events.insert(events.end(), read.begin(), read.end());
    }
    std::stable_sort(events.begin(), events.end(), [](const json& left, const json& right) {
        return left.at("ts").get<std::int64_t>() < right.at("ts").get<std::int64_t>();
    });
    const std::string file = text_or(*given, "--out", "");
    std::ofstream to_file(file);
    std::ostream& out = file.empty() ? std::cout : to_file;
    if (given->at("--text").asBool()) {
        print_text(out, events);
    } else {
        out << json{{"traceEvents", events}}.dump() << "\n";
    }
    return exit_code;
}

} // namespace camphorrail::app
