#include "routes/operators_config.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

routes::operators_config sample_config() {
    routes::operators_config config;
    config.routes = {{.name = "all", .host = "desk.example", .prefix = "/a/"},
                     {.name = "deep", .host = "desk.example", .prefix = "/a/b/"},
                     {.name = "other", .host = "line.example", .prefix = "/a/"}};
    config.teams = {{.id = {"north"}, .keys = {"k1", "k2"}}, {.id = {"south"}, .keys = {"k3"}}};
    routes::build_indexes(config);
    return config;
}

std::string route_of(const routes::operators_config& config, std::string_view host,
                     std::string_view target) {
    const auto* found = routes::find_route(config, host, target);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("a request is matched to the route with the longest prefix", "[routes]") {
    const auto config = sample_config();
    CHECK(route_of(config, "desk.example", "/a/x") == "all");
    CHECK(route_of(config, "desk.example", "/a/b/x") == "deep");
    CHECK(route_of(config, "Desk.Example:80", "/a/b/") == "deep");
    CHECK(route_of(config, "line.example", "/a/b/x") == "other");
    CHECK(route_of(config, "desk.example", "/a").empty());
    CHECK(route_of(config, "desk.example", "/c/?/a/").empty());
    CHECK(route_of(config, "none.example", "/a/").empty());
}

TEST_CASE("an API key identifies one team", "[routes]") {
    const auto config = sample_config();
    CHECK(routes::find_team(config, "k2")->id.value == "north");
    CHECK(routes::find_team(config, "k3")->id.value == "south");
    CHECK(routes::find_team(config, "") == nullptr);
}

TEST_CASE("requests are distributed over a route's pools by weight", "[routes]") {
    const routes::route split{.destinations = {{{"old"}, 90}, {{"new"}, 10}}};
    int to_new = 0;
    for (std::uint64_t number = 0; number < 1000; ++number) {
        to_new += routes::choose_pool(split, number).value == "new" ? 1 : 0;
    }
    CHECK(to_new == 100);
    const routes::route all_zero{.destinations = {{{"old"}, 0}, {{"new"}, 0}}};
    CHECK(routes::choose_pool(all_zero, 7).value == "old");
}
