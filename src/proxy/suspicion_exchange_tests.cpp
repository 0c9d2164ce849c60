#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <variant>

using namespace camphorrail;
using base::milliseconds;
using step = tests::engine_step;

namespace {

tests::engine_script echo(const tests::engine_request& got) {
    return {{step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
}

tests::engine_script hang(const tests::engine_request&) {
    return {{step::kind::hang, {}}};
}

// An entry with three others, two responding upstreams and one that hangs.
struct suspicion_world : tests::proxy_world {
    base::upstream_instance silent{{"i-1"}, {}};
    tests::scripted_engine* silent_engine = nullptr;
    bool responds = false;
    int calls = 0;

    explicit suspicion_world(bool on = true) {
        this->prove_config();
        this->features().shared_suspicion = on;
        this->linked = {{{"a"}, {}}, {{"b"}, {}}, {{"c"}, {}}};
        this->silent_engine = &this->add_engine(
            "i-1", [this](const auto& got) { return this->responds ? echo(got) : hang(got); });
        this->add_engine("i-2", echo);
        this->add_engine("i-3", echo);
    }

    fleet::member& member() { return this->state.fleet.members.at(this->silent.id); }
    bool report(const char* from) {
        return this->suspicion_exchange().receive(
            {from}, peering::suspicion{this->silent, milliseconds(1000), "silent", false},
            this->entry().now());
    }
    bool become_common() {
        this->report("a");
        this->report("b");
        return this->run_until(
            [this] { return this->member().common == fleet::common_suspicion::excluded; });
    }
    int status(const std::string& route = "safe") {
        this->prove_config();
        const auto seen = this->call(tests::request(route, "r" + std::to_string(++this->calls)));
        return seen.heads.empty() ? 0 : seen.heads[0].status;
    }
    // Makes this entry the prober: the first turn that is its own begins.
    void begin_own_turn() {
        const auto entries = this->suspicion_exchange().listed_entries();
        for (std::int64_t turn = 0;
             outliers::prober(this->silent.id, turn, entries) != this->entry().settings.id;
             ++turn) {
            this->move_clock(outliers::outlier_rules{}.probe_turn);
        }
        this->suspicion_exchange().tick();
    }
    std::size_t logged(const std::string& event) {
        const auto lines = this->log_lines();
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
                return line.find('"' + event + '"') != std::string::npos;
            }));
    }
};

} // namespace

// Guards against a change of behaviour where the feature is off.
TEST_CASE("reports of other entries have no common effect unless asked for", "[proxy][outliers]") {
    suspicion_world world(false);
    CHECK_FALSE(world.report("a"));
    CHECK_FALSE(world.report("b"));
    world.suspicion_exchange().record_failure(world.silent, milliseconds(0), "silent");
    CHECK(world.told.empty());
    world.suspicion_exchange().tick();
    CHECK(world.member().common == fleet::common_suspicion::none);
    CHECK_FALSE(fleet::is_suspected(world.member(), world.entry().now()));
    CHECK_FALSE(proxy::shares_suspicions(world.features(), false));
    CHECK(proxy::shares_suspicions(world.features(), true));
}

// Guards against requests that wait at a silent upstream for as long as each of them takes to
// notice, and against the abortion of those that may not be repeated.
TEST_CASE("attempts that may be repeated leave an upstream that becomes suspected",
          "[proxy][outliers]") {
    suspicion_world world;
    for (const char* busy : {"i-2", "i-3"}) {
        world.state.fleet.members.at({busy}).local_work.in_flight = 9;
    }
    const std::string route = GENERATE(std::string("safe"), std::string("once"));
    bool suspected = false;
    const auto seen = world.call_until(tests::request(route, "r1"), [&] {
        if (!suspected && !world.silent_engine->requests.empty()) {
            suspected = true;
            world.report("a");
            world.report("b");
        }
        return (route == "once" || !world.last_seen().heads.empty()) &&
               world.member().common == fleet::common_suspicion::excluded;
    });
    CHECK(seen.heads.size() == (route == "safe" ? 1 : 0));
    CHECK(world.open_requests() == (route == "safe" ? 0 : 1));
    CHECK(world.silent_engine->requests.size() == 1);
}

// Guards against upstreams that every entry tries in turn while they are silent, and against ones
// that get no more requests after they have recovered.
TEST_CASE("only the entry whose turn it is probes a suspected upstream", "[proxy][outliers]") {
    suspicion_world world;
    REQUIRE(world.become_common());
    CHECK(world.logged("upstream_commonly_suspected") == 1);
    for (int each = 0; each < 6; ++each) {
        CHECK(world.status() == 200);
    }
    CHECK(world.silent_engine->requests.empty());
    world.responds = true;
    world.begin_own_turn();
    REQUIRE(
        world.run_until([&] { return fleet::awaits_probe(world.member(), world.entry().now()); }));
    // What may not be repeated is no probe.
    CHECK(world.status("once") == 200);
    CHECK(world.silent_engine->requests.empty());
    CHECK(world.status() == 200);
    CHECK(world.silent_engine->requests.size() == 1);
    CHECK(world.member().common == fleet::common_suspicion::none);
    CHECK(world.logged("upstream_suspicion_cleared") == 1);
    CHECK(world.told.size() == 1);
    CHECK(std::holds_alternative<peering::upstream_responding>(world.told[0]));
}

// Guards against requests that are risked at a VM that takes no connections, and against a
// suspicion that another entry has ended.
TEST_CASE("a probe without a connection risks no request", "[proxy][outliers]") {
    suspicion_world world;
    REQUIRE(world.become_common());
    world.silent_engine->stop_listening();
    world.begin_own_turn();
    REQUIRE(world.run_until([&] {
        return world.entry().metrics.text().find("result=\"failed\"") != std::string::npos;
    }));
    CHECK(world.member().probe_until == base::instant{});
    CHECK(world.status() == 200);
    CHECK(world.silent_engine->requests.empty());
    world.move_clock(milliseconds(20));
    world.suspicion_exchange().receive(
        {"a"}, peering::upstream_responding{world.silent, milliseconds(10)}, world.entry().now());
    CHECK(fleet::is_eligible(world.member(), world.entry().now()));
}
