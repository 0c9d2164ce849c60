#include "mirror/store_mirror.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int seconds) {
    return base::instant{base::seconds(seconds)};
}

} // namespace

TEST_CASE("a mirror follows the store", "[mirror]") {
    mirror::store_mirror state;
    mirror::take_snapshot(state, {10, {{"config", "one", 4}, {"up/a", "a", 9}}}, at(1));
    CHECK(state.items.size() == 2);

    SECTION("by what a watch tells, each change once") {
        const ports::changes told{12, {{{"config", "two", 11}}, {{"up/a", "", 12}, true}}};
        CHECK(mirror::take_changes(state, told) == std::set<std::string>{"config", "up/a"});
        CHECK(mirror::take_changes(state, told).empty());
        CHECK(state.items.at("config").value == "two");
        CHECK(state.revision == 12);
    }
    SECTION("by reading anew, which also shows what has gone") {
        CHECK(mirror::take_snapshot(state, {15, {{"config", "one", 4}}}, at(3)) ==
              std::set<std::string>{"up/a"});
        CHECK(mirror::age(state, at(5)) == base::seconds(2));
    }

    // A caller would see a removed key honoured again: an answer of the store that was long on its
    // way, or another entry that lags, tells of an older configuration after a newer one is known.
    SECTION("and never goes back, whoever tells it something older") {
        mirror::take_changes(state, {20, {{{"config", "three", 20}}}});
        CHECK(mirror::take_snapshot(state, {10, {{"config", "one", 4}}}, at(9)).empty());
        CHECK(mirror::take_changes(state, {12, {{{"config", "two", 11}}}}).empty());
        CHECK(state.items.at("config").value == "three");
        CHECK(state.revision == 20);
        CHECK(mirror::age(state, at(9)) == base::seconds(8));
    }
}
