#include "proxy/silence.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

TEST_CASE("an upstream that says nothing is told from one that is slow", "[proxy]") {
    const routes::route route{.target = base::milliseconds(300),
                              .gap_target = base::milliseconds(250)};
    proxy::silence_view view{at(1000), at(1000), at(990), at(500), false};
    CHECK(proxy::judge_silence(view, route) == proxy::silence::none);

    SECTION("by whether anything comes from it") {
        view.upstream_heard = at(600);
        CHECK(proxy::judge_silence(view, route) == proxy::silence::of_upstream);
    }
    SECTION("by how long the request has waited") {
        view.request_heard = at(-800);
        CHECK(proxy::judge_silence(view, route) == proxy::silence::of_request);
    }
    SECTION("and by the pause in the middle of its answer") {
        view.streaming = true;
        view.request_heard = at(100);
        CHECK(proxy::judge_silence(view, route) == proxy::silence::none);
        view.request_heard = at(-10);
        CHECK(proxy::judge_silence(view, route) == proxy::silence::of_request);
    }
    // A VM is suspended for three seconds. When its entry goes on, the timers of all its streams
    // are due, and what the engines sent meanwhile is not read yet.
    SECTION("but not by a look that comes late itself") {
        view.due = at(-2000);
        view.upstream_heard = at(-2000);
        view.request_heard = at(-2000);
        CHECK(proxy::judge_silence(view, route) == proxy::silence::process_was_stopped);
    }
    SECTION("and looked at again before it has waited too long") {
        CHECK(proxy::first_look(route, false) == base::milliseconds(375));
        view.request_heard = at(-700);
        CHECK(proxy::next_look(view, route) == base::milliseconds(100));
        view.request_heard = at(-900);
        CHECK(proxy::next_look(view, route) == base::milliseconds(375));
    }
}
