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

entries::relay_targets targets_of(const std::vector<entries::linked_entry>& all, std::size_t self,
                                  base::instant at = now) {
    auto others = all;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(self));
    return entries::choose_relay_targets(others, all[self].id, all[self].zone, at);
}

} // namespace

TEST_CASE("broadcasts reach every entry through at most one relay", "[entries]") {
    const std::size_t count = GENERATE(3U, 18U, 103U, 1000U);
    constexpr std::size_t zones = 5;
    CAPTURE(count);
    const auto all = entries_in(count, zones);
    std::map<base::entry_id, entries::relay_targets> targets;
    for (std::size_t each = 0; each < count; ++each) {
        targets[all[each].id] = targets_of(all, each);
    }
    // Checking a few senders is enough in a large fleet.
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

// Guards against a broadcast from every entry to every other one. With a hundred entries that
// allowed only two updates a second before weak links saturated.
TEST_CASE("the number of direct recipients grows only with the sender's zone", "[entries]") {
    const auto all = entries_in(103, 5);
    for (std::size_t each = 0; each < all.size(); ++each) {
        const auto relays = targets_of(all, each);
        CHECK(relays.same_zone.size() + relays.zone_relays.size() <= 24);
    }

    SECTION("relays are spread across entries") {
        std::map<base::entry_id, int> uses_as_relay;
        for (std::size_t each = 0; each < all.size(); ++each) {
            for (const auto& relay : targets_of(all, each).zone_relays) {
                ++uses_as_relay[relay];
            }
        }
        int most = 0;
        for (const auto& [id, count] : uses_as_relay) {
            most = std::max(most, count);
        }
        CHECK(most <= 16);
    }
}

// A frozen relay whose links are still open drops what it should forward. Another entry must become
// the relay after two seconds.
TEST_CASE("the relay changes over time", "[entries]") {
    const auto all = entries_in(103, 5);
    std::set<base::entry_id> relays;
    for (int period = 0; period < 6; ++period) {
        const auto at = now + base::seconds(2 * period);
        CHECK(targets_of(all, 0, at).zone_relays ==
              targets_of(all, 0, at + base::milliseconds(500)).zone_relays);
        const auto chosen = targets_of(all, 0, at).zone_relays;
        relays.insert(chosen.begin(), chosen.end());
    }
    CHECK(relays.size() > 8);
}
