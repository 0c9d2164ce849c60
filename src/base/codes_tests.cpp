#include "base/codes.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace camphorrail;

TEST_CASE("result codes", "[base]") {
    SECTION("have unique numbers in ascending order") {
        int last = 0;
        for (const auto& entry : base::code_table()) {
            CHECK(static_cast<int>(entry.number) > last);
            last = static_cast<int>(entry.number);
        }
    }

    SECTION("match the documented table in number, name, status and text") {
        std::ifstream page(CAMPHORRAIL_SOURCE_DIR "/docs/RESULT-CODES.md");
        REQUIRE(page.good());
        std::set<std::string> rows;
        for (std::string line; std::getline(page, line);) {
            if (line.rfind("| ", 0) == 0 && line.size() > 2 && std::isdigit(line[2]) != 0) {
                rows.insert(line);
            }
        }
        for (const auto& entry : base::code_table()) {
            std::ostringstream row;
            row << "| " << static_cast<int>(entry.number) << " | `" << entry.name << "` | ";
            row << (entry.http_status == 0 ? "-" : std::to_string(entry.http_status)) << " | "
                << entry.text << " |";
            CHECK(rows.count(row.str()) == 1);
        }
        CHECK(rows.size() == base::code_table().size());
    }
}
