#include "peering/messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace camphorrail;

TEST_CASE("store views, load reports and suspicions are unchanged by encoding and decoding",
          "[proxy]") {
    const peering::store_view view{7,
                                   true,
                                   base::micros(1500),
                                   base::micros(2500),
                                   true,
                                   {42, {{{"config", std::string("\xff\0x", 3), 9}, false}}},
                                   {{{"desk-8b"}, 4, base::micros(70)}, {{"desk-8b"}, 5, {}}},
                                   {"config"}};
    const auto decoded = peering::decode(peering::encode({view}));
    REQUIRE(decoded.has_value());
    const auto& got = std::get<peering::store_view>(decoded.value().payload);
    CHECK(got.query_id == 7);
    CHECK(got.confirmed);
    CHECK(got.age == base::micros(1500));
    CHECK(got.complete_age == base::micros(2500));
    CHECK(got.complete);
    CHECK(got.changes.revision == 42);
    REQUIRE(got.targets.size() == 2);
    CHECK(got.targets[0].model.value == "desk-8b");
    CHECK(got.targets[0].version == 4);
    CHECK(got.targets[0].age == base::micros(70));
    CHECK_FALSE(got.targets[1].age);
    REQUIRE(got.changes.items.size() == 1);
    CHECK(got.changes.items[0].item.value == view.changes.items[0].item.value);
    CHECK(got.omitted_keys == view.omitted_keys);
    const auto query = peering::decode(peering::encode({peering::store_query{8, 41, true}}));
    CHECK(std::get<peering::store_query>(query.value().payload).needs_large_values);

    peering::entry_load sent_load;
    sent_load.from = {"entry-3"};
    sent_load.age = base::milliseconds(70);
    sent_load.complete = true;
    sent_load.items = {{{{"e1"}, {17}}, {2, 900, 1900, 1}, base::milliseconds(40)}};
    sent_load.uptime = base::milliseconds(12'000);
    sent_load.usage = {{{"north"}, 4, base::micros(1500), {9230}, {18460}}};
    const auto load = peering::decode(peering::encode({peering::load_report{{{}, sent_load}}}));
    const auto& relayed = std::get<peering::load_report>(load.value().payload).loads.at(1);
    CHECK(relayed.from.value == "entry-3");
    CHECK(relayed.age == base::milliseconds(70));
    CHECK(relayed.complete);
    CHECK(relayed.uptime == base::seconds(12));
    CHECK(relayed.usage.at(0).team.value == "north");
    CHECK(relayed.usage.at(0).count_id == 4);
    CHECK(relayed.usage.at(0).age == base::micros(1500));
    CHECK(relayed.usage.at(0).used.value == 9230);
    CHECK(relayed.usage.at(0).requested.value == 18460);
    CHECK(relayed.items.at(0).work.pending_prefill_tokens == 900);
    CHECK(relayed.items.at(0).work.kv_tokens == 1900);
    CHECK(relayed.items.at(0).work.non_retryable == 1);
    const auto suspicion = peering::decode(peering::encode(
        {peering::suspicion{{{"e1"}, {17}}, base::milliseconds(250), "silent", true}}));
    CHECK(std::get<peering::suspicion>(suspicion.value().payload).reason == "silent");
    CHECK(std::get<peering::suspicion>(suspicion.value().payload).changing_weights);
    const auto end = peering::decode(
        peering::encode({peering::upstream_responding{{{"e1"}, {17}}, base::micros(1500)}}));
    CHECK(std::get<peering::upstream_responding>(end.value().payload).upstream.incarnation.value ==
          17);
    CHECK(std::get<peering::upstream_responding>(end.value().payload).age == base::micros(1500));
}

TEST_CASE("bytes that are not a valid message are rejected", "[proxy]") {
    const std::vector<std::string> broken{"", "\x81", "hello", "\x81\x64nope",
                                          std::string("\x82\x63") + "ask\x01"};
    for (const auto& bytes : broken) {
        CHECK(peering::decode(bytes).error() == base::code::frame_malformed);
    }
}

TEST_CASE("store changes are unchanged by encoding and decoding", "[proxy]") {
    peering::store_changes sent;
    sent.base_revision = 41;
    sent.omitted_keys = {"a"};
    sent.changes = {43, {{{"a", "\xff", 42}, false}, {{"b", "", 43}, true}}};
    const auto read = peering::decode(peering::encode({sent}));
    const auto& got = std::get<peering::store_changes>(read.value().payload);
    CHECK(got.base_revision == 41);
    CHECK(got.omitted_keys == sent.omitted_keys);
    CHECK(got.changes.revision == 43);
    REQUIRE(got.changes.items.size() == 2);
    CHECK(got.changes.items[0].item.value == "\xff");
    CHECK(got.changes.items[1].deleted);
}

TEST_CASE("prompt reads and KV cache store contents are unchanged by encoding and decoding",
          "[proxy]") {
    kvcache::prompt_prefill sent;
    sent.levels = {{1, 2520}, {~0ULL, 3780}};
    sent.weights = 4;
    sent.engine = {{"e1"}, {17}};
    sent.saved = true;
    sent.first_byte = {{2890.0, 400.0, 1.5}, 62.5};
    peering::entry_load load;
    load.reads = {sent};
    const auto reads = peering::decode(peering::encode({peering::load_report{{load}}}));
    const auto& read =
        std::get<peering::load_report>(reads.value().payload).loads.at(0).reads.at(0);
    CHECK(read.levels.at(1).key == ~0ULL);
    CHECK(read.levels.at(1).tokens == 3780);
    CHECK(read.first_byte.work.tokens == 2890.0);
    CHECK(read.first_byte.ms == 62.5);
    CHECK(read.engine.id.value == "e1");
    CHECK(read.saved);
    const auto kept = peering::decode(
        peering::encode({peering::kv_store_contents{"10.9.9.9:1", true, false, {{~0ULL, 2520}}}}));
    const auto& view = std::get<peering::kv_store_contents>(kept.value().payload);
    CHECK(view.complete);
    CHECK(view.parts.at(0).part == ~0ULL);
    CHECK(view.parts.at(0).tokens == 2520);
}

TEST_CASE("frames carry the uptime of their sender", "[proxy]") {
    const auto read = peering::decode(peering::encode(
        {peering::handshake{{"entry-3"}, {"a"}, 1'700'000'000'000}, base::seconds(7)}));
    REQUIRE(read.has_value());
    CHECK(read.value().uptime == base::seconds(7));
    const auto& first = std::get<peering::handshake>(read.value().payload);
    CHECK(first.from.value == "entry-3");
    CHECK(first.zone.value == "a");
    CHECK(first.incarnation == 1'700'000'000'000);
}

// Guards against builds that can't run side by side during an upgrade: older ones send no eras, and
// read the numbers of revisions where they always were.
TEST_CASE("revisions are exchanged with builds that do not know eras", "[proxy]") {
    using nlohmann::json;
    const peering::store_changes sent{{3, 41}, {}, {{3, 42}, {{{"key", "value", {3, 42}}, false}}}};
    const auto bytes = peering::encode({sent, base::micros(5)});

    SECTION("as an older build reads them") {
        const json message = json::from_cbor(bytes).at(1);
        CHECK(message.at(1) == 41);
        CHECK(message.at(3).at(0) == 42);
        CHECK(message.at(3).at(1).at(0).at(2) == 42);
        CHECK(message.at(3).at(1).at(0).at(3) == false);
    }
    SECTION("as this one reads them") {
        const auto read = peering::decode(bytes);
        REQUIRE(read.has_value());
        const auto& got = std::get<peering::store_changes>(read.value().payload);
        CHECK(got.base_revision == sent.base_revision);
        CHECK(got.changes.revision == sent.changes.revision);
        CHECK(got.changes.items.at(0).item.mod_revision == base::revision{3, 42});
    }
    SECTION("as an older build sends them") {
        const json query = {5, {"ask", 7, 42}};
        std::string older;
        json::to_cbor(query, older);
        auto read = peering::decode(older);
        REQUIRE(read.has_value());
        auto& got = std::get<peering::store_query>(read.value().payload);
        CHECK(got.revision < base::revision{0, 1});
        peering::replace_unknown_eras(got, 0);
        CHECK(got.revision == base::revision{0, 42});
    }
}

TEST_CASE("messages on the origins of streams are unchanged by encoding and decoding", "[proxy]") {
    const peering::stream_origin_item item{
        {"r1"}, {{"pool"}, {"v1.2"}, {{"i-1"}, {17}}}, base::milliseconds(4200)};
    const auto sent = peering::decode(peering::encode({peering::stream_origins{{item, item}}}));
    const auto& origins = std::get<peering::stream_origins>(sent.value().payload);
    REQUIRE(origins.items.size() == 2);
    CHECK(origins.items[1].request.value == "r1");
    CHECK(origins.items[1].origin.pool.value == "pool");
    CHECK(origins.items[1].origin.software.value == "v1.2");
    CHECK(origins.items[1].origin.upstream == item.origin.upstream);
    CHECK(origins.items[1].remaining == base::milliseconds(4200));
    const auto asked = peering::decode(peering::encode({peering::origin_query{7, {"r1"}}}));
    CHECK(std::get<peering::origin_query>(asked.value().payload).query_id == 7);
    CHECK(std::get<peering::origin_query>(asked.value().payload).request.value == "r1");
    const auto known = peering::decode(peering::encode({peering::origin_reply{7, item}}));
    CHECK(std::get<peering::origin_reply>(known.value().payload).item->request.value == "r1");
    const auto unknown = peering::decode(peering::encode({peering::origin_reply{8, {}}}));
    CHECK(std::get<peering::origin_reply>(unknown.value().payload).query_id == 8);
    CHECK_FALSE(std::get<peering::origin_reply>(unknown.value().payload).item.has_value());
    const auto seen = peering::decode(
        peering::encode({peering::software_record_seen{{"pool"}, base::revision{2, 31}}}));
    CHECK(std::get<peering::software_record_seen>(seen.value().payload).pool.value == "pool");
    CHECK(std::get<peering::software_record_seen>(seen.value().payload).revision ==
          base::revision{2, 31});
}

TEST_CASE("messages about rate limits are the same after decoding", "[proxy]") {
    const peering::upstream_limit limited{
        {{"i-1"}, {7}}, ratelimit::requests_per_second{1.3}, base::micros(1500), base::micros(400)};
    const peering::upstream_limit ended{{{"i-2"}, {8}}, {}, base::micros(9), base::micros(3)};
    const auto sent =
        peering::decode(peering::encode({peering::upstream_limits{{limited, ended}}}));
    const auto& items = std::get<peering::upstream_limits>(sent.value().payload).items;
    REQUIRE(items.size() == 2);
    CHECK(items[0].upstream == limited.upstream);
    CHECK(items[0].limit == limited.limit);
    CHECK(items[0].asked_ago == limited.asked_ago);
    CHECK(items[0].heard_ago == limited.heard_ago);
    CHECK_FALSE(items[1].limit.has_value());
}

// Guards against closing the link to an entry of an older or a newer build.
TEST_CASE("counts for teams' shares are optional in load reports", "[proxy][shares]") {
    using nlohmann::json;
    const auto decode = [](const json& load) {
        const auto bytes = json::to_cbor(json{70, {"load", json::array({load})}});
        const auto read = peering::decode(std::string(bytes.begin(), bytes.end()));
        return std::get<peering::load_report>(read.value().payload).loads.at(0);
    };
    const json none = json::array();
    json load = {"entry-3", 0, 100, true, none, none, none, 12'000, none};
    CHECK_FALSE(decode(load).shares.has_value());
    load.push_back({5000, {{"pool", {{"north", 4, 900, 700, "later"}}, "later"}}, "later"});
    load.push_back("of a newer build");
    const std::vector<shares::usage_count> expected{{{"north"}, {"pool"}, 4, 900, 700}};
    CHECK(decode(load).shares.value().uptime == base::seconds(5));
    CHECK(decode(load).shares.value().counts == expected);

    peering::entry_load sent;
    const auto transfer = [&sent] {
        const auto read = peering::decode(peering::encode({peering::load_report{{sent}}}));
        return std::get<peering::load_report>(read.value().payload).loads.at(0).shares;
    };
    CHECK_FALSE(transfer().has_value());
    sent.shares = {base::milliseconds(7), {{{"north"}, {"pool"}, 4, 4'000'000'000U, 7}}};
    CHECK(transfer().value().counts == sent.shares->counts);
    sent.shares->counts.clear();
    CHECK(transfer().value().counts.empty());
}

// An older build does not state which messages it understands, and closes a link on which it gets
// others.
TEST_CASE("an entry that states no protocol understands the first one", "[proxy]") {
    const nlohmann::json sent = {5, {"hello", "entry-1", "zone-a", 3}};
    const auto bytes = nlohmann::json::to_cbor(sent);
    const auto read = peering::decode(std::string(bytes.begin(), bytes.end()));
    REQUIRE(read.has_value());
    CHECK(std::get<peering::handshake>(read.value().payload).protocol == peering::first_protocol);
    const peering::handshake current{{"entry-1"}, {"zone-a"}, 3, peering::current_protocol};
    const auto understood = peering::decode(peering::encode({current}));
    CHECK(std::get<peering::handshake>(understood.value().payload).protocol ==
          peering::current_protocol);
}

TEST_CASE("store queries and views of older builds name no large values", "[proxy]") {
    const auto read = [](const nlohmann::json& sent) {
        const auto bytes = nlohmann::json::to_cbor(sent);
        return peering::decode(std::string(bytes.begin(), bytes.end())).value().payload;
    };
    const nlohmann::json query = {5, {"ask", 8, 41, 0}};
    CHECK_FALSE(std::get<peering::store_query>(read(query)).needs_large_values);
    const nlohmann::json changes = {42, nlohmann::json::array(), 0};
    const nlohmann::json view = {
        5, {"view", 8, true, 1500, nullptr, false, changes, nlohmann::json::array()}};
    CHECK(std::get<peering::store_view>(read(view)).omitted_keys.empty());
}

TEST_CASE("crash reports and cleared prompt parts are unchanged by encoding and decoding",
          "[proxy]") {
    const auto part = quarantine::identify_prompt_part({"m0"}, "5c1e07a2");
    const base::instant now{base::seconds(100)};
    const quarantine::crash_report crash{
        {{"e1"}, {17}},
        now - base::seconds(1),
        {{quarantine::identify({"/desk", "north", "r"}), now - base::seconds(2), {}, {part}}},
        {part.digest}};
    const auto decoded = peering::decode(peering::encode({peering::to_message(crash, now)}));
    const auto read =
        peering::from_message(std::get<peering::crash_report>(decoded.value().payload), now);
    CHECK(read.at == crash.at);
    REQUIRE(read.victims.size() == 1);
    CHECK(read.victims[0].request == crash.victims[0].request);
    CHECK(read.victims[0].parts == crash.victims[0].parts);
    CHECK(read.survived == crash.survived);

    const auto cleared =
        peering::decode(peering::encode({peering::cleared_prompt_parts{{part.digest}}}));
    CHECK(std::get<peering::cleared_prompt_parts>(cleared.value().payload).parts.at(0) ==
          part.digest);
}

// Guards against dropping the link to an entry of a build that reports no parts of prompts.
TEST_CASE("a crash report without prompt parts is read", "[proxy]") {
    using nlohmann::json;
    const json victim = {{"digest", 5}, 2000, -1};
    const json report = {"crash", {"e1", 17}, 1000, json::array({victim})};
    const auto bytes = json::to_cbor(json{70, report});
    const auto read = peering::decode(std::string(bytes.begin(), bytes.end()));
    REQUIRE(read.has_value());
    const auto& crash = std::get<peering::crash_report>(read.value().payload);
    REQUIRE(crash.victims.size() == 1);
    CHECK(crash.victims[0].parts.empty());
    CHECK(crash.survived.empty());
}

// Guards against builds that can't run side by side during an upgrade, and against messages that
// change although the feature is off.
TEST_CASE("queues by rank are exchanged with builds that do not know ranks", "[proxy][queueing]") {
    using nlohmann::json;
    peering::upstream_load item{{{"e1"}, {17}}, {2, 900, 1900, 1}, base::milliseconds(40)};
    const auto encoded = [&item] {
        peering::entry_load load;
        load.items = {item};
        return peering::encode({peering::load_report{{load}}});
    };
    const auto read = [](const std::string& bytes) {
        const auto frame = peering::decode(bytes);
        return std::get<peering::load_report>(frame.value().payload).loads.at(0).items.at(0).work;
    };
    const auto first_item = [](const std::string& bytes) {
        return json::from_cbor(bytes).at(1).at(1).at(0).at(4).at(0);
    };
    const json without_ranks = {{"e1", 17}, 2, 900, 1900, 1, 0, 40};
    CHECK(first_item(encoded()) == without_ranks);
    CHECK(read(encoded()).queue == queueing::rank_queue{});
    CHECK(fleet::work_ahead(read(encoded()), queueing::rank{0}).requests == 2);

    item.work.queue.by_rank[3] = {1, 900};
    item.work.queue.ranked_requests = 1;
    // Another request is of a time before ranks were known.
    CHECK(first_item(encoded()) == without_ranks);

    item.work.queue.ranked_requests = 2;
    json expected = without_ranks;
    expected.push_back({{3, 1, 900}});
    CHECK(first_item(encoded()) == expected);
    CHECK(read(encoded()).queue == item.work.queue);
    CHECK(fleet::work_ahead(read(encoded()), queueing::rank{2}).requests == 0);

    SECTION("with elements of a later build") {
        auto whole = json::from_cbor(encoded());
        whole.at(1).at(1).at(0).at(4).at(0).push_back("later");
        const auto bytes = json::to_cbor(whole);
        CHECK(read({bytes.begin(), bytes.end()}).queue == item.work.queue);
    }
    SECTION("but not if they name an unknown rank") {
        auto whole = json::from_cbor(encoded());
        whole.at(1).at(1).at(0).at(4).at(0).at(7).at(0).at(0) = 10;
        const auto bytes = json::to_cbor(whole);
        CHECK(
            peering::decode({reinterpret_cast<const char*>(bytes.data()), bytes.size()}).error() ==
            base::code::frame_malformed);
    }
}
