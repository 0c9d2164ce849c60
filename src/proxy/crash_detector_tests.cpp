#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

constexpr std::size_t engine_count = 8;
const std::string fatal_body = "fatal";
const std::string fatal_part = "fa7a1";

// A request whose prompt has these parts and one of its own.
std::string prompt(const std::string& route, const std::string& id, const std::string& parts,
                   const std::string& key = "k1") {
    std::string bytes = tests::request(route, id, "prompt " + id);
    bytes.replace(bytes.find("k1"), 2, key);
    return bytes.insert(bytes.find("Request-Deadline"),
                        "Prompt-Prefix: " + parts + ",e" + id + ":9\r\n");
}

// An engine that crashes when it starts a certain request and responds to all others.
engine_script crash_on_fatal(const engine_request& got) {
    const std::string id = got.field("Request-Id");
    if (got.body == fatal_body ||
        got.field("Prompt-Prefix").find(fatal_part) != std::string::npos) {
        return {{step::kind::crash, {}}};
    }
    // On routes of streams, a response without an event is not complete.
    return {{step::kind::send, tests::answer(id, tests::event(1))}};
}

// Engines that restart under new ids after each crash.
struct crashing_pool {
    explicit crashing_pool(tests::proxy_world& world) : world(world) {
        for (std::size_t each = 0; each < engine_count; ++each) {
            const std::string id = "i-" + std::to_string(++this->starts);
            this->running.emplace_back(id, &this->world.add_engine(id, crash_on_fatal));
        }
    }

    // Lets the entry notice crashes, and replaces each crashed engine by a new one.
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
        // Let ejections and suspicions expire.
        this->world.move_clock(base::seconds(1));
        this->world.prove_config();
        this->world.crash_detector().tick();
    }

    tests::proxy_world& world;
    std::vector<std::pair<std::string, tests::scripted_engine*>> running;
    int starts = 0;
    int crashes = 0;
};

} // namespace

// Guards against refusing a request that many clients send, since the engines that happened to run
// it were lost one after the other.
TEST_CASE("a popular request is served after two engines were lost under it in a row",
          "[proxy][quarantine]") {
    const std::string route = GENERATE(std::string("stream"), std::string("once"));
    CAPTURE(route);
    tests::proxy_world world;
    crashing_pool pool(world);
    int number = 0;
    const auto popular = [&] {
        return tests::request(route, "popular-" + std::to_string(++number), "popular");
    };
    REQUIRE(world.call(popular()).heads.at(0).status == 200);
    for (int round = 0; round < 2; ++round) {
        for (auto& [id, engine] : pool.running) {
            engine->answer_next_with({{step::kind::crash, {}}});
        }
        world.call(popular());
        for (auto& [id, engine] : pool.running) {
            engine->answer_next_with({});
        }
        pool.settle();
    }
    REQUIRE(pool.crashes == 2);
    CHECK(world.call(popular()).heads.at(0).status == 200);
}

// Guards against a request that is repeated and crashes one upstream after another, together with
// everything else that runs there.
TEST_CASE("a request that crashes upstreams is quarantined after at most three crashes",
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

    SECTION("other requests are served") {
        const auto seen = world.call(tests::request("safe", "r1", "harmless"));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
    }
    SECTION("the client learns that the request was not executed and when to retry") {
        const auto seen = world.call(tests::request(route, "again", fatal_body));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 503);
        CHECK(std::stod(std::string(http::value_of(seen.heads[0].all, "Retry-After"))) > 60);
        CHECK(seen.bodies[0].find("\"quarantined\"") != std::string::npos);
    }
    SECTION("an entry that only received the notice refuses it too") {
        tests::proxy_world other;
        other.add_engine("i-1", crash_on_fatal);
        for (const auto& message : world.told) {
            const auto decoded = peering::decode(peering::encode({message}));
            REQUIRE(decoded.has_value());
            if (const auto* hold =
                    std::get_if<peering::quarantine_notice>(&decoded.value().payload)) {
                other.crash_detector().receive({"entry-1"}, *hold, other.entry().now());
            }
        }
        const auto seen = other.call(tests::request(route, "elsewhere", fatal_body));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 503);
        CHECK(other.call(tests::request(route, "r2", "fine")).heads.at(0).status == 200);
    }
}

