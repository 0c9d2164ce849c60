#include "proxy/upstream_choice.h"
#include "proxy/weights_news.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const base::model_id model{"desk-8b"};

// An entry that learns of the platform's store as the test says, and of which weights are named.
struct news_world {
    tests::proxy_world world;
    std::int64_t revision = 10;

    news_world() {
        this->world.stop_clock();
        this->read_all();
    }

    [[nodiscard]] base::instant now() { return this->world.entry().now(); }
    [[nodiscard]] mirror::store_mirror& store() { return this->world.state.store; }
    [[nodiscard]] base::instant outdated_since(std::int64_t version) {
        return proxy::outdated_since(this->world.state.weights[model], version);
    }

    // Reads the whole store, in which nothing is named yet.
    void read_all() {
        mirror::apply_snapshot(this->store(), {this->revision, {}}, this->now());
        this->see_whole();
        proxy::take_named_weights(this->world.entry(), "store");
    }

    // The store shows that nothing was missed.
    void see_whole() { mirror::record_revision(this->store(), this->revision, this->now()); }

    // A watch tells of a named version.
    void hear_of(std::int64_t version) {
        const std::string key = this->world.entry().codec.target_weights_prefix + model.value;
        const std::string value =
            R"({"model":")" + model.value + R"(","version":)" + std::to_string(version) + "}";
        ++this->revision;
        mirror::apply_changes(this->store(),
                              {this->revision, {{{key, value, this->revision}, false}}});
        proxy::take_named_weights(this->world.entry(), "store");
    }
};

} // namespace

// Guards against requests on outdated weights beyond the bound after an entry stood still, or was
// cut off, while newer ones were named.
TEST_CASE("weights are outdated from when the newer ones can have been named", "[proxy]") {
    news_world entry;
    const auto seen_whole = entry.now();
    entry.world.move_clock(base::seconds(5));
    entry.hear_of(2);
    CHECK(entry.outdated_since(1) == seen_whole);

    SECTION("also where a version in between was never heard of") {
        const auto before = entry.now();
        entry.see_whole();
        entry.world.move_clock(base::seconds(5));
        entry.hear_of(4);
        CHECK(entry.outdated_since(2) == before);
        CHECK(entry.outdated_since(1) == seen_whole);
    }
}
