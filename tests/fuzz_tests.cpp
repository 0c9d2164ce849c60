#include "base/random.h"
#include "config/configuration.h"
#include "config/delta.h"
#include "config/edits.h"
#include "entry/caller_request.h"
#include "once/records.h"
#include "peering/messages.h"
#include "platform/configuration_document.h"
#include "platform/engine_documents.h"
#include "replay/trace.h"
#include "settings/settings.h"
#include "stream/event_splitter.h"
#include "wire/messages.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace camphorrail;

namespace {

struct target {
    std::string name;
    std::string good;
    std::function<void(const std::string&)> read;
};

entry::http_request request_of(const std::string& body) {
    return {"POST", "/v1/chat/completions", "/v1/chat/completions",
            [](const std::string& name) {
                return name == "Authorization" ? std::string("Bearer k") : std::string();
            },
            body};
}

config::directory tables_with_key() {
    auto config = config::initial_configuration();
    config.teams.push_back({{"t"}, 1.0, {{"a", 5, base::milliseconds(100), {}}}});
    config.teams[0].applications[0].key_hashes = {
        "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"}; // of "k"
    config::upstream engine;
    engine.id.value = "e";
    engine.serves = {"m"};
    config.upstreams = {engine};
    return config::make_directory(config);
}

std::vector<target> targets() {
    auto config = config::initial_configuration();
    config.upstreams.push_back({{"pool-1"}, {}, {}, "10.0.0.1:1", {"a"}, {"m"}, {}, false, true});
    const std::string document = config::to_document(config);
    wire::order order;
    order.attempt = "a/1/1";
    order.level_keys = {1, 2};
    order.level_tokens = {3, 4};
    order.body = "{}";
    const once::segment segment{
        {{"k"}, "p", once::outcome::completed, {200, "text/plain", "done", true}, 9}};
    replay::trace recorded;
    recorded.pools.push_back({"pool", {2, 1000, 4, 100, base::micros(20000)}});
    recorded.requests.push_back(
        {base::micros(5), 0, {"quay"}, 7, base::micros(620000), {{7, {40}}}, 3});
    static const auto tables = tables_with_key();
    return {
        {"frames", wire::encode(order), [](const auto& text) { (void)wire::decode(text); }},
        {"settings", "role: entry\nid: e\nlisten: 127.0.0.1:1\nbootstrap: [127.0.0.1:2]\n",
         [](const auto& text) { (void)settings::parse_settings(text); }},
        {"configuration", document,
         [](const auto& text) { (void)config::parse_configuration(text, {1}); }},
        {"deltas", R"([{"from":1,"changes":"{}"}])",
         [](const auto& text) { (void)config::parse_deltas(text); }},
        {"changes", R"({"upstreams":{"set":[{"id":"x"}],"drop":["y"]},"preset_in_force":"o"})",
         [document](const auto& text) { (void)config::apply_changes(document, text); }},
        {"owner records", once::to_text(once::owner_record{{"a"}, {3}, "n", {{"a"}, {"b"}}}),
         [](const auto& text) { (void)once::parse_owner(text); }},
        {"journal segments", once::to_text(segment),
         [](const auto& text) { (void)once::parse_segment(text); }},
        {"event streams", "data: {\"a\":1}\n\nevent: x\r\ndata: [DONE]\r\n\r\n",
         [](const auto& text) {
             stream::event_splitter state;
             for (const auto& event : stream::split(state, text)) {
                 (void)stream::data_of(event);
             }
         }},
        {"traces", replay::to_text(recorded),
         [](const auto& text) { (void)replay::parse_trace(text); }},
        {"listed engines",
         R"({"service":"p","address":"10.0.0.1:8080","zone":"a","version":"v1","slots":64,
             "state":"ready","coldLeftMs":0,"born":1785310069000,"stage":"both",
             "models":[{"name":"m","version":1,"adapters":[]}],"seq":4})",
         [](const auto& text) { (void)platform::read_listed_engine("servers/i-1", text); }},
        {"named weights", R"({"model":"m","version":2})",
         [](const auto& text) { (void)platform::read_named_weights(text); }},
        {"engines' reports",
         R"({"born":17,"models":[{"name":"m","version":1}],"busy":false,"seq":2})",
         [](const auto& text) { (void)platform::read_engine_state(text); }},
        {"operators' configuration",
         R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"stream",
             "timeoutMs":10,"service":"s"}],"services":[{"name":"s","engine":{"slots":4}}],
             "limits":{"headerBytes":1},"tenants":[{"name":"t","keys":["k"]}]})",
         [](const auto& text) { (void)platform::read_configuration(text); }},
        {"entries' loads",
         peering::encode({peering::load_report{
             {{.items = {{{{"e1"}, {17}}, {2, 900, 1900, 1}, base::milliseconds(40)}}}}}}),
         [](const auto& text) { (void)peering::decode(text); }},
        {"entries' readings",
         peering::encode({peering::load_report{
             {{.reads = {{{{1, 2520}, {2, 3780}}, 90, 4, {{"e1"}, {17}}, true, {}}}}}}}),
         [](const auto& text) { (void)peering::decode(text); }},
        {"entries' views of the store",
         peering::encode({peering::store_view{7,
                                              true,
                                              base::micros(5),
                                              base::micros(9),
                                              true,
                                              {42, {}},
                                              {{{"m"}, 2, base::micros(3)}}}}),
         [](const auto& text) { (void)peering::decode(text); }},
        {"entries' crashes",
         peering::encode({peering::crash_report{{{"e1"}, {17}},
                                                base::micros(5),
                                                {{{{"digest"}, 7}, base::micros(9)}}},
                          base::micros(11)}),
         [](const auto& text) { (void)peering::decode(text); }},
        {"callers' bodies",
         R"({"model":"m","stream":true,"stream_options":{},"messages":[{"role":"user","content":"x"}]})",
         [](const auto& text) { (void)entry::read_request(request_of(text), tables, {}, "own"); }}};
}

std::string damage(std::string text, base::random_source& random) {
    const auto changes = 1 + base::random_below(random, 6);
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const auto place = base::random_below(random, text.size());
        switch (base::random_below(random, 5)) {
        case 0:
            text[place] = static_cast<char>(base::random_bits(random));
            break;
        case 1:
            text.erase(place, base::random_below(random, 8));
            break;
        case 2:
            text.insert(place, text.substr(base::random_below(random, text.size()), 12));
            break;
        case 3:
            text[place] = "{}[]\":,0-9e.\n"[base::random_below(random, 13)];
            break;
        default:
            text.resize(place);
            break;
        }
    }
    return text;
}

} // namespace

// Bytes from outside come damaged or made to do harm. Whatever they are, each reader refuses them
// or reads them; none throws, crashes or hangs. The inputs come from a fixed seed; with a
// sanitizer's build the same target finds more.
TEST_CASE("readers of bytes from outside stand any input", "[fuzz]") {
    constexpr int rounds = 4000;
    for (const auto& one : targets()) {
        base::random_source random{11};
        int thrown = 0;
        std::string first;
        for (int round = 0; round < rounds; ++round) {
            const std::string bad = damage(one.good, random);
            try {
                one.read(bad);
            } catch (const std::exception& error) {
                if (thrown++ == 0) {
                    first = bad;
                    first += " -> ";
                    first += error.what();
                }
            }
        }
        INFO(one.name << ": " << first);
        CHECK(thrown == 0);
    }
}
