#include "base/random.h"
#include "config/edits.h"
#include "process/config_keeper.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

std::string document_with(const std::string& preset) {
    return config::to_document(
        config::add_preset(config::initial_configuration(), {preset}).value());
}

} // namespace

TEST_CASE("the configuration in force", "[process]") {
    process::config_keeper keeper;
    int changes = 0;
    keeper.changed.connect([&changes] { ++changes; });

    SECTION("moves to a higher version and is not there before the first") {
        CHECK_FALSE(keeper.ready());
        CHECK(keeper.offer({5}, document_with("peak")));
        CHECK(keeper.ready());
        CHECK(changes == 1);
    }

    // An operator drains an upstream (version 9). A peer that has not heard of it yet sends its
    // own, version 7, and the platform's answer to an earlier read comes last. Going back would
    // send new work to an upstream that leaves.
    SECTION("never goes back, in whatever order words of it arrive") {
        base::random_source random{7};
        std::int64_t highest = 0;
        for (int word = 0; word < 300; ++word) {
            const auto version = static_cast<std::int64_t>(1 + base::random_below(random, 100));
            const bool taken =
                keeper.offer({version}, document_with("p" + std::to_string(version)));
            CHECK(taken == (version > highest));
            highest = std::max(highest, version);
            CHECK(keeper.version().value == highest);
            CHECK(keeper.current().config.presets[1].name == "p" + std::to_string(highest));
        }
    }

    SECTION("stays as it is when a document is refused") {
        keeper.offer({5}, document_with("peak"));
        CHECK_FALSE(keeper.offer({6}, "{}"));
        CHECK(keeper.version().value == 5);
        CHECK(keeper.offer({7}, document_with("night")));
    }
}
