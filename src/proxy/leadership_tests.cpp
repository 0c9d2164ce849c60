#include "proxy/leadership.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>

using namespace camphorrail;

namespace {

// One entry that asks for the lead, and a store that gives it what it asks for.
struct leadership_world {
    tests::proxy_world world;
    std::int64_t revision = 5;
    proxy::leadership leader;

    leadership_world()
        : leader(this->world.entry(), this->make_platform(),
                 [] { return std::vector<base::entry_id>{}; }) {
        this->world.stop_clock();
        this->sync_mirror();
    }

    ports::platform make_platform() {
        ports::platform platform;
        platform.grant_lease = [](std::int64_t, const auto& done) { done(std::int64_t{7}); };
        platform.renew_lease = [](std::int64_t, const auto& done) { done(true); };
        platform.commit = [this](const ports::transaction&, const auto& done) {
            done(ports::commit_result{true, ++this->revision});
        };
        return platform;
    }

    [[nodiscard]] std::string key(const std::string& name) {
        return this->world.entry().codec.own_prefix + name;
    }

    void write(const std::string& name, const std::string& value) {
        this->world.state.store.items[this->key(name)] = {this->key(name), value, ++this->revision};
    }

    void erase(const std::string& name) {
        this->world.state.store.items.erase(this->key(name));
        ++this->revision;
    }

    // The entry reads the store as it is now.
    void sync_mirror() {
        this->world.state.store.revision = this->revision;
        this->leader.on_store_change();
    }

    // How long it takes until this entry may order; nothing where it may not for long.
    std::optional<base::milliseconds> time_to_first_command() {
        constexpr base::milliseconds step{50};
        for (base::milliseconds passed{0}; passed < base::seconds(20); passed += step) {
            this->leader.tick();
            // The first question only has it written down.
            (void)this->leader.may_issue_commands();
            if (this->leader.may_issue_commands()) {
                return passed;
            }
            this->world.move_clock(step);
        }
        return std::nullopt;
    }
};

} // namespace

// The failure: an entry that did not see a term dates its end by that of an earlier one of the same
// holder, and orders while that holder's last orders are still on their way.
TEST_CASE("the end of a term in which orders were given is waited for", "[proxy]") {
    leadership_world world;
    world.write("leader", "entry-2");
    world.write("orderer", "entry-2");
    world.sync_mirror();
    world.world.move_clock(base::seconds(5));
    world.erase("leader");
    world.sync_mirror();
    world.world.move_clock(base::seconds(10));

    SECTION("from when it was seen") {
        const auto wait = world.time_to_first_command();
        REQUIRE(wait.has_value());
        CHECK(*wait < base::milliseconds(500));
    }
    SECTION("also where another one led since without an order") {
        world.write("leader", "entry-3");
        world.sync_mirror();
        world.erase("leader");
        world.sync_mirror();
        const auto wait = world.time_to_first_command();
        REQUIRE(wait.has_value());
        CHECK(*wait < base::milliseconds(500));
    }
    SECTION("anew where the same holder gave orders in a term that was not seen") {
        world.write("orderer", "entry-2");
        world.sync_mirror();
        const auto wait = world.time_to_first_command();
        REQUIRE(wait.has_value());
        CHECK(*wait >= world.world.entry().settings.bounds.lease);
    }
}

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
        const std::string key = world.entry().codec.own_prefix + "leader";
        world.state.store.items[key] = {key, "another", 6};
        leader.on_store_change();
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