// Guards against requests that are no two alike and share a part of their prompts that crashes one
// upstream after another.
TEST_CASE("a prompt part that crashes upstreams is quarantined after at most three crashes",
          "[proxy][quarantine]") {
    const std::string route = GENERATE(std::string("stream"), std::string("resume"),
                                       std::string("safe"), std::string("once"));
    CAPTURE(route);
    tests::proxy_world world;
    world.config.teams.push_back({.id = {"south"}, .keys = {"k2"}});
    routes::build_indexes(world.config);
    world.prove_config();
    crashing_pool pool(world);
    int number = 0;
    const auto next_id = [&number] { return "d" + std::to_string(++number); };
    const auto send_fatal = [&](int each) {
        const std::string mine = "b" + std::to_string(each) + ":40";
        const std::string parts =
            each % 2 == 0 ? "a1:90,fa7a1:20," + mine : "fa7a1:20,a1:90," + mine;
        return world.call(prompt(route, next_id(), parts, each % 3 == 0 ? "k2" : "k1"));
    };
    const auto send_sound = [&] {
        return world.call(prompt(route, next_id(), "a1:90,b" + std::to_string(number % 4) + ":40"));
    };
    constexpr int arrivals = 12;
    for (int each = 0; each < arrivals; ++each) {
        send_fatal(each);
        pool.settle();
        for (int sound = 0; sound < 3; ++sound) {
            CHECK(send_sound().heads.at(0).status == 200);
        }
    }
    CHECK(pool.crashes <= 3);
    const auto refused = send_fatal(arrivals);
    CHECK(refused.heads.at(0).status == 503);
    CHECK(refused.bodies.at(0).find("\"quarantined\"") != std::string::npos);

    // A prompt's last part belongs to one request or session.
    CHECK(world.call(tests::request(route, "fa", "sound")).heads.at(0).status == 200);
}

// Guards against an entry that holds back a sound part of prompts, or goes on to do so, although
// other entries get responses to it.
TEST_CASE("an entry clears a prompt part on another entry's word", "[proxy][quarantine]") {
    tests::proxy_world world;
    world.stop_clock();
    world.add_engine("i-1", crash_on_fatal);
    const auto part = quarantine::identify_prompt_part({}, "a1");
    const auto tell_crash = [&](const std::string& upstream, const std::string& body) {
        const base::instant now = world.entry().now();
        const quarantine::crash_report report{
            {{upstream}, {}},
            now,
            {{quarantine::identify({"/x", "north", body}), now, {}, {part}}}};
        world.crash_detector().receive({"entry-2"}, peering::to_message(report, now), now);
        world.move_clock(base::seconds(1));
        world.prove_config();
        world.crash_detector().tick();
    };
    const auto clear = [&] {
        world.crash_detector().receive({"entry-3"}, peering::cleared_prompt_parts{{part.digest}});
    };
    const auto status = [&](const std::string& id) {
        return world.call(prompt("safe", id, "a1:90")).heads.at(0).status;
    };
    tell_crash("i-8", "first");

    SECTION("before it has reason to quarantine the part") {
        clear();
        tell_crash("i-9", "second");
        CHECK(status("d1") == 200);
    }
    SECTION("which ends a quarantine") {
        tell_crash("i-9", "second");
        CHECK(status("d1") == 503);
        clear();
        CHECK(status("d2") == 200);
        // The entry tells others when a response to the part has survived here.
        tell_crash("i-10", "third");
        CHECK(status("d3") == 200);
        CHECK(std::any_of(world.told.begin(), world.told.end(), [](const auto& each) {
            return std::holds_alternative<peering::cleared_prompt_parts>(each);
        }));
    }
}

// Guards against a client that gets another team's request refused by sending the same bytes until
// they are quarantined.
TEST_CASE("a quarantined request does not affect another team's identical request",
          "[proxy][quarantine]") {
    tests::proxy_world world;
    world.config.teams.push_back({.id = {"south"}, .keys = {"k2"}});
    routes::build_indexes(world.config);
    world.prove_config();
    world.add_engine("i-1", [](const engine_request& got) {
        return engine_script{{step::kind::send, tests::answer(got.field("Request-Id"), "fine")}};
    });
    const auto identity = quarantine::identify({"/safe/x", "north", "same bytes"});
    world.crash_detector().receive(
        {"entry-2"}, peering::quarantine_notice{identity, base::minutes(5)}, world.entry().now());
    const std::string of_north = tests::request("safe", "r1", "same bytes");
    std::string of_south = tests::request("safe", "r2", "same bytes");
    of_south.replace(of_south.find("k1"), 2, "k2");
    CHECK(world.call(of_north).heads.at(0).status == 503);
    CHECK(world.call(of_south).heads.at(0).status == 200);
}

