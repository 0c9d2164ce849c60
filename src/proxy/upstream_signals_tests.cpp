#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace camphorrail;
using base::milliseconds;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

engine_script echo(const engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
}

engine_script reply(const engine_request& got, int status, const std::string& more_fields) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "", status, more_fields)}};
}

engine_script reply_leaving(const engine_request& got) {
    return reply(got, 200, "Server-Leaving: 1\r\n");
}

engine_script reply_with_pause(const engine_request& got) {
    return reply(got, 503, "Not-Executed: 1\r\nRetry-After: 4\r\n");
}

// Sends a request every 100 ms of the entry's clock, or less often on a slow machine, until the
// clock reaches the end; returns the status of each.
std::vector<int> call_until(tests::proxy_world& world, base::instant end, const std::string& name) {
    constexpr milliseconds pause{100};
    std::vector<int> statuses;
    while (world.entry().now() + pause < end) {
        world.move_clock(pause);
        world.prove_config();
        const std::string id = name + "-" + std::to_string(statuses.size());
        const auto seen = world.call(tests::request("safe", id, "body"));
        statuses.push_back(seen.heads.empty() ? 0 : seen.heads[0].status);
    }
    return statuses;
}

std::vector<int> call_during(tests::proxy_world& world, milliseconds span,
                             const std::string& name) {
    return call_until(world, world.entry().now() + span, name);
}

bool all_are(const std::vector<int>& statuses, int wanted) {
    return std::all_of(statuses.begin(), statuses.end(),
                       [wanted](int each) { return each == wanted; });
}

// After this time a draining upstream must receive no more requests.
constexpr milliseconds drain{2000};

} // namespace

// Guards against requests that reach an upstream which has announced in its responses that it is
// draining, until it is gone and they are lost. The platform's store, which would list the drain,
// is unavailable.
TEST_CASE("an upstream that announces its drain in a response gets no more requests",
          "[proxy][words]") {
    tests::proxy_world world;
    auto& leaving = world.add_engine("i-1", echo);
    auto& staying = world.add_engine("i-2", echo);
    // By load alone, each request would go to the draining upstream.
    world.state.fleet.members.at({"i-2"}).local_work.in_flight = 3;
    const auto answer =
        GENERATE(as<std::string>{}, "a success", "a refusal", "an error", "the head of a stream");
    CAPTURE(answer);
    const auto script = [&answer](const engine_request& got) -> engine_script {
        const std::string id = got.field("Request-Id");
        if (answer == "a refusal") {
            return reply(got, 503, "Not-Executed: 1\r\nServer-Leaving: 1\r\n");
        }
        if (answer == "an error") {
            return reply(got, 500, "Server-Leaving: 1\r\n");
        }
        if (answer == "the head of a stream") {
            std::string head = tests::stream_head(id);
            head.insert(head.size() - 2, "Server-Leaving: 1\r\n");
            return {{step::kind::send, head}, {step::kind::hang, {}}};
        }
        return reply_leaving(got);
    };
    const std::string route = answer == "the head of a stream" ? "stream" : "safe";
    leaving.set_answer(script);
    for (int each = 0; each < 50 && leaving.requests.empty(); ++each) {
        int turns_after = 0;
        world.call_until(tests::request(route, "first-" + std::to_string(each), "body"), [&] {
            constexpr int enough_to_be_read = 20;
            turns_after += leaving.requests.empty() ? 0 : 1;
            return turns_after > enough_to_be_read || !world.last_seen().heads.empty();
        });
    }
    REQUIRE(leaving.requests.size() == 1);
    call_during(world, drain, "meanwhile");
    const auto before = leaving.requests.size();
    const auto statuses = call_during(world, milliseconds(3000), "late");
    CHECK(leaving.requests.size() == before);
    CHECK(all_are(statuses, 200));
    CHECK_FALSE(staying.requests.empty());

    SECTION("also if the list shows it as ready again, or lists it anew after it expired") {
        auto listed = world.state.fleet.members.at({"i-1"}).listed;
        const auto other = world.state.fleet.members.at({"i-2"}).listed;
        fleet::apply_list(world.state.fleet, {listed, other}, world.entry().now());
        fleet::apply_list(world.state.fleet, {other}, world.entry().now());
        world.leave();
        world.run_until([&world] { return world.open_requests() == 0; });
        world.move_clock(base::seconds(3));
        fleet::prune_unlisted(world.state.fleet, world.entry().now(), {});
        REQUIRE(world.state.fleet.members.count({"i-1"}) == 0);
        fleet::apply_list(world.state.fleet, {listed, other}, world.entry().now());
        call_during(world, milliseconds(500), "listed");
        CHECK(leaving.requests.size() == before);
    }
    SECTION("and other entries are notified once") {
        REQUIRE(world.told.size() == 1);
        const auto received = peering::decode(peering::encode({world.told.at(0)}));
        REQUIRE(received.has_value());
        CHECK(std::get<peering::upstream_draining>(received.value().payload).upstream.id.value ==
              "i-1");
    }
    SECTION("until it restarts") {
        auto& one = world.state.fleet.members.at({"i-1"});
        one.listed.incarnation = {5};
        fleet::start_incarnation(one, {6});
        leaving.set_answer(echo);
        call_during(world, milliseconds(500), "again");
        CHECK(leaving.requests.size() > before);
    }
}

