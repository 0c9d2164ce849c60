#include "proxy/stall_detection.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

} // namespace

TEST_CASE("an unresponsive upstream is distinguished from a slow one", "[proxy]") {
    const routes::route route{.target = base::milliseconds(300),
                              .gap_target = base::milliseconds(250)};
    proxy::stall_view view{at(1000), at(1000), at(990), at(500), false};
    CHECK(proxy::detect_stall(view, route) == proxy::stall::none);

    SECTION("by whether it sends anything") {
        view.last_upstream_byte = at(600);
        CHECK(proxy::detect_stall(view, route) == proxy::stall::upstream_unresponsive);
    }
    SECTION("by how long the request has waited") {
        view.last_request_progress = at(-800);
        CHECK(proxy::detect_stall(view, route) == proxy::stall::request_stalled);
    }
    SECTION("and by the pause within its response") {
        view.streaming = true;
        view.last_request_progress = at(100);
        CHECK(proxy::detect_stall(view, route) == proxy::stall::none);
        view.last_request_progress = at(-10);
        CHECK(proxy::detect_stall(view, route) == proxy::stall::request_stalled);
    }
    // A VM is suspended for three seconds. When its entry continues, the timers of all streams are
    // due although the events that engines sent meanwhile have not been read yet.
    SECTION("but not by a check that is itself late") {
        view.check_due = at(-2000);
        view.last_upstream_byte = at(-2000);
        view.last_request_progress = at(-2000);
        CHECK(proxy::detect_stall(view, route) == proxy::stall::process_suspended);
    }
    SECTION("and the next check comes before the request has waited too long") {
        CHECK(proxy::first_check_delay(route, false) == base::milliseconds(375));
        view.last_request_progress = at(-700);
        CHECK(proxy::next_check_delay(view, route) == base::milliseconds(100));
        view.last_request_progress = at(-900);
        CHECK(proxy::next_check_delay(view, route) == base::milliseconds(375));
    }
}
