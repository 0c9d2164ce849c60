#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using tests::engine_request;
using tests::engine_script;
using step = tests::engine_step;

namespace {

// An entry whose client has a connection that is idle after its first request.
struct entry_with_idle_client {
    tests::proxy_world world;

    explicit entry_with_idle_client(const adapters::client_limits& limits) {
        this->world.caller_limits = limits;
        this->world.add_engine("i-1", [](const engine_request& got) {
            return engine_script{
                {step::kind::send, tests::answer(got.field("Request-Id"), "done")}};
        });
        this->world.call(tests::request("once", "r1"));
    }

    // The status of the response to a second request; 0 if the connection ends without one.
    int status_of_next(const std::string& request) {
        this->world.send_at_once(0, request);
        this->world.run_until([this] {
            const auto& seen = this->world.seen_by(0);
            return seen.ended || seen.heads.size() > 1;
        });
        const auto& heads = this->world.seen_by(0).heads;
        return heads.size() > 1 ? heads[1].status : 0;
    }

    void wait(base::milliseconds span) {
        const auto until = this->world.entry().now() + span;
        this->world.run_until([this, until] { return this->world.entry().now() >= until; });
    }
};

std::string with_field(std::string request, std::size_t bytes) {
    return request.insert(request.find("Request-Deadline"),
                          "Note: " + std::string(bytes, 'n') + "\r\n");
}

} // namespace

// Guards against refusing requests on kept connections by limits that a newer configuration has
// replaced.
TEST_CASE("a request is read by the limits in force when it begins", "[proxy]") {
    adapters::client_limits limits;

    SECTION("larger bodies") {
        limits.read.body_bytes = 100;
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.read.body_bytes = 10'000;
        CHECK(entry.status_of_next(tests::request("once", "r2", std::string(5000, 'b'))) == 200);
    }
    SECTION("smaller bodies") {
        limits.read.body_bytes = 10'000;
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.read.body_bytes = 100;
        CHECK(entry.status_of_next(tests::request("once", "r2", std::string(5000, 'b'))) == 413);
    }
    SECTION("larger heads") {
        limits.read.head_bytes = 600;
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.read.head_bytes = 60'000;
        CHECK(entry.status_of_next(with_field(tests::request("once", "r2"), 12'000)) == 200);
    }
    SECTION("smaller heads") {
        limits.read.head_bytes = 60'000;
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.read.head_bytes = 600;
        CHECK(entry.status_of_next(with_field(tests::request("once", "r2"), 3000)) == 431);
    }
    SECTION("more time for the head") {
        limits.head_timeout = base::milliseconds(20);
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.head_timeout = base::seconds(5);
        const std::string whole = tests::request("once", "r2");
        entry.world.send_at_once(0, whole.substr(0, whole.size() / 2));
        entry.wait(base::milliseconds(80));
        CHECK(entry.status_of_next(whole.substr(whole.size() / 2)) == 200);
    }
    SECTION("on a connection that may be idle for longer now") {
        limits.idle_timeout = base::milliseconds(50);
        entry_with_idle_client entry(limits);
        entry.world.caller_limits.idle_timeout = base::seconds(5);
        entry.wait(base::milliseconds(200));
        CHECK(entry.status_of_next(tests::request("once", "r2")) == 200);
    }
}

TEST_CASE("an idle connection is closed once the raised limit has passed", "[proxy]") {
    adapters::client_limits limits;
    limits.idle_timeout = base::milliseconds(30);
    entry_with_idle_client entry(limits);
    entry.world.caller_limits.idle_timeout = base::seconds(2);
    entry.wait(base::milliseconds(100));
    CHECK_FALSE(entry.world.seen_by(0).ended);
    CHECK(entry.world.run_until([&] { return entry.world.seen_by(0).ended; }));
}
