#include "proxy/load_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

engine_script respond_immediately(const engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "fine")}};
}

// A single entry before an engine with all slots taken, and a team that has asked for ten times the
// pool while another one asks for little.
struct share_world : tests::proxy_world {
    explicit share_world(bool enabled) {
        this->stop_clock();
        this->features().team_shares = enabled;
        this->config.teams = {{.id = {"north"}, .keys = {"k1"}}, {.id = {"south"}, .keys = {"k2"}}};
        routes::build_indexes(this->config);
        for (auto& route : this->config.routes) {
            route.prompt_affinity = true;
        }
        this->add_engine("i-1", respond_immediately);
        auto& member = this->state.fleet.members.at({"i-1"});
        member.listed.slots = 8;
        member.local_work.in_flight = 20;
        if (enabled) {
            // The entry has been running for long, and knows how long requests take.
            shares::update_pool(this->state.shares, this->pool(), {}, this->entry().now(), {});
            this->move_clock(base::seconds(5));
            for (int each = 0; each < 2000; ++each) {
                queueing::record_slot_time(this->state.queueing[this->pool()].times, "safe", 10.0,
                                           this->entry().now());
            }
            this->ask_for(80, "north");
            this->ask_for(1, "south");
        }
        this->move_clock(base::milliseconds(30));
        this->prove_config();
    }

    [[nodiscard]] base::pool_id pool() const {
        return this->config.routes.at(0).destinations.at(0).pool;
    }

    void ask_for(int requests, const std::string& team) {
        for (int each = 0; each < requests; ++each) {
            shares::admit(this->state.shares,
                          {{team}, this->pool(), base::milliseconds(500), 1, base::seconds(1)},
                          this->entry().now(), {});
        }
    }
};

// The refusals among 20 requests of a team.
std::vector<tests::caller_view> refusals(share_world& world, const std::string& key) {
    std::vector<tests::caller_view> refused;
    for (int each = 0; each < 20; ++each) {
        std::string bytes = tests::request("safe", key + "-" + std::to_string(each));
        bytes.replace(bytes.find("Bearer k1") + 7, 2, key);
        const auto seen = world.call(bytes);
        if (seen.heads.at(0).status == 429) {
            refused.push_back(seen);
        }
    }
    return refused;
}

} // namespace

TEST_CASE("a team beyond its share of an overloaded pool is refused at once", "[proxy][shares]") {
    share_world world(true);
    const auto refused = refusals(world, "k1");
    REQUIRE(refused.size() >= 10);
    CHECK(refused[0].bodies.at(0).find("\"beyond_share\"") != std::string::npos);
    CHECK(refused[0].bodies.at(0).find("\"not_run\"") != std::string::npos);
    CHECK(std::stod(std::string(http::value_of(refused[0].heads.at(0).all, "Retry-After"))) > 0.0);
    CHECK(refusals(world, "k2").empty());
}

// Guards against an effect of the feature where it is off.
TEST_CASE("shares are neither counted nor enforced unless the feature is on", "[proxy][shares]") {
    share_world world(false);
    CHECK(refusals(world, "k1").empty());
    CHECK(world.state.shares.pools.empty());
    proxy::load_exchange exchange(world.entry());
    world.move_clock(base::seconds(1));
    const auto reports = exchange.collect(20);
    CHECK_FALSE((reports.near && reports.near->loads.at(0).shares));
}