// Guards against taking a signal from another engine that now has the address for one from the
// engine that had it before.
TEST_CASE("a signal from another engine at the same address does not apply to the intended one",
          "[proxy][words]") {
    tests::proxy_world world;
    auto& engine = world.add_engine(
        "i-1", [](const engine_request& got) { return reply(got, 421, "Server-Leaving: 1\r\n"); });
    world.call(tests::request("safe", "r1", "body"));
    REQUIRE(engine.requests.size() == 1);
    CHECK_FALSE(world.state.fleet.members.at({"i-1"}).drain_reported_at);
}

// Guards against requests that are sent to draining upstreams for as long as they are listed
// because no other is left in the pool.
TEST_CASE("requests to a pool whose upstreams are all draining are refused at once",
          "[proxy][words]") {
    tests::proxy_world world;
    auto& first = world.add_engine("i-1", reply_leaving);
    auto& second = world.add_engine("i-2", reply_leaving);
    call_during(world, drain + milliseconds(200), "meanwhile");
    const auto before = first.requests.size() + second.requests.size();
    const auto statuses = call_during(world, milliseconds(2000), "late");
    CHECK(first.requests.size() + second.requests.size() == before);
    CHECK(all_are(statuses, 503));
}

// Guards against sending to an upstream again after some milliseconds, over and over, although it
// has asked for a pause.
TEST_CASE("an upstream that asks for a pause gets no requests during it", "[proxy][words]") {
    tests::proxy_world world;
    auto& paused = world.add_engine("i-1", reply_with_pause);

    SECTION("while others serve") {
        world.add_engine("i-2", echo);
        const base::instant requested_at = world.entry().now();
        CHECK(world.call(tests::request("safe", "first", "body")).heads.at(0).status == 200);
        REQUIRE(paused.requests.size() == 1);
        paused.set_answer(echo);
        CHECK(all_are(call_until(world, requested_at + milliseconds(3800), "pause"), 200));
        CHECK(paused.requests.size() <= 3);
        call_until(world, requested_at + milliseconds(8000), "after");
        CHECK(paused.requests.size() > 3);
    }
    SECTION("also if there is no other, and clients are told when it ends") {
        const base::instant requested_at = world.entry().now();
        const auto seen = world.call(tests::request("safe", "first", "body"));
        CHECK(seen.heads.at(0).status == 503);
        const auto hint = std::string(http::value_of(seen.heads[0].all, "Retry-After"));
        CHECK(std::stod(hint) == Approx(4.0).margin(0.5));
        paused.set_answer(echo);
        CHECK(all_are(call_until(world, requested_at + milliseconds(3800), "pause"), 503));
        CHECK(paused.requests.size() <= 3);
        CHECK(call_until(world, requested_at + milliseconds(8000), "after").back() == 200);
    }
}
