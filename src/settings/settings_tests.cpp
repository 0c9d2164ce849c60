#include "settings/settings.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorrail;

namespace {

const std::string good = R"(role: agent
id: pool-1
availability_zone: a
listen: 127.0.0.1:18101
operators_listen: 127.0.0.1:18102
upstream: 127.0.0.1:18103
platform:
  endpoint: 127.0.0.1:18070
)";

} // namespace

TEST_CASE("settings", "[settings]") {
    SECTION("that are whole are read into an aggregate, with defaults for the rest") {
        const auto parsed = settings::parse_settings(good);
        REQUIRE(parsed.faults.empty());
        const auto& agent = std::get<settings::agent_settings>(parsed.settings);
        CHECK(agent.id.value == "pool-1");
        CHECK(agent.platform.poll == base::milliseconds(5000));
    }

    SECTION("of a proxy turn on no feature that is not asked for") {
        const std::string proxy =
            "role: proxy\nid: e-1\navailability_zone: a\n"
            "listen: 127.0.0.1:18101\nready_listen: 127.0.0.1:18102\n"
            "operators_listen: 127.0.0.1:18103\npeer_listen: 127.0.0.1:18104\n"
            "platform:\n  endpoint: 127.0.0.1:18070\n";
        const auto plain = settings::parse_settings(proxy);
        REQUIRE(plain.faults.empty());
        const auto& off = std::get<settings::proxy_settings>(plain.settings);
        CHECK_FALSE(off.features.team_shares);
        CHECK(off.memory_mb == settings::default_memory_mb);
        const auto asked = settings::parse_settings(proxy + "  agreements: [base, pressure]\n"
                                                            "features:\n  rank_queueing: true\n"
                                                            "limits:\n  memory_mb: 88\n");
        REQUIRE(asked.faults.empty());
        const auto& on = std::get<settings::proxy_settings>(asked.settings);
        CHECK(on.platform.agreements.size() == 2);
        CHECK(on.features.rank_queueing);
        CHECK_FALSE(on.features.shared_suspicion);
        CHECK(on.memory_mb == 88);
    }

    SECTION("with several faults report each with its line and number") {
        const auto parsed = settings::parse_settings(good + "lisen: 1\nmax_running: many\nlimits:\n"
                                                            "  max_body_bytes: 3\n");
        REQUIRE(parsed.faults.size() == 3);
        CHECK(settings::to_string(parsed.faults[0], "a.yaml") ==
              "a.yaml:10: error 105: 'max_running' must be a whole number from 1 to 10000");
        CHECK(parsed.faults[1].line == 12);
        CHECK(parsed.faults[2].number == base::code::settings_unknown_key);
        CHECK(parsed.faults[2].line == 9);
    }

    SECTION("without a required key, with a host name or a bad port are refused") {
        std::string text = good;
        text.replace(text.find("127.0.0.1:18101"), 15, "engine.local:90");
        CHECK(settings::parse_settings(text).faults.at(0).number == base::code::settings_bad_value);
        CHECK(settings::parse_settings("role: entry").faults.size() >= 4);
    }

    SECTION("that are not YAML, not a mapping or of no known role are refused") {
        CHECK(settings::parse_settings("a: [").faults.at(0).number == base::code::settings_syntax);
        CHECK_FALSE(settings::parse_settings("- a\n- b").faults.empty());
        CHECK_FALSE(settings::parse_settings("role: captain").faults.empty());
        CHECK(settings::load_settings("/nonexistent").faults.at(0).number ==
              base::code::settings_unreadable);
    }
}
