#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

constexpr int engine_count = 8;
const std::string fatal_body = "fatal";

// An engine that ends when it begins to run a certain request, and answers all others.
engine_script crash_on_fatal(const engine_request& got) {
    const std::string id = got.field("Request-Id");
    if (got.body == fatal_body) {
        return {{step::kind::crash, {}}};
    }
    return {{step::kind::send, tests::answer(id, "done:" + got.body)}};
}

// Engines that start again under new ids after each crash.
struct crashing_pool {
    explicit crashing_pool(tests::proxy_world& world) : world(world) {
        for (int each = 0; each < engine_count; ++each) {
            this->start();
        }
    }

    void start() {
        const std::string id = "i-" + std::to_string(++this->starts);
        this->running.emplace_back(id, &this->world.add_engine(id, crash_on_fatal));
    }

    // Gives the entry time to see what has ended, and puts another engine in each one's place.
    void settle() {
        constexpr int turns = 60;
        int turn = 0;
        this->world.run_until([&turn] { return ++turn > turns; });
        for (auto& [id, engine] : this->running) {
            if (engine->crashed()) {
                ++this->crashes;
                const std::string by = "i-" + std::to_string(++this->starts);
                this->world.state.fleet.members.erase({id});
                id = by;
                engine = &this->world.add_engine(by, crash_on_fatal);
            }
        }
        // Ejections and suspicions are over.
        this->world.move_clock(base::seconds(1));
        this->world.prove_config();
    }

    tests::proxy_world& world;
    std::vector<std::pair<std::string, tests::scripted_engine*>> running;
    int starts = 0;
    int crashes = 0;
};

} // namespace

// The failure: a request that crashes its upstream comes again and again and takes one after the
// other, with all that runs there.
TEST_CASE("a request that crashes upstreams is kept from them after three at most",
          "[proxy][quarantine]") {
    const std::string route = GENERATE(std::string("stream"), std::string("resume"),
                                       std::string("safe"), std::string("once"));
    CAPTURE(route);
    tests::proxy_world world;
    crashing_pool pool(world);
    constexpr int arrivals = 12;
    for (int each = 0; each < arrivals; ++each) {
        world.call(tests::request(route, "fatal-" + std::to_string(each), fatal_body));
        pool.settle();
    }
    CHECK(pool.crashes <= 3);

    SECTION("while others are served") {
        const auto seen = world.call(tests::request("safe", "r1", "harmless"));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
    }
}
