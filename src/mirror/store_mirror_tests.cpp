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
    mirror::apply_snapshot(state, {10, {{"config", "one", 4}, {"up/a", "a", 9}}}, at(1));
    CHECK(state.items.size() == 2);

    SECTION("by what a watch tells, each change once") {
        const ports::changes update{12, {{{"config", "two", 11}}, {{"up/a", "", 12}, true}}};
        CHECK(mirror::apply_changes(state, update) == std::set<std::string>{"config", "up/a"});
        CHECK(mirror::apply_changes(state, update).empty());
        CHECK(state.items.at("config").value == "two");
        CHECK(state.revision == 12);
    }
    SECTION("by reading anew, which also shows what has gone") {
        CHECK(mirror::apply_snapshot(state, {15, {{"config", "one", 4}}}, at(3)) ==
              std::set<std::string>{"up/a"});
        CHECK(mirror::age(state, at(5)) == base::seconds(2));
    }

    // A caller would see a removed key honoured again: an answer of the store that was long on its
    // way, or another entry that lags, tells of an older configuration after a newer one is known.
    SECTION("and never goes back, whoever tells it something older") {
        mirror::apply_changes(state, {20, {{{"config", "three", 20}}}});
        CHECK(mirror::apply_snapshot(state, {10, {{"config", "one", 4}}}, at(9)).empty());
        CHECK(mirror::apply_changes(state, {12, {{{"config", "two", 11}}}}).empty());
        CHECK(state.items.at("config").value == "three");
        CHECK(state.revision == 20);
        CHECK(mirror::age(state, at(9)) == base::seconds(8));
    }
}

// Most entries leave the watching to a few others and ask them about once a second. Sent all each
// time, the answers filled the links of the smallest VMs, and callers waited behind them.
TEST_CASE("one who knows all up to a revision is told what has changed since", "[mirror]") {
    mirror::store_mirror here;
    mirror::apply_snapshot(here, {10, {{"a", "1", 3}, {"b", "1", 10}}}, base::instant{});
    mirror::store_mirror there = here;
    mirror::apply_changes(here, {12, {{{"a", "2", 11}, false}, {{"b", "", 12}, true}}});
    const auto since = mirror::changes_since(here, 10);
    REQUIRE(since);
    CHECK(since->revision == 12);
    CHECK(since->items.size() == 2);
    mirror::apply_changes(there, *since);
    CHECK(there.items.size() == 1);
    CHECK(there.items.at("a").value == "2");
    CHECK(there.revision == 12);

    SECTION("nothing where nothing has") {
        CHECK(mirror::changes_since(here, 12)->items.empty());
    }
    SECTION("also of keys that a later reading of all misses") {
        mirror::apply_snapshot(here, {20, {}}, base::instant{});
        const auto later = mirror::changes_since(here, 12);
        REQUIRE(later);
        mirror::apply_changes(there, *later);
        CHECK(there.items.empty());
    }
    SECTION("a key that is back is not told as gone") {
        mirror::apply_changes(here, {13, {{{"b", "3", 13}, false}}});
        mirror::apply_changes(there, *mirror::changes_since(here, 12));
        CHECK(there.items.at("b").value == "3");
    }
    SECTION("and everything where that is not known") {
        CHECK_FALSE(mirror::changes_since(here, 9));
        for (int key = 0; key < 600; ++key) {
            const std::int64_t revision = 100 + 2 * key;
            const std::string name = "k" + std::to_string(key);
            mirror::apply_changes(here, {revision, {{{name, "", revision}, false}}});
            mirror::apply_changes(here, {revision + 1, {{{name, "", revision + 1}, true}}});
        }
        CHECK_FALSE(mirror::changes_since(here, 12));
        CHECK(mirror::changes_since(here, here.revision - 100));
        CHECK(here.removed.size() <= 256);
    }
}

