#include "app/commands.h"
#include "app/usage.h"
#include "explain/story.h"

#include <fstream>

namespace camphorrail::app {

namespace {

constexpr const char* usage =
    R"(Tells what became of one request, from the logs of several processes.

Usage:
  camphorrail explain REQUEST LOG...
  camphorrail explain --help

REQUEST is the id that the caller sent. LOG is a file of JSON lines as the daemons write them; `-` is standard input. Each step of the request
is printed with what its process believed then, and how old that belief was. docs/OPERATIONS.md shows
how to read it; `camphorrail timeline` shows the same moments over all processes.
)";

bool read_file(const std::string& name, explain::log_records& records) {
    if (name == "-") {
        explain::read_log(std::cin, records);
        return true;
    }
    std::ifstream input(name);
    if (!input) {
        std::cerr << "camphorrail: " << name << " can't be read\n";
        return false;
    }
    explain::read_log(input, records);
    return true;
}

} // namespace

int cmd_explain(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    explain::log_records records;
    for (const auto& name : given->at("LOG").asStringList()) {
        if (!read_file(name, records)) {
            return exit_failed;
        }
    }
    explain::sort_by_time(records);
    const auto request = given->at("REQUEST").asString();
    const auto story = explain::tell_story(records, request);
    if (story.empty()) {
        std::cerr << "camphorrail: no line names request " << request << " among "
                  << records.lines.size() << " events\n";
        return exit_failed;
    }
    std::cout << explain::to_text(story);
    return exit_ok;
}

} // namespace camphorrail::app
