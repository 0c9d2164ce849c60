#include "base/hash.h"
#include "entry/caller_request.h"

#include <catch2/catch.hpp>

#include <map>

using namespace camphorrail;

namespace {

config::directory make_tables() {
    auto config = config::initial_configuration();
    config.teams.push_back({{"quay"}, 1.0, {{"desk", 7, base::milliseconds(620), {}}}});
    config.teams[0].applications[0].key_hashes.push_back(base::sha256_hex("secret"));
    config::upstream engine;
    engine.id.value = "pool-1";
    engine.serves = {"desk-8b"};
    config::upstream slots;
    slots.id.value = "slots-1";
    slots.kind = config::upstream_kind::service;
    slots.serves = {"slots"};
    slots.repeatable = false;
    config.upstreams = {engine, slots};
    return config::make_directory(config);
}

struct asked {
    std::string method = "POST";
    std::string target = "/v1/completions";
    std::string body = R"({"model":"desk-8b","prompt":"hello"})";
    std::map<std::string, std::string> headers{{"Authorization", "Bearer secret"}};
};

std::variant<entry::caller_request, process::problem> read(const asked& ask) {
    static const auto tables = make_tables();
    const entry::http_request request{
        ask.method, ask.target, ask.target.substr(0, ask.target.find('?')),
        [&ask](const std::string& name) {
            const auto found = ask.headers.find(name);
            return found == ask.headers.end() ? std::string() : found->second;
        },
        ask.body};
    return entry::read_request(request, tables, {}, "own-key");
}

base::code refused(const asked& ask) {
    return std::get<process::problem>(read(ask)).number;
}

} // namespace

TEST_CASE("callers' requests", "[entry]") {
    asked ask;

    SECTION("for a model are routed by their prompt and may be repeated") {
        const auto made = std::get<entry::caller_request>(read(ask));
        CHECK(made.pool.value == "model:desk-8b");
        CHECK(made.key.empty());
        CHECK(made.chain.size() == 1);
        CHECK(made.caller.priority == 7);
    }

    SECTION("that stream ask the engine for usage, and spare the caller what it did not ask for") {
        ask.body = R"({"model":"desk-8b","prompt":"hello","stream":true})";
        const auto made = std::get<entry::caller_request>(read(ask));
        CHECK(made.hide_usage);
        CHECK(made.body.find("\"include_usage\":true") != std::string::npos);
    }

    SECTION("with a key must not run twice, and the key belongs to the team") {
        ask.headers["Idempotency-Key"] = "slot-17";
        CHECK(std::get<entry::caller_request>(read(ask)).key.value == "quay/slot-17");
    }

    SECTION("for a service that may not be repeated get a key also where the caller sent none") {
        ask.target = "/services/slots/confirm?x=1";
        const auto made = std::get<entry::caller_request>(read(ask));
        CHECK(made.key_is_ours);
        CHECK(made.path == "/confirm?x=1");
        ask.method = "GET";
        CHECK(std::get<entry::caller_request>(read(ask)).key.empty());
    }

    SECTION("that are wrong are refused with the number that says how") {
        CHECK(refused({"POST", "/v1/completions", "{}", {}}) == base::code::key_missing_or_wrong);
        ask.headers["Authorization"] = "Bearer wrong";
        CHECK(refused(ask) == base::code::key_missing_or_wrong);
        ask = {};
        for (const char* body : {"", "[]", "{}", R"({"model":1})", R"({"model":"desk-8b"})",
                                 R"({"model":"desk-8b","prompt":[1]})"}) {
            ask.body = body;
            CHECK(refused(ask) == base::code::body_malformed);
        }
        ask.body = R"({"model":"none","prompt":"x"})";
        CHECK(refused(ask) == base::code::unknown_model);
        ask = {};
        ask.target = "/services/none/x";
        CHECK(refused(ask) == base::code::unknown_service);
        ask.target = "/nowhere";
        CHECK(refused(ask) == base::code::unknown_path);
        ask = {};
        ask.method = "GET";
        CHECK(refused(ask) == base::code::method_not_allowed);
        ask = {};
        ask.headers["Idempotency-Key"] = "two words";
        CHECK(refused(ask) == base::code::bad_idempotency_key);
        ask = {};
        ask.body = std::string((4 << 20) + 1, ' ');
        CHECK(refused(ask) == base::code::body_too_large);
    }
}

// Guards against a body of legal size that takes up many times its size once it is read.
TEST_CASE("a body of very many values is refused", "[entry]") {
    const auto with_values = [](std::size_t count) {
        std::string list = "0";
        for (std::size_t value = 1; value < count; ++value) {
            list += ",0";
        }
        asked ask;
        ask.body = R"({"model":"desk-8b","prompt":"hello","more":[)" + list + "]}";
        return ask;
    };
    CHECK(refused(with_values(100'000)) == base::code::body_malformed);
    CHECK(std::holds_alternative<entry::caller_request>(read(with_values(90'000))));

    SECTION("also if they hold one another") {
        asked ask;
        ask.body = R"({"model":"desk-8b","prompt":"hello","more":)" + std::string(200'000, '[') +
                   std::string(200'000, ']') + "}";
        CHECK(refused(ask) == base::code::body_malformed);
    }
}
