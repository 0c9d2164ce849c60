#include "proxy/target_weights.h"
#include "proxy/upstream_choice.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const base::model_id model{"desk-8b"};

// An entry whose view of the platform's store and of target weights is driven by the test.
struct target_world {
    tests::proxy_world world;
    std::int64_t revision = 10;

    target_world() {
        this->world.stop_clock();
        this->read_all();
    }

    [[nodiscard]] base::instant now() { return this->world.entry().now(); }
    [[nodiscard]] mirror::store_mirror& store() { return this->world.state.store; }
    [[nodiscard]] base::instant outdated_since(std::int64_t version) {
        return proxy::outdated_since(this->world.state.weights[model], version);
    }

    // Reads the complete store, which holds no target weights yet.
    void read_all() {
        mirror::apply_snapshot(this->store(), {this->revision, {}}, this->now());
        this->mark_complete();
        proxy::read_target_weights(this->world.entry(), "store");
    }

    // A read of the store shows that nothing was missed.
    void mark_complete() { mirror::record_revision(this->store(), this->revision, this->now()); }

    // A watch delivers a new target version.
    void announce(std::int64_t version) {
        const std::string key = this->world.entry().codec.target_weights_prefix + model.value;
        const std::string value =
            R"({"model":")" + model.value + R"(","version":)" + std::to_string(version) + "}";
        ++this->revision;
        mirror::apply_changes(this->store(),
                              {this->revision, {{{key, value, this->revision}, false}}});
        proxy::read_target_weights(this->world.entry(), "store");
    }
};

} // namespace

// Guards against starting requests on outdated weights beyond the bound after an entry was
// suspended or cut off while newer weights were set.
TEST_CASE("weights are outdated from the earliest time at which newer ones can have been set",
          "[proxy]") {
    target_world entry;
    const auto last_complete = entry.now();
    entry.world.move_clock(base::seconds(5));
    entry.announce(2);
    CHECK(entry.outdated_since(1) == last_complete);

    SECTION("even if a version in between was missed") {
        const auto before = entry.now();
        entry.mark_complete();
        entry.world.move_clock(base::seconds(5));
        entry.announce(4);
        CHECK(entry.outdated_since(2) == before);
        CHECK(entry.outdated_since(1) == last_complete);
    }
}
