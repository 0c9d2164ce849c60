#include "proxy_world.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace camphorrail;

namespace {

using schema = std::map<std::string, std::set<std::string>>;

// Reads the events and their fields from docs/LOGS.md.
schema read_schema() {
    std::ifstream page(CAMPHORRAIL_SOURCE_DIR "/docs/LOGS.md");
    schema events;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("| `", 0) != 0) {
            continue;
        }
        std::istringstream cells(line);
        std::string names;
        std::string fields;
        std::getline(cells, names, '|');
        std::getline(cells, names, '|');
        std::getline(cells, fields, '|');
        std::istringstream field_words(fields);
        std::set<std::string> all{"time_ms", "process", "event"};
        for (std::string word; field_words >> word;) {
            all.insert(word);
        }
        std::istringstream name_words(names);
        for (std::string word; name_words >> word;) {
            events[word.substr(1, word.size() - 2)] = all;
        }
    }
    return events;
}

} // namespace

TEST_CASE("every logged event and field is listed in docs/LOGS.md", "[proxy][log]") {
    const auto events = read_schema();
    REQUIRE(events.size() > 30);
    tests::proxy_world world;
    int request_count = 0;
    const auto script = [&request_count](const tests::engine_request& got) {
        using step = tests::engine_step;
        const std::string id = got.field("Request-Id");
        switch (++request_count) {
        case 1:
            return tests::engine_script{{step::kind::close, {}}};
        case 2:
            return tests::engine_script{
                {step::kind::send, tests::answer(id, "", 503, "Not-Executed: 1\r\n")}};
        case 3:
            return tests::engine_script{
                {step::kind::send, tests::answer("r0", "late") + tests::answer(id, "own")}};
        default:
            return tests::engine_script{{step::kind::send, tests::answer(id, "fine")}};
        }
    };
    world.add_engine("i-1", script);
    world.add_engine("i-2", script);
    world.call(tests::request("safe", "r1"));
    world.call(tests::request("once", "r2"));
    world.call(tests::request("nowhere", "r3"));

    std::set<std::string> seen;
    for (const auto& line : world.log_lines()) {
        CAPTURE(line);
        const auto parsed = nlohmann::json::parse(line);
        const auto event = parsed.at("event").get<std::string>();
        seen.insert(event);
        REQUIRE(events.count(event) == 1);
        for (const auto& [field, value] : parsed.items()) {
            CAPTURE(field);
            CHECK(events.at(event).count(field) == 1);
        }
    }
    for (const char* expected : {"sent", "attempt_failed", "refused_by_upstream",
                                 "foreign_answer_dropped", "refused", "ended"}) {
        CAPTURE(expected);
        CHECK(seen.count(expected) == 1);
    }
}
