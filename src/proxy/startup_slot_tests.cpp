#include "mirrored_store.h"
#include "proxy/startup_slot.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// A process that starts; all use the same store.
struct starting_process {
    tests::proxy_world world;
    proxy::startup_slot slot;

    starting_process(const std::string& id, tests::mirrored_store& store)
        : slot(this->world.entry(), with_leases(store)) {
        this->world.stop_clock();
        this->world.name_entry({id});
        this->world.prove_config();
        this->slot.tick();
    }

    static ports::platform with_leases(tests::mirrored_store& store) {
        auto platform = store.calls_to();
        platform.grant_lease = [](std::int64_t, const auto& done) { done(ports::lease{1, 0}); };
        return platform;
    }
};

} // namespace

// Guards against restarts in series, each of which would allow its process some more retries.
TEST_CASE("processes that have just started claim a few slots", "[proxy]") {
    mirror::store_mirror mirror;
    tests::mirrored_store store{mirror};
    int claimed = 0;
    for (int each = 0; each < 12; ++each) {
        const starting_process one("entry-" + std::to_string(each % 3), store);
        claimed += one.slot.is_claimed() ? 1 : 0;
    }
    // Of 50 retries, 15 in 100 are for processes that have just started.
    CHECK(claimed == 7);

    SECTION("which are free once their leases have ended") {
        mirror.items.clear();
        CHECK(starting_process("entry-1", store).slot.is_claimed());
    }
}

TEST_CASE("a process claims a slot once the store answers, while it needs one", "[proxy]") {
    mirror::store_mirror mirror;
    tests::mirrored_store store{mirror};
    store.unavailable = true;
    starting_process one("entry-1", store);
    CHECK_FALSE(one.slot.is_claimed());
    store.unavailable = false;

    SECTION("after a moment") {
        one.world.move_clock(base::seconds(2));
        one.world.prove_config();
        one.slot.tick();
        CHECK(one.slot.is_claimed());
    }
    SECTION("not after it has settled") {
        one.world.move_clock(base::seconds(13));
        one.world.prove_config();
        one.slot.tick();
        CHECK_FALSE(one.slot.is_claimed());
    }
}