// An upstream vanishes from the store, and right before it had written there. An entry hears of its
// going from one that watches, and only then gets the answer of another one that it had asked
// before, which still names it. Taken over, the upstream would be in the list for good: nothing
// tells of its going a second time, and callers' requests go to one that has left.
TEST_CASE("what has gone does not come back by older news", "[mirror]") {
    mirror::store_mirror state;
    mirror::apply_snapshot(state, {10, {{"up/a", "a", 9}}}, at(1));
    mirror::apply_changes(state, {13, {{{"up/a", "", 13}, true}}});
    REQUIRE(state.items.empty());

    SECTION("told by another entry or a watch") {
        CHECK(mirror::apply_changes(state, {12, {{{"up/a", "b", 12}}}}).empty());
        CHECK(state.items.empty());
    }
    SECTION("also where its going was told before its coming") {
        mirror::apply_changes(state, {15, {{{"up/b", "", 15}, true}}});
        CHECK(mirror::apply_changes(state, {14, {{{"up/b", "b", 14}}}}).empty());
        CHECK(state.items.empty());
    }
    SECTION("and is there again once it has been written anew") {
        CHECK_FALSE(mirror::apply_changes(state, {16, {{{"up/a", "c", 16}}}}).empty());
        CHECK(state.items.at("up/a").value == "c");
    }
}

// The store is read in pages, and an upstream goes between two of them. Its going is told once
// more by the watch, when the reader no longer has it. Passed over there, it was left out of what
// the reader tells others: they took the later revision for theirs, and kept the upstream.
TEST_CASE("what has gone is told to others whether it was known here or not", "[mirror]") {
    mirror::store_mirror here;
    mirror::apply_snapshot(here, {10, {{"up/a", "a", 9}}}, at(1));
    mirror::store_mirror there = here;
    mirror::apply_snapshot(here, {10, {}}, at(2));
    mirror::apply_changes(here, {12, {{{"up/a", "", 12}, true}}});
    const auto since = mirror::changes_since(here, there.revision);
    REQUIRE(since);
    mirror::apply_changes(there, *since);
    CHECK(there.revision == 12);
    CHECK(there.items.empty());
}

TEST_CASE("a mirror is whole as of when it was asked for a revision that it has reached",
          "[mirror]") {
    mirror::store_mirror state;
    mirror::apply_snapshot(state, {10, {}}, at(1));
    mirror::record_revision(state, 10, at(1));
    CHECK(state.complete_as_of == at(1));

    SECTION("also where it is reached later") {
        mirror::record_revision(state, 12, at(3));
        CHECK(state.complete_as_of == at(1));
        mirror::apply_changes(state, {11, {{{"up/a", "a", 11}, false}}});
        CHECK(state.complete_as_of == at(1));
        mirror::apply_changes(state, {12, {}});
        CHECK(state.complete_as_of == at(3));
    }
    SECTION("while later ones are asked for all the time") {
        mirror::record_revision(state, 12, at(3));
        mirror::record_revision(state, 20, at(4));
        mirror::apply_changes(state, {12, {}});
        CHECK(state.complete_as_of == at(3));
    }
    SECTION("and as of the last question that it answers") {
        mirror::record_revision(state, 12, at(3));
        mirror::record_revision(state, 12, at(5));
        mirror::apply_changes(state, {12, {}});
        CHECK(state.complete_as_of == at(5));
    }
    SECTION("and what comes then was written after it") {
        mirror::mark_verified(state, at(8));
        mirror::apply_changes(state, {11, {{{"up/a", "a", 11}, false}}});
        CHECK(mirror::written_after(state, "up/a") == at(1));
        mirror::record_revision(state, 11, at(9));
        CHECK(mirror::written_after(state, "up/a") == at(1));
        mirror::apply_changes(state, {12, {{{"up/a", "b", 12}, false}}});
        CHECK(mirror::written_after(state, "up/a") == at(9));
    }
    SECTION("an item of the first reading may have been written at any time") {
        mirror::store_mirror fresh;
        mirror::apply_snapshot(fresh, {10, {{"up/a", "a", 9}}}, at(1));
        CHECK_FALSE(mirror::written_after(fresh, "up/a"));
    }
}
