#include "proxy/run_times.h"

#include <catch2/catch.hpp>

using namespace camphorrail;
using base::milliseconds;

namespace {

base::instant at(int seconds) {
    return base::instant(base::seconds(seconds));
}

} // namespace

TEST_CASE("the longest recent run of a route is known", "[proxy]") {
    proxy::run_times times;
    CHECK_FALSE(proxy::longest_run_time(times, "confirm"));
    proxy::record_run_time(times, "confirm", milliseconds(900), at(1));
    proxy::record_run_time(times, "confirm", milliseconds(200), at(2));
    proxy::record_run_time(times, "draft", milliseconds(4000), at(2));
    CHECK(proxy::longest_run_time(times, "confirm") == milliseconds(900));

    SECTION("over the end of a period") {
        proxy::record_run_time(times, "confirm", milliseconds(300), at(40));
        CHECK(proxy::longest_run_time(times, "confirm") == milliseconds(900));
        proxy::record_run_time(times, "confirm", milliseconds(100), at(80));
        CHECK(proxy::longest_run_time(times, "confirm") == milliseconds(300));
    }
    SECTION("until the route is removed") {
        proxy::keep_routes(times, {"draft"});
        CHECK_FALSE(proxy::longest_run_time(times, "confirm"));
        CHECK(proxy::longest_run_time(times, "draft") == milliseconds(4000));
    }
}

// Guards against requests that a stopping entry passes on although it ends before they are
// answered.
TEST_CASE("a stopping entry sends what it can still answer", "[proxy][stop]") {
    proxy::last_request request{milliseconds(1500), milliseconds(8000), milliseconds(1000)};
    CHECK(proxy::may_be_sent_before_exit(request));

    SECTION("nothing that has run for longer lately") {
        request.longest_run = milliseconds(1600);
        CHECK_FALSE(proxy::may_be_sent_before_exit(request));
    }
    SECTION("nothing of unknown duration whose client waits for longer") {
        request.longest_run.reset();
        CHECK_FALSE(proxy::may_be_sent_before_exit(request));
        request.client_time_left = milliseconds(1000);
        CHECK(proxy::may_be_sent_before_exit(request));
    }
    SECTION("what has never run, as long as new clients arrive") {
        request.longest_run.reset();
        request.new_clients_arrive = true;
        CHECK(proxy::may_be_sent_before_exit(request));
    }
    SECTION("what may be repeated, as long as new clients arrive") {
        request.longest_run = milliseconds(1600);
        request.repeatable = true;
        CHECK_FALSE(proxy::may_be_sent_before_exit(request));
        request.new_clients_arrive = true;
        CHECK(proxy::may_be_sent_before_exit(request));
    }
    SECTION("nothing once its time is over") {
        request.entry_time_left = milliseconds(-1);
        request.longest_run = milliseconds(10);
        CHECK_FALSE(proxy::may_be_sent_before_exit(request));
    }
}
