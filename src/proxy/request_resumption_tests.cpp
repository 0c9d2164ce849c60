#include "proxy/request_flow.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <set>

using namespace camphorrail;
using resumption::introduction;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

constexpr int event_count = 6;
constexpr int breaks_after = 3;

step send(std::string bytes) {
    return {step::kind::send, std::move(bytes)};
}

std::string events(int from, int to) {
    std::string all;
    for (int id = from; id <= to; ++id) {
        all += tests::event(id);
    }
    return all;
}

// Breaks off each new stream after some events, and continues one that is resumed to its end.
engine_script break_new_stream(const engine_request& got) {
    const std::string after = got.field("Last-Event-Id");
    const std::string head = tests::stream_head(got.field("Request-Id"));
    if (after.empty()) {
        return {send(head + tests::chunk(events(1, breaks_after))), {step::kind::reset, {}}};
    }
    return {send(head + tests::chunk(events(std::stoi(after) + 1, event_count)) + "0\r\n\r\n")};
}

std::string resuming(const std::string& id, const std::string& earlier, int after) {
    std::string bytes = tests::request("resume", id);
    const auto end = bytes.find("\r\n") + 2;
    const std::string fields = (earlier.empty() ? "" : "Resumes: " + earlier + "\r\n") +
                               "Last-Event-Id: " + std::to_string(after) + "\r\n";
    return bytes.insert(end, fields);
}

// A pool with engines of two versions.
struct two_versions {
    tests::proxy_world world;
    std::vector<tests::scripted_engine*> engines;

    explicit two_versions(int of_first = 2, int of_second = 2) {
        for (int each = 0; each < of_first + of_second; ++each) {
            const std::string software = each < of_first ? "v1" : "v2";
            this->engines.push_back(
                &this->world.add_engine("i-" + std::to_string(each), break_new_stream, software));
        }
    }

    // The entry is registered, and its view of the store is proved to be whole now.
    void prove_view() {
        const auto& context = this->world.entry();
        const std::string key = proxy::registration_prefix(context) + context.settings.id.value;
        this->world.state.store.items[key] = {key, context.settings.peer_listen, 1};
        this->world.prove_config();
        this->world.state.store.complete_as_of = context.now();
    }

    // The versions that ran a request.
    std::set<std::string> versions_of(const std::string& id) {
        std::set<std::string> versions;
        for (std::size_t each = 0; each < this->engines.size(); ++each) {
            const auto& listed =
                this->world.state.fleet.members.at({"i-" + std::to_string(each)}).listed;
            for (const auto& got : this->engines[each]->requests) {
                if (got.field("Request-Id") == id) {
                    versions.insert(listed.software.value);
                }
            }
        }
        return versions;
    }

    void list_again(const char* engine, const char* software) {
        this->world.state.fleet.members.at({engine}).listed.software.value = software;
    }
};

resumption::stream_origin origin_at(const char* software) {
    return {{"pool"}, {software}, {{"i-gone"}, {}}};
}

} // namespace

// The engine breaks off, and the entry resumes the stream within the same response.
TEST_CASE("a response continues only at the software that began it", "[proxy][resumption]") {
    for (int each = 0; each < 12; ++each) {
        two_versions pool;
        const std::string id = "r" + std::to_string(each);
        const auto seen = pool.world.call(tests::request("resume", id));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.bodies.at(0) == events(1, event_count));
        CHECK(pool.versions_of(id).size() == 1);
    }

    SECTION("and is aborted if no other engine runs it") {
        two_versions single(1, 1);
        const auto seen = single.world.call(tests::request("resume", "r1"));
        CHECK(seen.ended);
        CHECK_FALSE(seen.whole);
        CHECK(single.versions_of("r1").size() == 1);
    }
    SECTION("and is aborted if the engine that began it has restarted with other software") {
        two_versions restarted(2, 0);
        for (const char* engine : {"i-0", "i-1"}) {
            restarted.engines[engine[2] - '0']->set_answer([&, engine](const engine_request& got) {
                restarted.list_again(engine, "v2");
                return break_new_stream(got);
            });
        }
        const auto seen = restarted.world.call(tests::request("resume", "r1"));
        CHECK(seen.ended);
        CHECK_FALSE(seen.whole);
    }
}

