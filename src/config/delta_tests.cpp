#include "base/random.h"
#include "config/configuration.h"
#include "config/delta.h"
#include "config/edits.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorrail;

namespace {

// One random change of an operator; the same configuration where it does not apply.
base::result<config::configuration> change(const config::configuration& config,
                                           base::random_source& random) {
    const std::string name = "u" + std::to_string(base::random_below(random, 6));
    config::upstream item;
    item.id.value = name;
    item.link = "10.0.0.1:1";
    switch (base::random_below(random, 5)) {
    case 0:
        return config::add_upstream(config, item);
    case 1:
        return config::retire_upstream(config, item.id);
    case 2:
        return config::set_upstream_state(config, item.id, config::upstream_state::draining);
    case 3:
        return config::add_preset(config, {name});
    default:
        return config::switch_preset(config, name);
    }
}

std::string canonical(const std::string& document) {
    auto parsed = config::parse_configuration(document, {1});
    REQUIRE(parsed.faults.empty());
    auto& config = parsed.config;
    const auto by_id = [](const auto& left, const auto& right) { return left.id < right.id; };
    std::sort(config.upstreams.begin(), config.upstreams.end(), by_id);
    std::sort(config.presets.begin(), config.presets.end(),
              [](const auto& left, const auto& right) { return left.name < right.name; });
    return config::to_document(config);
}

} // namespace

TEST_CASE("configuration deltas", "[config]") {
    // A node that follows by deltas must end with the same configuration as one that reads the
    // whole document; otherwise two nodes act on different rules under the same version.
    SECTION("lead to the same configuration as the documents themselves") {
        base::random_source random{3};
        auto config = config::initial_configuration();
        std::string followed = config::to_document(config);
        config::delta_log log;
        for (std::int64_t version = 1; version <= 300; ++version) {
            const std::string before = config::to_document(config);
            const auto changed = change(config, random);
            config = changed.has_value() ? changed.value() : config;
            config::append(log,
                           {{version}, config::make_changes(before, config::to_document(config))});
            const auto made = config::catch_up(followed, {version}, log);
            REQUIRE(made.has_value());
            followed = made.value();
            CHECK(canonical(followed) == canonical(config::to_document(config)));
        }
        CHECK(log.newest.size() <= config::most_deltas);
    }

    SECTION("are refused where they do not reach back far enough, or are damaged") {
        const std::string document = config::to_document(config::initial_configuration());
        config::delta_log log;
        config::append(log, {{7}, "nonsense"});
        CHECK_FALSE(config::catch_up(document, {6}, log).has_value());
        CHECK_FALSE(config::catch_up(document, {7}, log).has_value());
        CHECK_FALSE(config::parse_deltas("{").has_value());
        CHECK(config::parse_deltas(config::to_text(log)).value().newest[0].from.value == 7);
    }
}
