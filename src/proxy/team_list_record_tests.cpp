#include "mirrored_store.h"
#include "platform/configuration_document.h"
#include "proxy/team_list_record.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

// An entry that leads, and the operators' documents that it gets.
struct deployment {
    tests::proxy_world world;
    tests::mirrored_store store{this->world.state.store};
    proxy::team_list_record record{this->world.entry(), this->store.calls_to(),
                                   [] { return true; }};

    deployment() {
        this->world.add_engine("i-1", [](const tests::engine_request& got) {
            return tests::engine_script{
                {tests::engine_step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
        });
        this->world.state.has_had_teams = false;
    }

    void apply(const std::string& teams) {
        const auto read = platform::read_configuration(
            R"({"version":9,"services":[{"name":"pool"}],"routes":[{"host":"desk.example",)"
            R"("prefix":"/once/","kind":"unsafe","service":"pool"}])" +
            teams + "}");
        this->world.config = read.value();
        this->world.prove_config();
        this->world.move_clock(base::seconds(2));
        this->world.prove_config();
        this->record.tick();
    }

    // The entry starts again, and reads the store.
    void restart() {
        this->world.state.has_had_teams = false;
        this->record.apply({this->world.entry().codec.own_prefix + "teams_listed"});
    }

    int status_of_call(const std::string& id) {
        return this->world.call(tests::request("once", id)).heads.at(0).status;
    }
};

const std::string one_team = R"(,"tenants":[{"name":"north","keys":["k1"]}])";

} // namespace

// Guards against admitting every request once a configuration leaves out the list of teams that the
// one before it had.
TEST_CASE("a deployment that has had teams goes on asking for keys", "[proxy]") {
    deployment one;
    one.apply(one_team);
    REQUIRE(one.status_of_call("r1") == 200);
    one.apply("");
    CHECK(one.status_of_call("r2") == 401);

    SECTION("also after a restart") {
        one.restart();
        CHECK(one.status_of_call("r3") == 401);
    }
    SECTION("also after the store has lost the record") {
        one.store.mirror.items.clear();
        one.apply("");
        one.restart();
        CHECK(one.status_of_call("r3") == 401);
    }
    SECTION("and serves the keys of teams that are listed again") {
        one.apply(one_team);
        CHECK(one.status_of_call("r3") == 200);
    }
}

TEST_CASE("a deployment that has never had teams asks for no keys", "[proxy]") {
    deployment one;
    one.apply("");
    CHECK(one.status_of_call("r1") == 200);
    one.restart();
    CHECK(one.status_of_call("r2") == 200);
    CHECK(one.store.calls == 0);
}