// The client loses its connection and comes again, maybe to another entry.
TEST_CASE("a stream that its client resumes continues at the software that began it",
          "[proxy][resumption]") {
    two_versions pool;

    SECTION("which this entry has recorded before the client got the first event") {
        pool.world.call(tests::request("resume", "r1"));
        REQUIRE(pool.world.state.origins.records.count({"r1"}) == 1);
        const auto& software = pool.world.state.origins.records.at({"r1"}).origin.software.value;
        for (int each = 0; each < 8; ++each) {
            const std::string id = "again-" + std::to_string(each);
            const auto seen = pool.world.call(resuming(id, "r1", 2));
            CHECK(seen.bodies.at(0) == events(3, event_count));
            CHECK(pool.versions_of(id) == std::set{software});
        }
        CHECK(pool.world.state.origins.records.size() == 1);
        CHECK(pool.world.asked_origins.empty());
    }
    SECTION("which another entry knows") {
        const std::string software = GENERATE(std::string("v1"), std::string("v2"));
        pool.world.origins_elsewhere["r0"] = {origin_at(software.c_str()), true};
        for (int each = 0; each < 8; ++each) {
            const std::string id = "again-" + std::to_string(each);
            pool.world.call(resuming(id, "r0", 2));
            CHECK(pool.versions_of(id) == std::set{software});
        }
    }
    SECTION("and is refused as not run if nobody knows it") {
        const bool all_replied = GENERATE(true, false);
        pool.world.origins_elsewhere["r0"] = {std::nullopt, all_replied};
        const auto seen = pool.world.call(resuming("again", "r0", 2));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 503);
        CHECK(seen.bodies[0].find("stream_origin_unknown") != std::string::npos);
        CHECK(seen.bodies[0].find("not_run") != std::string::npos);
        // With when to come back if an entry that has not replied may know.
        CHECK(http::value_of(seen.heads[0].all, "Retry-After").empty() == all_replied);
        CHECK(pool.versions_of("again").empty());
    }
    SECTION("and is refused if the client does not name what it resumes") {
        const auto seen = pool.world.call(resuming("again", "", 2));
        CHECK(seen.heads.at(0).status == 503);
        CHECK(pool.versions_of("again").empty());
    }
    SECTION("and is refused at once if no engine runs its software") {
        pool.world.origins_elsewhere["r0"] = {origin_at("v0"), true};
        const auto seen = pool.world.call(resuming("again", "r0", 2));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 503);
        CHECK(seen.bodies[0].find("not_run") != std::string::npos);
        CHECK(http::value_of(seen.heads[0].all, "Retry-After").empty());
        CHECK(pool.versions_of("again").empty());
    }
    SECTION("and is refused if the engine that began it has restarted with other software") {
        pool.world.origins_elsewhere["r0"] = {{{{"pool"}, {"v1"}, {{"i-0"}, {}}}}, true};
        pool.list_again("i-0", "v2");
        const auto seen = pool.world.call(resuming("again", "r0", 2));
        CHECK(seen.heads.at(0).status == 503);
        CHECK(pool.versions_of("again").empty());
    }
    SECTION("and is refused if its route no longer leads to the pool that began it") {
        pool.world.origins_elsewhere["r0"] = {{{{"pool-b"}, {"v1"}, {{"i-7"}, {}}}}, true};
        const auto seen = pool.world.call(resuming("again", "r0", 2));
        CHECK(seen.heads.at(0).status == 503);
    }
}

TEST_CASE("a stream of unknown origin is resumed if its pool has only had one version",
          "[proxy][resumption]") {
    two_versions pool(2, 0);
    pool.prove_view();
    const auto seen = pool.world.call(resuming("again", "r0", 2));
    CHECK(seen.bodies.at(0) == events(3, event_count));
    CHECK(pool.world.asked_origins.empty());

    SECTION("but not by an old view of the store, which may lack another version") {
        pool.world.move_clock(resumption::version_rules{}.max_view_age + base::milliseconds(1));
        const auto refused = pool.world.call(resuming("later", "r1", 2));
        CHECK(refused.heads.at(0).status == 503);
        CHECK(pool.world.asked_origins.size() == 1);
        // A verification of the operators' part says nothing of other versions.
        pool.world.prove_config();
        CHECK(pool.world.call(resuming("still", "r1", 2)).heads.at(0).status == 503);
        pool.prove_view();
        CHECK(pool.world.call(resuming("last", "r1", 2)).heads.at(0).status == 200);
    }
    SECTION("as soon as the entry's view is renewed, after its VM was suspended") {
        pool.world.move_clock(base::seconds(3));
        pool.world.entry().loop.after(base::milliseconds(100), [&] { pool.prove_view(); });
        CHECK(pool.world.call(resuming("later", "r1", 2)).heads.at(0).status == 200);
    }
    SECTION("but not by an entry that is not registered, whom no announcement waits for") {
        pool.world.state.store.items.clear();
        const auto refused = pool.world.call(resuming("later", "r1", 2));
        CHECK(refused.heads.at(0).status == 503);
    }
    SECTION("and not once another version is announced, although no engine runs it") {
        pool.world.state.software[{"pool"}].known[{"v2"}] = {introduction::announced, {}, {}};
        const auto refused = pool.world.call(resuming("later", "r1", 2));
        CHECK(refused.heads.at(0).status == 503);
    }
}

