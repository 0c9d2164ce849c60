#include "mirrored_store.h"
#include "proxy/cache_space_record.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

// An entry that leads, with an engine and two teams that send prompts.
struct two_teams {
    tests::proxy_world world;
    tests::mirrored_store store{this->world.state.store};
    proxy::cache_space_record record{this->world.entry(), this->store.calls_to(),
                                     [this] { return this->is_leader; }};
    bool is_leader = true;
    int requests = 0;
    tests::scripted_engine& engine;

    two_teams() : engine(this->add_engine("i-1")) {
        for (auto& route : this->world.config.routes) {
            route.prompt_affinity = true;
        }
        this->world.config.teams.push_back({.id = {"south"}, .keys = {"k2"}});
        proxy::record_target(this->world.state.weights[{"desk-8b"}], 1, {});
        this->isolate(false, false);
    }

    tests::scripted_engine& add_engine(const std::string& id) {
        auto& added = this->world.add_engine(id, [](const engine_request& got) {
            return engine_script{
                {step::kind::send, tests::answer(got.field("Request-Id"), tests::event(1))}};
        });
        this->world.state.fleet.members.at({id}).listed.models = {{{"desk-8b"}, 1}};
        return added;
    }

    // Operators isolate teams; the record is brought up to date if a leader does so.
    void isolate(bool north, bool south) {
        this->world.config.teams.at(0).isolated = north;
        this->world.config.teams.at(1).isolated = south;
        routes::build_indexes(this->world.config);
        this->world.move_clock(base::seconds(2));
        this->world.prove_config();
        this->record.tick();
        this->apply_record();
    }

    void apply_record() { this->record.apply({this->record_key()}); }
    // The entry starts again and reads the store.
    void restart() {
        this->world.state.cache_spaces = {};
        this->world.state.recorded_exclusions = {};
        proxy::update_cache_spaces(this->world.state);
        this->apply_record();
    }

    std::string record_key() { return this->world.entry().codec.own_prefix + "cache_spaces"; }

    std::string prompt(const std::string& key) {
        const std::string id = "r" + std::to_string(++this->requests);
        return "POST /resume/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer " + key +
               "\r\nModel-Name: desk-8b\r\nToken-Count: 9190,40\r\n" +
               "Prompt-Prefix: 0a:2520,0b:3780,0c:2890\r\nRequest-Id: " + id + "\r\n\r\n";
    }

    // The cache salt with which the team's next prompt reaches the engine.
    std::string salt_of(const std::string& key) {
        this->world.call(this->prompt(key));
        REQUIRE(this->engine.requests.size() == static_cast<std::size_t>(this->requests));
        return this->engine.requests.back().field("Cache-Salt");
    }
    std::string north() { return this->salt_of("k1"); }
    std::string south() { return this->salt_of("k2"); }
};

} // namespace

// Guards against teams that go on using what a team had cached before it was isolated.
TEST_CASE("a team that is isolated leaves its earlier cached parts to nobody",
          "[proxy][isolation]") {
    two_teams teams;
    const std::string before = teams.north();
    CHECK(teams.south() == before);
    teams.isolate(true, false);
    const std::string isolated = teams.north();
    const std::string others = teams.south();
    CHECK(isolated != before);
    CHECK(others != before);
    CHECK(others != isolated);

    SECTION("also after a restart") {
        teams.restart();
        CHECK(teams.north() == isolated);
        CHECK(teams.south() == others);
    }
    SECTION("also where the isolation moves to another team") {
        teams.isolate(false, true);
        CHECK(teams.north() != others);
        CHECK(teams.north() != before);
        CHECK(teams.south() != before);
        CHECK(teams.south() != others);
    }
    SECTION("lifting the isolation costs neither team its cache, also after a restart") {
        teams.isolate(false, false);
        CHECK(teams.north() == isolated);
        CHECK(teams.south() == others);
        teams.restart();
        CHECK(teams.north() == isolated);
        CHECK(teams.south() == others);
        teams.isolate(true, false);
        CHECK(teams.north() == isolated);
        CHECK(teams.south() == others);
    }
    SECTION("without a record, lifting the isolation leads back to the space before") {
        teams.world.state.store.items.erase(teams.record_key());
        teams.apply_record();
        CHECK(teams.south() == others);
        teams.is_leader = false;
        teams.isolate(false, false);
        CHECK(teams.north() == before);
        CHECK(teams.south() == before);
        teams.isolate(true, false);
        CHECK(teams.north() == isolated);
        CHECK(teams.south() == others);
    }
}

// Guards against a change of the configuration that makes all caches cold although it isolates
// nobody.
TEST_CASE("changes that isolate no further team cost no cache", "[proxy][isolation]") {
    two_teams teams;
    CHECK(teams.store.calls == 0);
    teams.isolate(true, false);
    CHECK(teams.store.calls == 1);
    const std::string isolated = teams.north();
    const std::string others = teams.south();
    teams.world.config.teams.push_back({.id = {"west"}, .keys = {"k3"}});
    teams.isolate(true, false);
    CHECK(teams.north() == isolated);
    CHECK(teams.south() == others);
    CHECK(teams.salt_of("k3") == others);
    CHECK(teams.store.calls == 1);
}

// Guards against a retry that goes by the configuration under which its request was admitted.
TEST_CASE("a retry uses the cache space of the configuration in force", "[proxy][isolation]") {
    two_teams teams;
    const std::string before = teams.south();
    teams.engine.answer_next_with({{step::kind::hold, {}}, {step::kind::close, {}}});
    teams.world.call_until(teams.prompt("k2"), [&] { return teams.engine.requests.size() == 2; });
    auto& other = teams.add_engine("i-2");
    teams.isolate(true, false);
    REQUIRE(teams.world.run_until([&] {
        teams.engine.go_on();
        return !other.requests.empty();
    }));
    CHECK(teams.engine.requests.back().field("Cache-Salt") == before);
    CHECK(other.requests.front().field("Cache-Salt") != before);
}

TEST_CASE("the record of excluded teams", "[proxy][isolation]") {
    two_teams teams;

    SECTION("is left to the leader") {
        teams.is_leader = false;
        teams.isolate(true, false);
        CHECK(teams.store.calls == 0);
        CHECK(teams.world.state.cache_spaces.excluded.size() == 1);
    }
    SECTION("is written again if a restored store has lost it") {
        teams.isolate(true, false);
        teams.world.state.store.items.erase(teams.record_key());
        teams.apply_record();
        teams.world.move_clock(base::seconds(2));
        teams.record.tick();
        CHECK(teams.store.calls == 2);
        teams.apply_record();
        CHECK(teams.world.state.recorded_exclusions.size() == 1);
    }
    SECTION("counts as missing if it makes no sense") {
        for (const char* text : {"", "[]", "{}", R"({"excluded":"north"})", R"({"excluded":[1]})",
                                 R"({"excluded":null})", "\xff"}) {
            CAPTURE(text);
            teams.world.state.store.items[teams.record_key()] = {teams.record_key(), text, 1};
            teams.apply_record();
            CHECK(teams.world.state.recorded_exclusions.empty());
        }
        teams.isolate(true, false);
        CHECK(teams.world.state.cache_spaces.excluded.size() == 1);
    }
}
