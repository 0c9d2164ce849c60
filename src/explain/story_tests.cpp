#include "explain/story.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace camphorrail;

namespace {

const char* const log_text =
    R"(12.1 entry-1 {"time_ms":100,"process":"e1","event":"config_in_force","version":3}
{"time_ms":120,"process":"e1","event":"upstream_added","upstream":"i-1"}
{"time_ms":121,"process":"e1","event":"upstream_added","upstream":"i-2"}
{"time_ms":150,"process":"e2","event":"upstream_ejected","upstream":"i-1","why":"silent"}
{"time_ms":200,"process":"e1","event":"sent","request":"r1","upstream":"i-1","tries":0}
{"time_ms":180,"process":"e1","event":"store_lost"}
{"time_ms":210,"process":"e1","event":"sent","request":"r2","upstream":"i-2"}
{"time_ms":230,"process":"e1","event":"attempt_failed","request":"r1","upstream":"i-1"}
{"time_ms":231,"process":"e1","event":"refused","request":"r1","code":"upstream_failed"}
not an event
{"time_ms":240,"process":"e1","ev)";

} // namespace

TEST_CASE("a request's story is told from the logs of all processes", "[explain]") {
    std::istringstream input(log_text);
    explain::log_records records;
    explain::read_log(input, records);
    explain::sort_by_time(records);
    CHECK(records.unreadable == 2);
    const auto story = explain::tell_story(records, "r1");
    REQUIRE(story.size() == 3);
    CHECK(story[0].line.event == "sent");
    CHECK(story[2].line.event == "refused");

    SECTION("with what its own process believed at each step, and of that step's upstream only") {
        std::vector<std::string> believed;
        for (const auto& belief : story[0].beliefs) {
            believed.push_back(belief.event);
        }
        CHECK(believed ==
              std::vector<std::string>{"config_in_force", "store_lost", "upstream_added"});
    }
    SECTION("as text with the age of each belief") {
        const auto text = explain::to_text(story);
        CHECK(text.find("100 ms before: config_in_force  version=3") != std::string::npos);
        CHECK(text.find("refused  code=upstream_failed") != std::string::npos);
    }
    // The process has restarted in between. On-call would look for the cause in beliefs that died
    // with the life before.
    SECTION("without what an earlier life of the process believed") {
        std::istringstream later(R"({"time_ms":300,"process":"e1","event":"start"}
{"time_ms":310,"process":"e1","event":"refused","request":"r5","code":"not_ready"})");
        explain::read_log(later, records);
        const auto restarted = explain::tell_story(records, "r5");
        REQUIRE(restarted.size() == 1);
        REQUIRE(restarted[0].beliefs.size() == 1);
        CHECK(restarted[0].beliefs[0].event == "start");
    }
    SECTION("and is empty for a request that no line names") {
        CHECK(explain::tell_story(records, "r9").empty());
    }
}
