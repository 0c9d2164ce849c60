#include "proxy/load_exchange.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

engine_script respond_immediately(const engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "fine")}};
}

// A single entry that has been running for long, with two teams of which one has a quota.
struct quota_world : tests::proxy_world {
    explicit quota_world(routes::team_quota quota) {
        this->stop_clock();
        this->config.teams = {{.id = {"north"}, .keys = {"k1"}, .quota = quota},
                              {.id = {"south"}, .keys = {"k2"}}};
        routes::build_indexes(this->config);
        this->apply_limits();
        this->move_clock(base::seconds(60));
        this->apply_limits();
        this->move_clock(base::seconds(60));
        this->prove_config();
    }

    void apply_limits() {
        quota::set_limits(this->state.quotas, this->config.teams, this->entry().now(),
                          proxy::quota_rules_of({}));
    }

    [[nodiscard]] std::int64_t used() { return this->state.quotas.teams.at({"north"}).used; }

    int status_of(const std::string& bytes) { return this->call(bytes).heads.at(0).status; }
};

std::string with_tokens(const std::string& bytes, const std::string& count) {
    std::string changed = bytes;
    changed.insert(changed.find("Request-Id"), "Token-Count: " + count + "\r\n");
    return changed;
}

std::string of_south(const std::string& bytes) {
    std::string changed = bytes;
    return changed.replace(changed.find("k1"), 2, "k2");
}

} // namespace

TEST_CASE("requests beyond a team's quota are refused at once and not executed", "[proxy][quota]") {
    quota_world world({routes::quota_unit::requests, 0.5, 3, 1});
    auto& engine = world.add_engine("i-1", respond_immediately);
    int served = 0;
    for (int each = 0; each < 20; ++each) {
        const auto seen = world.call(tests::request("safe", "r" + std::to_string(each)));
        served += seen.heads.at(0).status == 200 ? 1 : 0;
    }
    CHECK(served >= 3);
    CHECK(served <= 5);
    CHECK(engine.requests.size() == static_cast<std::size_t>(served));

    SECTION("with a code of their own and a retry time") {
        const auto seen = world.call(tests::request("safe", "over"));
        CHECK(seen.heads.at(0).status == 429);
        CHECK(seen.bodies.at(0).find("\"quota_spent\"") != std::string::npos);
        CHECK(seen.bodies.at(0).find("\"not_run\"") != std::string::npos);
        CHECK(std::stod(std::string(http::value_of(seen.heads.at(0).all, "Retry-After"))) > 0.0);
    }
    SECTION("while another team is not affected") {
        for (int each = 0; each < 10; ++each) {
            CHECK(world.status_of(of_south(tests::request("safe", std::to_string(each)))) == 200);
        }
    }
    SECTION("until the quota has room again") {
        world.move_clock(base::seconds(10));
        world.prove_config();
        CHECK(world.status_of(tests::request("safe", "later")) == 200);
    }
}

TEST_CASE("a token quota counts both token numbers of a request", "[proxy][quota]") {
    quota_world world({routes::quota_unit::tokens, 10'000, 10'000, 200});
    world.add_engine("i-1", respond_immediately);
    CHECK(world.status_of(with_tokens(tests::request("safe", "r1"), "900,60")) == 200);
    CHECK(world.used() == 960);
    CHECK(world.status_of(tests::request("safe", "plain")) == 200);
    CHECK(world.used() == 960 + 200);

    SECTION("and a request with invalid numbers is refused as malformed") {
        const std::string count = GENERATE("", "7", "1,2,3", "-1,5", "5,-1", "x,5",
                                           "99999999999999999999,1", "1099511627777,0");
        const auto seen = world.call(with_tokens(tests::request("safe", "r2"), count));
        CHECK(seen.heads.at(0).status == 400);
        CHECK(seen.bodies.at(0).find("token_count_malformed") != std::string::npos);
        CHECK(world.used() == 960 + 200);
    }
    SECTION("and a huge request is refused without affecting the others") {
        CHECK(world.status_of(with_tokens(tests::request("safe", "huge"),
                                          "1099511627776,1099511627776")) == 429);
        CHECK(world.status_of(with_tokens(tests::request("safe", "r3"), "900,60")) == 200);
    }
}

// Guards against charging a team's quota for requests that no upstream has executed.
TEST_CASE("only requests that an upstream may have executed count towards the quota",
          "[proxy][quota]") {
    quota_world world({routes::quota_unit::requests, 100, 100, 1});

    SECTION("a request that finds no upstream does not count") {
        CHECK(world.status_of(tests::request("safe", "r1")) == 503);
        CHECK(world.used() == 0);
    }
    SECTION("a request that its upstreams refuse does not count") {
        world.add_engine("i-1", [](const engine_request& got) {
            return engine_script{{step::kind::send, tests::answer(got.field("Request-Id"), "full",
                                                                  503, "Not-Executed: 1\r\n")}};
        });
        CHECK(world.status_of(tests::request("once", "r1")) != 200);
        CHECK(world.used() == 0);
    }
    SECTION("a request whose client disconnected during its execution counts") {
        auto& engine = world.add_engine("i-1", [](const engine_request&) {
            return engine_script{{step::kind::hang, {}}};
        });
        world.call_until(tests::request("once", "r1"),
                         [&engine] { return engine.requests.size() == 1; });
        world.leave();
        REQUIRE(world.run_until([&world] { return world.open_requests() == 0; }));
        CHECK(world.used() == 1);
    }
    SECTION("a request that a second upstream began counts twice") {
        world.add_engine("i-1", [](const engine_request&) {
            return engine_script{{step::kind::reset, {}}};
        });
        world.add_engine("i-2", [](const engine_request&) {
            return engine_script{{step::kind::reset, {}}};
        });
        CHECK(world.status_of(tests::request("safe", "r1")) == 502);
        CHECK(world.used() == 2);
    }
}

TEST_CASE("entries report to each other how much of a quota they have admitted", "[proxy][quota]") {
    quota_world sender({routes::quota_unit::tokens, 10'000, 10'000, 200});
    quota_world receiver({routes::quota_unit::tokens, 10'000, 10'000, 200});
    sender.add_engine("i-1", respond_immediately);
    receiver.add_engine("i-1", respond_immediately);
    proxy::load_exchange sender_exchange{sender.entry()};
    proxy::load_exchange receiver_exchange{receiver.entry()};
    const auto exchange_report = [&] {
        const auto report = sender_exchange.collect(1);
        REQUIRE(report.near.has_value());
        const auto received = peering::decode(peering::encode({*report.near}));
        receiver_exchange.receive(std::get<peering::load_report>(received.value().payload), false);
    };
    exchange_report();
    for (int each = 0; each < 9; ++each) {
        sender.status_of(with_tokens(tests::request("safe", std::to_string(each)), "1000,0"));
    }
    exchange_report();
    const auto& account = receiver.state.quotas.teams.at({"north"});
    REQUIRE(account.remote_counts.size() == 1);
    CHECK(account.remote_counts.at(0).used == sender.used());
    CHECK(account.balance < 10'000 - 8000);

    SECTION("and report that they are alive when there is nothing else to report") {
        sender.move_clock(base::milliseconds(400));
        CHECK(sender_exchange.collect(1).near.has_value());
        sender.move_clock(base::milliseconds(400));
        CHECK(sender_exchange.collect(1).near.has_value());
    }
}
