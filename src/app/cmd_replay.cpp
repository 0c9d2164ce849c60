#include "app/commands.h"
#include "app/usage.h"
#include "replay/report.h"

#include <fstream>
#include <sstream>

namespace camphorrail::app {

namespace {

constexpr const char* usage =
    R"(Replays recorded traces through the router's decisions, on a virtual clock.

Usage:
  camphorrail replay [--series] TRACE...
  camphorrail replay --help

Prints what came of each trace and fails where an outcome stated in its header was missed.
docs/TRACES.md describes the format.

Options:
  --series  Print the first token and hit rate over time as well.
)";

int fail(const std::string& file, int line, base::code number, const std::string& detail) {
    std::cerr << file << ":" << line << ": error " << static_cast<int>(number) << ": " << detail
              << "\n";
    return exit_failed;
}

int replay_one(const std::string& file, bool series) {
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    const auto parsed = replay::parse_trace(text.str());
    if (parsed.bad_line != 0 || parsed.recorded.requests.empty()) {
        return fail(file, parsed.bad_line, base::code::trace_malformed,
                    "this line is not one of a trace");
    }
    const auto& recorded = parsed.recorded;
    const auto maker = [](const replay::trace& of, const replay::world_view&) {
        return replay::make_router_policy(of, {});
    };
    const auto result = replay::run(recorded, maker, {});
    const auto summary = replay::summarize(recorded, result);
    std::cout << recorded.name << "\n" << replay::to_table({summary});
    if (series) {
        std::cout << replay::to_series(recorded, result);
    }
    int exit_code = exit_ok;
    for (const auto& missed : replay::missed_outcomes(recorded, summary)) {
        exit_code = fail(file, 1, base::code::outcome_missed, missed);
    }
    return exit_code;
}

} // namespace

int cmd_replay(const arguments& args) {
    int exit_code = exit_ok;
    const auto given = read_options(usage, args, exit_code);
    if (!given) {
        return exit_code;
    }
    for (const auto& file : given->at("TRACE").asStringList()) {
        exit_code = std::max(exit_code, replay_one(file, given->at("--series").asBool()));
    }
    return exit_code;
}

} // namespace camphorrail::app
