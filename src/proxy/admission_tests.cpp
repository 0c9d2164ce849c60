#include "platform/configuration_document.h"
#include "proxy/admission.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

std::shared_ptr<const routes::operators_config> sample_config() {
    auto config = std::make_shared<routes::operators_config>();
    config->version = 3;
    config->routes = {{.name = "tag",
                       .host = "desk.example",
                       .prefix = "/tag/",
                       .kind = routes::request_kind::stream,
                       .priority = 4},
                      {.name = "open", .host = "desk.example", .prefix = "/o/", .is_public = true}};
    config->teams = {{.id = {"north"}, .priority = 2, .keys = {"k1"}},
                     {.id = {"south"}, .keys = {"k2"}}};
    routes::build_indexes(*config);
    return config;
}

http::request_head request(const std::string& target) {
    return {"POST", target, {{"Host", "desk.example"}}, true, true};
}

} // namespace

TEST_CASE("a request is admitted by the configuration in force", "[proxy]") {
    const proxy::admission_state state{sample_config(), base::seconds(1), base::milliseconds(4600)};
    const auto code = [&](const std::string& target, const std::string& key) {
        const auto admitted =
            proxy::admit(state, request(target), {.request_id = "1", .bearer_key = key});
        return admitted.has_value() ? 0 : static_cast<int>(base::to_code(admitted.error()));
    };
    CHECK(code("/tag/x", "k1") == 0);
    CHECK(code("/tag/x", "k9") == 205);
    CHECK(code("/tag/x", "") == 205);
    CHECK(code("/o/x", "") == 0);
    CHECK(code("/none/", "k1") == 203);

    SECTION("at its team's priority, or else at its route's") {
        const auto rank = [&](const std::string& key) {
            return proxy::priority_rank(
                proxy::admit(state, request("/tag/x"), {.request_id = "1", .bearer_key = key})
                    .value());
        };
        CHECK(rank("k1") == 2);
        CHECK(rank("k2") == 4);
    }
    SECTION("or at its rank among the pairs of both") {
        const auto table = proxy::make_rank_table(*state.config);
        const auto rank = [&](const std::string& target, const std::string& key) {
            return proxy::queueing_rank(table, proxy::admit(state, request(target),
                                                            {.request_id = "1", .bearer_key = key})
                                                   .value())
                .value;
        };
        CHECK(rank("/o/x", "") == 0);
        CHECK(rank("/tag/x", "k1") == 1);
        CHECK(rank("/tag/x", "k2") == 2);
    }
}

// An entry that is cut off from the store, or frozen, does not learn that a key was revoked and
// would go on accepting it. With a proof older than the bound it must refuse all requests as not
// executed, so that clients try another entry.
TEST_CASE("no request is served on a configuration whose proof is too old", "[proxy]") {
    proxy::admission_state state{sample_config(), base::milliseconds(4601),
                                 base::milliseconds(4600)};
    const ports::client_request metadata{.request_id = "1", .bearer_key = "k1"};
    CHECK(proxy::admit(state, request("/tag/x"), metadata).error() == base::code::not_ready);
    // Not even with a code that the client would take as final.
    CHECK(proxy::admit(state, request("/none/"), metadata).error() == base::code::not_ready);
    state.config_age.reset();
    CHECK(proxy::admit(state, request("/tag/x"), metadata).error() == base::code::not_ready);
    state = {nullptr, base::seconds(1), base::milliseconds(4600)};
    CHECK(proxy::admit(state, request("/tag/x"), metadata).error() == base::code::not_ready);
}

TEST_CASE("only requests that may be executed twice are retried", "[proxy]") {
    using routes::request_kind;
    CHECK(proxy::may_repeat({.kind = request_kind::idempotent}));
    CHECK_FALSE(proxy::may_repeat({.kind = request_kind::once}));
    CHECK_FALSE(proxy::may_repeat({.kind = request_kind::stream}));
    CHECK(proxy::may_repeat({.kind = request_kind::stream, .resumable = true}));
    // `resumable` has no effect on other kinds.
    CHECK_FALSE(proxy::may_repeat({.kind = request_kind::once, .resumable = true}));
}

// Guards against serving requests with any key, or without one, once the last team is removed.
TEST_CASE("a configuration without a team left serves public routes alone", "[proxy]") {
    const auto code = [](const std::string& teams, const std::string& target,
                         const std::string& key) {
        const auto config = platform::read_configuration(
            R"({"version":4,"services":[],"routes":[)"
            R"({"host":"desk.example","prefix":"/tag/","kind":"unsafe","service":"desk"},)"
            R"({"host":"desk.example","prefix":"/o/","kind":"unsafe","service":"desk","public":true}])" +
            teams + "}");
        REQUIRE(config.has_value());
        const proxy::admission_state state{
            std::make_shared<const routes::operators_config>(config.value()), base::seconds(1),
            base::milliseconds(4600)};
        const auto admitted =
            proxy::admit(state, request(target), {.request_id = "1", .bearer_key = key});
        return admitted.has_value() ? 0 : static_cast<int>(base::to_code(admitted.error()));
    };

    SECTION("if its list of teams is empty") {
        const std::string none =
            GENERATE(R"(,"tenants":[])", R"(,"tenants":{})", R"(,"tenants":null)");
        CAPTURE(none);
        CHECK(code(none, "/tag/x", "k1") == 205);
        CHECK(code(none, "/tag/x", "") == 205);
        CHECK(code(none, "/o/x", "") == 0);
    }
    SECTION("and all routes if it has never had teams") {
        CHECK(code("", "/tag/x", "") == 0);
        CHECK(code("", "/tag/x", "k1") == 0);
    }
}
