#include "entries/holders.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace camphorrail;
using entries::linked_entry;

namespace {

std::vector<linked_entry> fleet_of(int count, int zones) {
    std::vector<linked_entry> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int each = 0; each < count; ++each) {
        made.push_back(
            {{"entry-" + std::to_string(each)}, {"zone-" + std::to_string(each % zones)}});
    }
    return made;
}

} // namespace

TEST_CASE("the holders of a record lie in different availability zones", "[entries]") {
    const auto all = fleet_of(60, 3);
    for (int name = 0; name < 50; ++name) {
        const auto holders = entries::rank_holders(all, "record-" + std::to_string(name),
                                                   entries::record_holder_count);
        REQUIRE(holders.size() == entries::record_holder_count);
        std::set<std::string> zones;
        for (const auto& holder : holders) {
            const auto found = std::find_if(all.begin(), all.end(),
                                            [&](const auto& each) { return each.id == holder; });
            zones.insert(found->zone.value);
        }
        CHECK(zones.size() == 3);
    }

    SECTION("and are the same in whatever order the entries are known") {
        auto reversed = all;
        std::reverse(reversed.begin(), reversed.end());
        CHECK(entries::rank_holders(all, "x", 8) == entries::rank_holders(reversed, "x", 8));
    }
    SECTION("and share the records about evenly") {
        std::map<base::entry_id, int> held;
        for (int name = 0; name < 2000; ++name) {
            for (const auto& holder : entries::rank_holders(all, "record-" + std::to_string(name),
                                                            entries::record_holder_count)) {
                ++held[holder];
            }
        }
        // 100 on average.
        CHECK(held.size() == 60);
        CHECK(std::all_of(held.begin(), held.end(),
                          [](const auto& each) { return each.second < 200; }));
    }
}

TEST_CASE("a small fleet holds each record everywhere", "[entries]") {
    CHECK(entries::rank_holders(fleet_of(2, 1), "x", entries::record_holder_count).size() == 2);
    CHECK(entries::rank_holders({}, "x", entries::record_holder_count).empty());
}
