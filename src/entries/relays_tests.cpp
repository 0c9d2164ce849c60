#include "entries/relays.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};

base::availability_zone zone_of(std::size_t number, std::size_t zones) {
    return {std::string(1, static_cast<char>('a' + number % zones))};
}

std::vector<entries::linked_entry> entries_in(std::size_t count, std::size_t zones) {
    std::vector<entries::linked_entry> all;
    for (std::size_t each = 0; each < count; ++each) {
        all.push_back({{"entry-" + std::to_string(each)}, zone_of(each, zones)});
    }
    return all;
}

entries::relay_targets relays_of(const std::vector<entries::linked_entry>& all, std::size_t self,
                                 base::instant at = now) {
    auto others = all;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
    return entries::choose_relay_targets(others, all[self].id, all[self].zone, at);
}

} // namespace

TEST_CASE("every entry hears of every other one, through one relay at most", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    constexpr std::size_t zones = 5;
    CAPTURE(count);
    const auto all = entries_in(count, zones);
    std::map<base::entry_id, entries::relay_targets> targets;
    for (std::size_t each = 0; each < count; ++each) {
        targets[all[each].id] = relays_of(all, each);
    }
    // A few senders are enough to look at where there are many entries.
    for (std::size_t each = 0; each < std::min<std::size_t>(count, 20); ++each) {
        const auto& direct = targets[all[each].id];
        CHECK(direct.zone_relays.size() < zones);
        std::set<base::entry_id> reached{all[each].id};
        reached.insert(direct.same_zone.begin(), direct.same_zone.end());
        for (const auto& relay : direct.zone_relays) {
            reached.insert(relay);
            reached.insert(targets[relay].same_zone.begin(), targets[relay].same_zone.end());
        }
        CHECK(reached.size() == count);
    }
}

// A hundred entries told each other everything, twice a second: with more messages, weak links
// would have filled.
TEST_CASE("what an entry sends grows with its zone alone", "[entries]") {
    const auto all = entries_in(103, 5);
    for (std::size_t each = 0; each < all.size(); ++each) {
        const auto relays = relays_of(all, each);
        CHECK(relays.same_zone.size() + relays.zone_relays.size() <= 24);
    }

    SECTION("and relaying is spread") {
        std::map<base::entry_id, int> asked;
        for (std::size_t each = 0; each < all.size(); ++each) {
            for (const auto& relay : relays_of(all, each).zone_relays) {
                ++asked[relay];
            }
        }
        int most = 0;
        for (const auto& [id, count] : asked) {
            most = std::max(most, count);
        }
        CHECK(most <= 16);
    }
}

// A relay is frozen, and its links still stand. What it was told reaches nobody; after two seconds
// another entry relays.
TEST_CASE("another entry relays after a while", "[entries]") {
    const auto all = entries_in(103, 5);
    std::set<base::entry_id> relays;
    for (int term = 0; term < 6; ++term) {
        const auto at = now + base::seconds(2 * term);
        CHECK(relays_of(all, 0, at).zone_relays ==
              relays_of(all, 0, at + base::milliseconds(500)).zone_relays);
        const auto far = relays_of(all, 0, at).zone_relays;
        relays.insert(far.begin(), far.end());
    }
    CHECK(relays.size() > 8);
}