// Another entry that does not know of the version yet would take the other one for the only one.
TEST_CASE("a version begins no streams before it is introduced", "[proxy][resumption]") {
    two_versions pool(1, 3);
    auto& known = pool.world.state.software[{"pool"}].known;
    known[{"v2"}].state = introduction::announced;
    for (int each = 0; each < 8; ++each) {
        const std::string id = "r" + std::to_string(each);
        pool.world.call(tests::request("resume", id));
        CHECK(pool.versions_of(id) == std::set<std::string>{"v1"});
    }

    SECTION("but runs requests that no client resumes") {
        std::set<std::string> versions;
        for (int each = 0; each < 12; ++each) {
            const std::string id = "s" + std::to_string(each);
            pool.world.call(tests::request("stream", id));
            versions.merge(pool.versions_of(id));
        }
        CHECK(versions.count("v2") == 1);
    }
}

// An engine restarts under its id with other software, and accepts a resumed stream before the
// platform's list shows the new incarnation.
TEST_CASE("an upstream states its incarnation before it continues a stream",
          "[proxy][resumption]") {
    two_versions pool(2, 0);
    int asked = 0;
    std::int64_t stated = 7;
    for (std::size_t each = 0; each < pool.engines.size(); ++each) {
        auto& listed = pool.world.state.fleet.members.at({"i-" + std::to_string(each)}).listed;
        listed.incarnation = {7};
        pool.engines[each]->set_answer([&](const engine_request& got) {
            if (got.head.target != "/report") {
                return break_new_stream(got);
            }
            ++asked;
            const std::string state = R"({"born":)" + std::to_string(stated) + R"(,"seq":0})";
            return engine_script{send(tests::answer("", state))};
        });
    }
    pool.world.origins_elsewhere["r0"] = {origin_at("v1"), true};

    SECTION("once on each connection") {
        CHECK(pool.world.call(resuming("a", "r0", 2)).bodies.at(0) == events(3, event_count));
        CHECK(asked == 1);
        CHECK(pool.world.call(resuming("b", "r0", 2)).bodies.at(0) == events(3, event_count));
        CHECK(asked <= 2);
    }
    SECTION("within a response too") {
        CHECK(pool.world.call(tests::request("resume", "a")).bodies.at(0) ==
              events(1, event_count));
        CHECK(asked == 1);
    }
    SECTION("and does not get it if that is another one than the listed") {
        stated = 8;
        const auto seen = pool.world.call(resuming("a", "r0", 2));
        CHECK(seen.heads.at(0).status == 503);
        CHECK(asked == 2);
        CHECK(pool.versions_of("a").empty());
    }
    SECTION("and does not get it if its statement does not end") {
        for (auto* engine : pool.engines) {
            engine->set_answer([](const engine_request&) {
                return engine_script{send("HTTP/1.1 200 OK\r\n\r\n"),
                                     {tests::engine_step::kind::repeat, std::string(1000, 'x')}};
            });
        }
        const auto seen = pool.world.call(resuming("a", "r0", 2));
        CHECK(seen.heads.at(0).status == 503);
        for (const auto* engine : pool.engines) {
            // What the kernel holds on both sides comes on top.
            CHECK(engine->repeated_bytes <= (12U << 20U));
        }
    }
    SECTION("and new streams are sent without a question") {
        pool.world.call(tests::request("stream", "a"));
        CHECK(asked == 0);
    }
}