// Guards against an entry that restarts the duration of a quarantine when reading it from the store
// and broadcasts the new end: each restart of an entry would then prolong the refusal everywhere.
TEST_CASE("a quarantine restored from its record is not prolonged", "[proxy][quarantine]") {
    tests::proxy_world world;
    world.stop_clock();
    const auto identity = quarantine::identify({"/safe/x", "north", "same bytes"});
    const quarantine::quarantined_request written{identity, base::minutes(10), 2};
    const auto is_held = [&] {
        return quarantine::evaluate(world.state.quarantine, identity.digest, world.entry().now(),
                                    {})
                   .what == quarantine::verdict::quarantined;
    };
    const auto wait = [&world](base::micros span) {
        world.move_clock(span);
        world.crash_detector().tick();
    };

    SECTION("the quarantine applies and expires") {
        world.crash_detector().restore_quarantine(written);
        CHECK(is_held());
        wait(base::minutes(9));
        CHECK(is_held());
        wait(base::minutes(2));
        CHECK_FALSE(is_held());
    }
    SECTION("a quarantine of unknown expiry is not sent to peers") {
        world.crash_detector().restore_quarantine(written);
        CHECK(world.crash_detector().initial_messages().empty());
    }
    SECTION("a notice from a peer sets the expiry") {
        const bool notice_first = GENERATE(true, false);
        CAPTURE(notice_first);
        if (!notice_first) {
            world.crash_detector().restore_quarantine(written);
        }
        world.crash_detector().receive({"entry-2"},
                                       peering::quarantine_notice{identity, base::minutes(1)},
                                       world.entry().now());
        if (notice_first) {
            world.crash_detector().restore_quarantine(written);
        }
        CHECK(is_held());
        REQUIRE(world.crash_detector().initial_messages().size() == 1);
        const auto notice =
            std::get<peering::quarantine_notice>(world.crash_detector().initial_messages()[0]);
        CHECK(notice.remaining <= base::minutes(1));
        wait(base::seconds(61));
        CHECK_FALSE(is_held());
    }
    SECTION("a longer known quarantine is kept") {
        world.crash_detector().receive({"entry-2"},
                                       peering::quarantine_notice{identity, base::minutes(20)},
                                       world.entry().now());
        world.crash_detector().restore_quarantine(written);
        wait(base::minutes(19));
        CHECK(is_held());
    }
}

// Guards against quarantining a harmless, frequent request because five of eight upstreams crash at
// once for other reasons.
TEST_CASE("a request in flight at many crashed upstreams is served afterwards",
          "[proxy][quarantine]") {
    const std::string route = GENERATE(std::string("stream"), std::string("safe"));
    CAPTURE(route);
    tests::proxy_world world;
    crashing_pool pool(world);
    int number = 0;
    const auto popular = [&] {
        return tests::request(route, "popular-" + std::to_string(++number), "popular");
    };
    for (int round = 0; round < 4; ++round) {
        // Five engines hang on their requests until they crash.
        std::vector<tests::scripted_engine*> failing;
        for (std::size_t each = 0; each < 5; ++each) {
            failing.push_back(pool.running.at(each).second);
            failing.back()->answer_next_with({{step::kind::hang, {}}});
        }
        const auto reached = [&failing] {
            return std::any_of(failing.begin(), failing.end(),
                               [](const auto* each) { return !each->requests.empty(); });
        };
        for (int each = 0; each < 40 && !reached(); ++each) {
            world.call_until(popular(), [&] {
                return reached() || (!world.last_seen().heads.empty() && world.last_seen().whole);
            });
        }
        REQUIRE(reached());
        for (auto* each : failing) {
            each->crash();
        }
        pool.settle();
        for (int each = 0; each < 6; ++each) {
            world.call(popular());
        }
    }
    for (int each = 0; each < 10; ++each) {
        const auto seen =
            world.call(tests::request(route, "later-" + std::to_string(each), "popular"));
        CHECK(seen.heads.at(0).status == 200);
    }
}

// Guards against quarantining a popular request because upstreams are lost at the same moment and
// copies of it are retried at once on others that are lost too.
TEST_CASE("a request whose retries reach other lost upstreams is served afterwards",
          "[proxy][quarantine]") {
    tests::proxy_world world;
    crashing_pool pool(world);
    constexpr std::size_t lost = 5;
    constexpr std::size_t copies = 9;
    int number = 0;
    const auto popular = [&] {
        return tests::request("resume", "popular-" + std::to_string(++number), "popular");
    };
    for (int round = 0; round < 2; ++round) {
        for (int each = 0; each < 6; ++each) {
            CHECK(world.call(popular()).heads.at(0).status == 200);
        }
        std::size_t held = 0;
        for (const auto& [id, engine] : pool.running) {
            engine->set_answer([&held](const engine_request&) {
                ++held;
                return engine_script{{step::kind::hang, {}}};
            });
        }
        for (std::size_t each = 1; each <= copies; ++each) {
            world.call_until(popular(), [&held, each] { return held >= each; });
        }
        REQUIRE(held >= copies);
        for (const auto& [id, engine] : pool.running) {
            engine->set_answer(crash_on_fatal);
        }
        for (std::size_t each = 0; each < lost; ++each) {
            pool.running.at(each).second->crash();
        }
        pool.settle();
        world.move_clock(base::seconds(3));
        world.prove_config();
    }
    for (int each = 0; each < 10; ++each) {
        CHECK(world.call(popular()).heads.at(0).status == 200);
    }
}

