#include "base/random.h"
#include "kvcache/cache_spaces.h"
#include "kvcache/prompt_chain.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace camphorrail;

namespace {

using team_set = std::set<base::team_id>;

const team_set none;
const team_set north{{"north"}};
const team_set south{{"south"}};
const team_set both{{"north"}, {"south"}};

std::string salt_of(const kvcache::cache_spaces& spaces, const base::team_id& team) {
    const bool separate = spaces.excluded.count(team) > 0;
    const kvcache::prompt_scope scope{
        {"m"}, separate ? team : base::team_id{}, spaces.shared_space};
    return kvcache::make_salt(scope, 1);
}

} // namespace

TEST_CASE("cache spaces follow the isolated teams", "[kvcache][isolation]") {
    const auto open = kvcache::choose_cache_spaces(none, none);

    SECTION("without an isolated team the salt is that of builds that know no spaces") {
        CHECK(salt_of(open, {"north"}) == "m.1");
        CHECK(salt_of(open, {"south"}) == "m.1");
    }
    SECTION("an isolated team leaves the shared space, which the others leave behind as well") {
        const auto spaces = kvcache::choose_cache_spaces(north, none);
        CHECK(salt_of(spaces, {"north"}) == "m.1.north");
        CHECK(salt_of(spaces, {"south"}) == salt_of(spaces, {"west"}));
        CHECK(salt_of(spaces, {"south"}) != salt_of(open, {"south"}));
    }
    SECTION("lifting an isolation changes nothing where the excluded teams are recorded") {
        const auto isolated = kvcache::choose_cache_spaces(north, north);
        CHECK(kvcache::choose_cache_spaces(none, north) == isolated);
        CHECK(kvcache::choose_cache_spaces(north, both) ==
              kvcache::choose_cache_spaces(both, both));
        CHECK_FALSE(kvcache::is_record_outdated(none, north));
    }
    SECTION("another isolated team replaces the excluded ones, so former ones share again") {
        CHECK(kvcache::is_record_outdated(south, north));
        const auto moved = kvcache::choose_cache_spaces(south, north);
        CHECK(salt_of(moved, {"north"}) == salt_of(moved, {"west"}));
        CHECK(salt_of(moved, {"north"}) !=
              salt_of(kvcache::choose_cache_spaces(north, north), {"west"}));
    }
    SECTION("no team's name looks like a shared space") {
        const auto spaces = kvcache::choose_cache_spaces(north, none);
        const std::string shared = salt_of(spaces, {"south"});
        const base::team_id named_alike{shared.substr(std::string("m.1/").size())};
        const auto alike = kvcache::choose_cache_spaces({named_alike}, none);
        CHECK(salt_of(alike, named_alike) != shared);
    }
}

// Guards against an isolated team's cached parts that remain in use by others, or others' by it:
// after changes of any order, restarts of entries, records that are lost, late or of an older copy
// of the store, and entries that follow an older configuration.
TEST_CASE("no request uses cached parts across an isolated team", "[kvcache][isolation]") {
    const std::vector<base::team_id> teams{{"a"}, {"b"}, {"c"}, {"d"}};
    constexpr std::size_t entry_count = 3;
    constexpr int steps = 400;
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 41)));
    CAPTURE(seed);
    base::random_source random{seed};
    struct entry {
        team_set isolated;
        team_set recorded;
    };
    std::vector<entry> entries(entry_count);
    team_set isolated;
    std::vector<team_set> records{none};
    // The teams that have made parts under each salt.
    std::map<std::string, team_set> makers;
    for (int step = 0; step < steps; ++step) {
        auto& one = entries[base::random_below(random, entry_count)];
        switch (base::random_below(random, 8)) {
        case 0: {
            const auto& team = teams[base::random_below(random, teams.size())];
            if (isolated.erase(team) == 0) {
                isolated.insert(team);
            }
            break;
        }
        case 1:
            one.isolated = isolated;
            break;
        case 2:
            // The record as any entry has seen it, or as an older copy of the store has it.
            one.recorded = records[base::random_below(random, records.size())];
            break;
        case 3:
            // A restart.
            one = {isolated, none};
            break;
        case 4:
            if (kvcache::is_record_outdated(one.isolated, one.recorded)) {
                records.push_back(one.isolated);
            }
            break;
        default: {
            const auto& team = teams[base::random_below(random, teams.size())];
            const auto spaces = kvcache::choose_cache_spaces(one.isolated, one.recorded);
            auto& found = makers[salt_of(spaces, team)];
            for (const auto& maker : found) {
                CAPTURE(team.value, maker.value);
                const bool allowed = maker == team || (one.isolated.count(team) == 0 &&
                                                       one.isolated.count(maker) == 0);
                REQUIRE(allowed);
            }
            found.insert(team);
            break;
        }
        }
    }
}
