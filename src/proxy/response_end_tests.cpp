#include "http/writers.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

const step close_it{step::kind::close, {}};
const step crash{step::kind::crash, {}};
const step hang{step::kind::hang, {}};

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

enum class framing { none, chunks, length };

const char* name_of(framing body) {
    return body == framing::none ? "none" : body == framing::chunks ? "chunks" : "length";
}

std::string head(const std::string& id, const std::string& framing_field) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s-" + id +
           "\r\nContent-Type: text/event-stream\r\n" + framing_field + "\r\n";
}

// A response whose framing says that it ends after `body`.
engine_script framed(const std::string& id, framing how, const std::string& body, step last) {
    switch (how) {
    case framing::none:
        return {send(head(id, "") + body), std::move(last)};
    case framing::chunks:
        return {send(head(id, "Transfer-Encoding: chunked\r\n") +
                     (body.empty() ? "" : tests::chunk(body)) + std::string(http::last_chunk)),
                std::move(last)};
    case framing::length:
        break;
    }
    return {send(head(id, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body),
            std::move(last)};
}

// Engines of which the first that is asked responds by `script`, and the others continue its stream
// to its tenth event.
struct stream_world : tests::proxy_world {
    explicit stream_world(std::function<engine_script(const std::string& id)> script)
        : script(std::move(script)) {
        for (const char* id : {"i-1", "i-2"}) {
            this->engines.push_back(&this->add_engine(
                id, [this](const engine_request& got) { return this->answer(got); }));
        }
    }

    engine_script answer(const engine_request& got) {
        const std::string id = got.field("Request-Id");
        if (++this->attempts == 1) {
            return this->script(id);
        }
        const std::string after = got.field("Last-Event-Id");
        const int next = after.empty() ? 1 : std::stoi(after) + 1;
        return framed(id, framing::chunks, events(next, last_event), hang);
    }

    static constexpr int last_event = 10;
    std::function<engine_script(const std::string& id)> script;
    std::vector<tests::scripted_engine*> engines;
    int attempts = 0;
};

} // namespace

// Guards against passing on a stream as complete that its upstream broke off: within an event,
// before the first one, or together with its own process.
TEST_CASE("a stream that was broken off is resumed or cut, never completed", "[proxy][flow]") {
    const auto how = GENERATE(framing::none, framing::chunks, framing::length);
    CAPTURE(name_of(how));
    std::string body;
    bool upstream_crashes = false;
    SECTION("within its first event") {
        body = "id: 1\nda";
    }
    SECTION("within a later event") {
        body = events(1, 3) + "id: 4\ndata: wo";
    }
    SECTION("between the last line of an event and its end") {
        body = events(1, 3) + "id: 4\ndata: word\n";
    }
    SECTION("after its head") {
        body = "";
    }
    SECTION("between two events, as its upstream crashes") {
        // With chunks or a length, the upstream had stated the end before it crashed.
        upstream_crashes = true;
        body = events(1, 3);
    }
    if (upstream_crashes && how != framing::none) {
        return;
    }
    const step last = upstream_crashes ? crash : close_it;
    stream_world world([&](const std::string& id) { return framed(id, how, body, last); });

    // It may be resumed.
    const auto resumed = world.call(tests::request("resume", "r1"));
    REQUIRE(resumed.heads.size() == 1);
    CHECK(resumed.heads[0].status == 200);
    CHECK(resumed.whole);
    CHECK(resumed.bodies[0] == events(1, stream_world::last_event));
    CHECK(world.attempts == 2);

    // It may not be resumed.
    stream_world other([&](const std::string& id) { return framed(id, how, body, last); });
    const auto cut = other.call(tests::request("stream", "r2"));
    CHECK(other.attempts == 1);
    REQUIRE(cut.heads.size() == 1);
    const bool has_event = body.starts_with(tests::event(1));
    CHECK(cut.heads[0].status == (has_event ? 200 : 502));
    CHECK(cut.whole != has_event);
    CHECK(cut.bodies[0].starts_with(events(1, 3)) == has_event);
}

