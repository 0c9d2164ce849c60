#include "entries/entry_count.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

constexpr base::seconds window{12};

base::instant at(int seconds) {
    return base::instant{base::seconds(seconds)};
}

} // namespace

// Guards against shares of a common limit that grow as soon as other entries leave, although those
// have used theirs within the same window.
TEST_CASE("the largest recent number of entries counts", "[entries]") {
    entries::entry_count_history history;
    CHECK(entries::largest_entry_count(history) == 1);
    entries::record_entry_count(history, 6, at(0), window);
    entries::record_entry_count(history, 6, at(20), window);
    CHECK(entries::largest_entry_count(history) == 6);

    SECTION("for one window after entries have left") {
        entries::record_entry_count(history, 4, at(21), window);
        entries::record_entry_count(history, 1, at(22), window);
        entries::record_entry_count(history, 1, at(32), window);
        CHECK(entries::largest_entry_count(history) == 6);
        entries::record_entry_count(history, 1, at(33), window);
        CHECK(entries::largest_entry_count(history) == 4);
        entries::record_entry_count(history, 1, at(34), window);
        CHECK(entries::largest_entry_count(history) == 1);
    }
    SECTION("at once when entries join") {
        entries::record_entry_count(history, 9, at(21), window);
        CHECK(entries::largest_entry_count(history) == 9);
    }
    SECTION("while entries leave and come back one after the other") {
        for (int second = 21; second < 60; ++second) {
            entries::record_entry_count(history, second % 5 == 0 ? 6 : 5, at(second), window);
            CHECK(entries::largest_entry_count(history) == 6);
        }
    }
}
