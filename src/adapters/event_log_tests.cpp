#include "adapters/event_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <sstream>
#include <unistd.h>

using namespace camphorrail;

namespace {

std::string read_all(int descriptor) {
    std::string all;
    std::array<char, 65536> piece{};
    for (auto got = read(descriptor, piece.data(), piece.size()); got > 0;
         got = read(descriptor, piece.data(), piece.size())) {
        all.append(piece.data(), static_cast<std::size_t>(got));
    }
    return all;
}

} // namespace

TEST_CASE("events are written as JSON lines", "[event_log]") {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    std::int64_t now = 1000;
    const adapters::event_log_limits limits{.routine_lines_a_second = 90, .lines_a_second = 150};
    adapters::event_log log(ends[1], "entry-1", limits, [&now] { return now; });

    SECTION("with whatever bytes come from outside") {
        log.line(adapters::importance::keep, "refused")
            .text("request", "a\"\\\n\xff")
            .number("tries", -2)
            .flag("run", false)
            .span("after", base::micros(1250));
        log.flush();
        close(ends[1]);
        const auto line = nlohmann::json::parse(read_all(ends[0]));
        CHECK(line.at("event") == "refused");
        CHECK(line.at("process") == "entry-1");
        CHECK(line.at("tries") == -2);
        CHECK(line.at("after") == 1.2);
    }

    // A flood of requests writes more than the bound. On-call needs the failures among them, and a
    // count of what is missing, rather than whatever came first.
    SECTION("routine lines are left out first, and counted") {
        for (int each = 0; each < 500; ++each) {
            log.line(adapters::importance::routine, "accepted").number("each", each);
        }
        log.line(adapters::importance::keep, "failed");
        log.flush();
        log.flush();
        close(ends[1]);
        std::istringstream lines(read_all(ends[0]));
        int failed = 0;
        std::int64_t missing = 0;
        int accepted = 0;
        for (std::string line; std::getline(lines, line);) {
            const auto parsed = nlohmann::json::parse(line);
            failed += parsed.at("event") == "failed" ? 1 : 0;
            accepted += parsed.at("event") == "accepted" ? 1 : 0;
            missing += parsed.value("count", std::int64_t{0});
        }
        CHECK(accepted == 90);
        CHECK(missing == 410);
        CHECK(failed == 1);
    }
    close(ends[0]);
}

// Nobody reads the log. The process must neither wait for a reader nor keep lines without bound.
TEST_CASE("a log that nobody reads holds nothing up", "[event_log]") {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    std::int64_t now = 0;
    adapters::event_log log(ends[1], "entry-1", {}, [&now] { return now; });
    for (int each = 0; each < 20000; ++each) {
        now += 10;
        log.line(adapters::importance::keep, "failed").number("each", each);
        log.flush();
    }
    CHECK(log.left_out() > 0);
    close(ends[0]);
    close(ends[1]);
}

// Guards against clients that fill the log with names as long as a head.
TEST_CASE("a flood of long lines is bounded in bytes", "[event_log]") {
    std::FILE* file = std::tmpfile();
    REQUIRE(file != nullptr);
    const adapters::event_log_limits limits{.routine_lines_a_second = 90, .lines_a_second = 150};
    adapters::event_log log(fileno(file), "entry-1", limits, [] { return 1000; });
    const std::string name(15'000, 'x');
    for (int each = 0; each < 150; ++each) {
        log.line(adapters::importance::keep, "refused").text("request", name);
    }
    log.flush();
    constexpr long counted_bytes = 512;
    const auto long_line = static_cast<long>(name.size() + counted_bytes);
    const long written = lseek(fileno(file), 0, SEEK_END);
    CHECK(written > long_line);
    CHECK(written <= 150 * counted_bytes + long_line);
    (void)std::fclose(file);
}