// Guards against an upstream that closes its connections in an orderly way and ends a moment later.
TEST_CASE("a stream whose upstream ends just after it is not completed", "[proxy][flow]") {
    stream_world world(
        [](const std::string& id) { return framed(id, framing::none, events(1, 3), close_it); });
    const auto first_asked = [&world] {
        return std::find_if(world.engines.begin(), world.engines.end(),
                            [](const auto* each) { return !each->requests.empty(); });
    };
    const auto seen = world.call_until(tests::request("stream", "r1"), [&] {
        const auto engine = first_asked();
        if (engine != world.engines.end() && !(*engine)->crashed()) {
            (*engine)->crash();
        }
        return world.last_seen().ended ||
               (!world.last_seen().heads.empty() && world.last_seen().whole);
    });
    CHECK(seen.bodies.at(0) == events(1, 3));
    CHECK_FALSE(seen.whole);
}

// Guards against a plain response that is cut short by the end of its upstream and passed on with a
// length of our own.
TEST_CASE("a plain response without a length is not completed if its upstream crashed",
          "[proxy][flow]") {
    int attempts = 0;
    const auto script = [&attempts](const engine_request& got) {
        const std::string id = got.field("Request-Id");
        return ++attempts == 1 ? framed(id, framing::none, "half of", crash)
                               : framed(id, framing::length, "half of it", hang);
    };
    tests::proxy_world world;
    world.add_engine("i-1", script);
    world.add_engine("i-2", script);

    SECTION("and is asked for again where it may be repeated") {
        const auto seen = world.call(tests::request("safe", "r1"));
        CHECK(seen.heads.at(0).status == 200);
        CHECK(seen.bodies.at(0) == "half of it");
        CHECK(attempts == 2);
    }
    SECTION("and fails where it may have been executed") {
        const auto seen = world.call(tests::request("once", "r2"));
        CHECK(seen.heads.at(0).status == 502);
        CHECK(attempts == 1);
    }
}

// Guards against taking an end by close for a failure.
TEST_CASE("a response without a length is completed if its upstream is still there",
          "[proxy][flow]") {
    tests::proxy_world world;
    const auto script = [](const engine_request& got) {
        return framed(got.field("Request-Id"), framing::none, events(1, 5), close_it);
    };
    world.add_engine("i-1", script);
    const std::string route = GENERATE(std::string("stream"), std::string("resume"),
                                       std::string("safe"), std::string("once"));
    CAPTURE(route);
    for (int each = 0; each < 5; ++each) {
        const auto seen = world.call(tests::request(route, "r" + std::to_string(each)));
        REQUIRE(seen.heads.size() == 1);
        CHECK(seen.heads[0].status == 200);
        CHECK(seen.whole);
        CHECK(seen.bodies[0] == events(1, 5));
    }
    const auto& member = world.state.fleet.members.at({"i-1"});
    CHECK(member.health.consecutive_failures == 0);
    CHECK(member.local_work.in_flight == 0);
}

// Guards against delivering a part of a response as the whole one: its engine begins to respond
// without a length while the request is still being sent, and resets the connection.
TEST_CASE("a response that breaks off amid the upload is not completed", "[proxy][flow]") {
    constexpr std::size_t upload_bytes = 3U << 20U;
    const std::string route = GENERATE("once", "safe", "stream", "resume");
    const step last = GENERATE(step{step::kind::reset, {}}, close_it);
    CAPTURE(route, last.what == step::kind::reset);
    tests::proxy_world world;
    for (const char* id : {"i-1", "i-2"}) {
        auto& engine = world.add_engine(id, [&last](const engine_request& got) {
            return engine_script{send(head(got.field("Request-Id"), "") + events(1, 3)), last};
        });
        engine.answer_early();
    }
    const auto seen = world.call(tests::request(route, "r1", std::string(upload_bytes, 'u')));
    REQUIRE(seen.heads.size() == 1);
    CHECK((seen.heads[0].status == 502 || (seen.ended && !seen.whole)));
}
