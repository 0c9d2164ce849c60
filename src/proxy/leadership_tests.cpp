#include "proxy/leadership.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// The leader has vanished, and a hundred entries hear of it within a moment. When each took a lease
// to claim the lead with, all but one of the leases were paid for in vain.
TEST_CASE("entries claim the vacant lead one after the other", "[proxy]") {
    tests::proxy_world world;
    world.state.store.revision = 5;
    int leases = 0;
    ports::platform platform;
    platform.grant_lease = [&](std::int64_t, auto) { ++leases; };
    std::vector<base::entry_id> others;
    proxy::leadership leader(world.entry(), platform, [&] { return others; });
    const auto tick_for = [&](base::milliseconds span) {
        constexpr base::milliseconds step{50};
        for (base::milliseconds passed{0}; passed < span; passed += step) {
            world.move_clock(step);
            leader.tick();
        }
    };

    SECTION("the first in line at once, when links have had time to stand") {
        tick_for(base::milliseconds(900));
        CHECK(leases == 0);
        tick_for(base::milliseconds(300));
        CHECK(leases == 1);
    }
    SECTION("the last one only when all others have had their turn") {
        for (int each = 0; each < 102; ++each) {
            others.push_back({"entry-" + std::to_string(each)});
        }
        tick_for(base::milliseconds(1200));
        CHECK(leases <= 1);
        const std::string key = world.entry().words.own_prefix + "leader";
        world.state.store.items[key] = {key, "another", 6};
        leader.note_store_change();
        tick_for(base::seconds(10));
        CHECK(leases <= 1);
    }
    SECTION("and each of them in time where all before it are cut off") {
        for (int each = 0; each < 102; ++each) {
            others.push_back({"entry-" + std::to_string(each)});
        }
        tick_for(base::milliseconds(5000));
        CHECK(leases == 1);
    }
}
