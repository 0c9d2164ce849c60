#include "proxy/upstream_speeds.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace camphorrail;

namespace {

// An engine whose responses carry the fields of the moment.
struct stating_world {
    std::string fields;
    int status = 200;
    tests::proxy_world world;

    stating_world() {
        this->world.add_engine("engine", [this](const auto& got) {
            const auto id = got.field("Request-Id");
            return tests::engine_script{{tests::engine_step::kind::send,
                                         tests::answer(id, "", this->status, this->fields)}};
        });
    }

    fleet::member& engine() { return this->world.state.fleet.members.at({"engine"}); }

    std::size_t lines_after_call(const std::string& id, const std::string& event) {
        this->world.call(tests::request("safe", id, "body"));
        proxy::update_upstream_speeds(this->world.entry());
        const auto lines = this->world.log_lines();
        return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [&](const auto& line) {
                return line.find("\"" + event + "\"") != std::string::npos;
            }));
    }
};

} // namespace

TEST_CASE("factors are in force while an upstream of the pool states slowdowns", "[speed]") {
    stating_world world;
    world.fields = "Server-Load: 1,0,8\r\n";
    CHECK(world.lines_after_call("r1", "speed_factors_in_force") == 0);
    CHECK_FALSE(world.engine().speed.in_force);
    world.fields = "Server-Load: 1,0,8,250,7\r\n";
    CHECK(world.lines_after_call("r2", "speed_factors_in_force") == 1);
    CHECK(world.engine().speed.in_force);
    CHECK(world.engine().load->slowdown == 2.5);

    SECTION("they are discarded with the incarnation, whose late samples are ignored") {
        const auto ended = fleet::instance_of(world.engine());
        fleet::start_incarnation(world.engine(), {77});
        kvcache::prompt_prefill late{{{1, 4000}}, 100, 1, ended};
        late.first_byte = {{4000.0, 0.0, 0.0}, 900.0};
        proxy::record_prompt_read(world.world.entry(), late);
        CHECK(world.world.state.latency.empty());
        CHECK_FALSE(world.engine().speed.stated);
    }
    SECTION("a minute after the last statement they no longer are") {
        world.world.move_clock(base::seconds(61));
        proxy::update_upstream_speeds(world.world.entry());
        CHECK_FALSE(world.engine().speed.in_force);
    }
    // The address now belongs to another upstream, whose speed says nothing of the listed one's.
    SECTION("the statement of a wrong instance does not count") {
        world.status = 421;
        world.fields = "Server-Load: 9,0,8,400\r\n";
        world.lines_after_call("r3", "ended");
        CHECK(world.engine().load->slowdown == 2.5);
    }
}

TEST_CASE("an unreadable load is logged once per incarnation", "[speed]") {
    stating_world world;
    world.fields = "Server-Load: 1,0,8,fast\r\n";
    CHECK(world.lines_after_call("r1", "upstream_load_unreadable") == 1);
    CHECK(world.lines_after_call("r2", "upstream_load_unreadable") == 0);
    fleet::start_incarnation(world.engine(), {78});
    CHECK(world.lines_after_call("r3", "upstream_load_unreadable") == 1);
}