TEST_CASE("a broken connection alone is no crash", "[proxy][quarantine]") {
    tests::proxy_world world;
    const step how = GENERATE(step{step::kind::reset, {}}, step{step::kind::close, {}});
    for (int each = 0; each < 4; ++each) {
        world.add_engine("i-" + std::to_string(each),
                         [how](const engine_request&) { return engine_script{how}; });
    }
    for (int each = 0; each < 6; ++each) {
        world.call(tests::request("safe", "r" + std::to_string(each), "unlucky"));
        world.move_clock(base::seconds(5));
        world.prove_config();
        world.crash_detector().tick();
    }
    CHECK(world.state.quarantine.suspects.empty());
}

// Guards against queued copies of a fatal request that crash more upstreams after it was
// quarantined.
TEST_CASE("a quarantined request is cancelled where it is in flight", "[proxy][quarantine]") {
    tests::proxy_world world;
    auto& engine = world.add_engine("i-1", [](const engine_request&) {
        return engine_script{{step::kind::hang, {}}};
    });
    world.call_until(tests::request("once", "r1", fatal_body),
                     [&engine] { return engine.requests.size() == 1; });
    const auto identity = quarantine::identify({"/once/x", "north", fatal_body});
    world.crash_detector().receive(
        {"entry-2"}, peering::quarantine_notice{identity, base::minutes(5)}, world.entry().now());
    REQUIRE(world.run_until([&] { return engine.closed_by_peer == 1; }));
    // The request may have been executed, hence 502.
    REQUIRE(world.run_until([&world] { return !world.last_seen().heads.empty(); }));
    CHECK(world.last_seen().heads.at(0).status == 502);
}

TEST_CASE("an upstream whose address was taken by another one counts as crashed",
          "[proxy][quarantine]") {
    tests::proxy_world world;
    world.add_engine("i-1", [](const engine_request&) {
        return engine_script{{step::kind::reset, {}}};
    });
    world.call(tests::request("once", "r1", "unlucky"));
    CHECK(world.state.quarantine.suspects.empty());
    world.crash_detector().record_replaced({"never known"});
    CHECK(world.state.quarantine.suspects.empty());
    world.crash_detector().record_replaced({"i-1"});
    CHECK(world.state.quarantine.suspects.size() == 1);
}

// Guards against trying a suspect on the busiest engine, or where another suspect is on trial, so
// that both are blamed.
TEST_CASE("a suspect is tried where a crash costs least", "[proxy][quarantine]") {
    tests::proxy_world world;
    const auto answer = [](const engine_request& got) {
        return engine_script{{step::kind::send, tests::answer(got.field("Request-Id"), "fine")}};
    };
    std::vector<tests::scripted_engine*> engines;
    for (int each = 0; each < 6; ++each) {
        engines.push_back(&world.add_engine("i-" + std::to_string(each), answer));
        auto& member = world.state.fleet.members.at({"i-" + std::to_string(each)});
        // The engine with the most work has the most slots, so its relative load is the lowest.
        member.local_work.in_flight = 6 - each;
        member.listed.slots = 1000 / (each * each + 1);
    }
    const auto suspect = quarantine::identify({"/safe/x", "north", "suspect"});
    const auto other = quarantine::identify({"/safe/x", "north", "another"});
    const base::instant now = world.entry().now();
    quarantine::record_crash(world.state.quarantine,
                             {{{"i-9"}, {}}, now, {{suspect, now, {}}, {other, now, {}}}}, now, {});
    quarantine::begin_trial(world.state.quarantine, other.digest, {"i-5"}, now, {});
    CHECK(world.call(tests::request("safe", "r1", "harmless")).heads.at(0).status == 200);
    CHECK(engines[0]->requests.size() == 1);
    CHECK(world.call(tests::request("safe", "r2", "suspect")).heads.at(0).status == 200);
    CHECK(engines[3]->requests.size() + engines[4]->requests.size() == 1);
    CHECK(engines[5]->requests.empty());
    // A complete response acquits the suspect.
    world.call(tests::request("safe", "r3", "suspect"));
    CHECK(engines[0]->requests.size() == 2);
}
