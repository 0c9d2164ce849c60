#include "own_address.h"
#include "proxy/peers.h"
#include "proxy/target_weights.h"
#include "proxy/upstream_choice.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const std::string other_address = tests::own_address(18993);
constexpr std::size_t max_message_bytes = 1U << 20U;

// A store that never responds.
ports::platform unresponsive_store() {
    ports::platform store;
    store.commit = [](const ports::transaction&, auto) {};
    store.grant_lease = [](std::int64_t, auto) {};
    store.renew_lease = [](const ports::lease&, auto) {};
    return store;
}

// An entry that connects to a peer whose side of the link is played by the test.
struct peer_world {
    tests::proxy_world world;
    proxy::peers others;
    std::vector<peering::message> received_messages;
    adapters::link_ptr other;
    std::unique_ptr<adapters::link_listener> listener;
    base::instant other_started;

    peer_world()
        : others(this->world.entry(), unresponsive_store()),
          other_started(this->world.entry().now() - base::seconds(3)) {
        this->world.prove_config();
        this->others.verifies_store = [] { return true; };
        this->others.is_reading_store = [] { return false; };
        this->others.initial_messages = [] { return std::vector<peering::message>{}; };
        this->others.entry_connected = [](const base::entry_id&) {};
        this->others.target_weights_received = [this](const auto& from, const auto& reports,
                                                      base::instant queried_at) {
            proxy::apply_reported_targets(this->world.entry(), from, reports, queried_at);
        };
        const std::string key = this->world.entry().codec.own_prefix + "entries/zz";
        this->world.state.store.items[key] = {key, other_address, 1};
        this->listener = adapters::listen_for_links(
            this->world.entry().loop.base(), other_address, {max_message_bytes},
            [this](const adapters::link_ptr& accepted) {
                this->other = accepted;
                accepted->received.connect([this](std::string_view bytes) {
                    this->received_messages.push_back(peering::decode(bytes).value().payload);
                });
            });
    }

    // Sends a message from the peer, written now or after the peer had run for `uptime`.
    void send(peering::message payload) {
        this->send(std::move(payload), this->world.entry().now() - this->other_started);
    }
    void send(peering::message payload, base::micros uptime) {
        this->other->send(peering::encode({std::move(payload), uptime}));
    }

    // The peer identifies itself as an entry that understands a protocol.
    void identify(std::int64_t protocol) {
        bool identified = false;
        this->others.entry_connected = [&](const base::entry_id&) { identified = true; };
        this->send(peering::handshake{{"zz"}, {"a"}, 1, protocol});
        REQUIRE(this->world.run_until([&] { return identified; }));
    }

    // The latest message of a type that the peer has received; null if there is none.
    template <class Message>
    const Message* last_received() const {
        const Message* last = nullptr;
        for (const auto& each : this->received_messages) {
            const auto* found = std::get_if<Message>(&each);
            last = found == nullptr ? last : found;
        }
        return last;
    }

    // Advances the clock and runs ticks until a condition holds.
    bool tick_until(const std::function<bool()>& condition) {
        return this->world.run_until([&] {
            this->world.move_clock(base::milliseconds(20));
            this->others.tick();
            return condition();
        });
    }
};

} // namespace

// A link is dropped because its peer is unresponsive or sends malformed data, but messages that had
// already arrived are still delivered together. Handling them as if the link were known terminated
// the process and cut off the clients of a hundred entries.
TEST_CASE("messages that arrive on a dropped link are ignored", "[proxy]") {
    peer_world peer;
    REQUIRE(peer.tick_until([&] { return !peer.received_messages.empty(); }));
    peer.other->send("no message");
    peer.send(peering::load_report{});
    REQUIRE(peer.tick_until([&] { return peer.others.connected_entries().empty(); }));
    // The entry reconnects.
    CHECK(peer.tick_until([&] { return peer.received_messages.size() >= 2; }));
}

// A newly started entry accepts some links and opens others. The initial messages, such as the
// contents of the KV cache stores, used to be sent before half of these links were open and were
// lost, so the entry worked for minutes with a fraction of what its peers knew.
TEST_CASE("both ends of a new link receive the initial messages", "[proxy]") {
    peer_world peer;
    peer.others.initial_messages = [] {
        return std::vector<peering::message>{
            peering::kv_store_contents{"10.9.9.9:1", true, false, {}}};
    };
    REQUIRE(peer.others.listen());
    std::vector<peering::message> reports;
    auto newcomer =
        adapters::connect_link(peer.world.entry().loop.base(),
                               peer.world.entry().settings.peer_listen, {max_message_bytes});
    newcomer->received.connect(
        [&](std::string_view bytes) { reports.push_back(peering::decode(bytes).value().payload); });
    const auto got_initial_messages = [](const std::vector<peering::message>& got) {
        return got.size() >= 2 && std::holds_alternative<peering::handshake>(got.front());
    };
    CHECK(peer.tick_until([&] { return got_initial_messages(peer.received_messages); }));
    CHECK(peer.tick_until([&] { return got_initial_messages(reports); }));
}

// Guards against links that state nothing and leave no room for those of other entries.
TEST_CASE("a link that does not say which entry it is of is dropped", "[proxy]") {
    peer_world peer;
    REQUIRE(peer.others.listen());
    auto stranger =
        adapters::connect_link(peer.world.entry().loop.base(),
                               peer.world.entry().settings.peer_listen, {max_message_bytes});
    bool is_closed = false;
    stranger->closed.connect([&] { is_closed = true; });
    const bool identifies_itself = GENERATE(false, true);
    stranger->received.connect([&](std::string_view bytes) {
        const auto message = peering::decode(bytes).value().payload;
        if (const auto* query = std::get_if<peering::store_query>(&message)) {
            peering::store_view reply;
            reply.query_id = query->query_id;
            stranger->send(peering::encode({reply, base::seconds(1)}));
        }
    });
    stranger->opened.connect([&] {
        if (identifies_itself) {
            stranger->send(
                peering::encode({peering::handshake{{"aa"}, {"a"}, 1}, base::seconds(1)}));
        }
    });
    const auto start = peer.world.entry().now();
    REQUIRE(peer.tick_until(
        [&] { return is_closed || peer.world.entry().now() - start > base::seconds(20); }));
    CHECK(is_closed != identifies_itself);
}

// A failure seen by one entry may be due to its own network, so other entries prefer other
// upstreams but still send to the suspected one rather than refuse. An upstream that is changing
// weights gets nothing new.
TEST_CASE("an upstream suspected by another entry still serves if no other is left", "[proxy]") {
    peer_world peer;
    peer.world.add_engine("service", [](const auto&) { return tests::engine_script{}; });
    REQUIRE(peer.tick_until([&] { return peer.other && !peer.received_messages.empty(); }));
    const auto& members = peer.world.state.fleet.members;
    const auto& service = members.at({"service"});
    const auto now = [&] { return peer.world.entry().now(); };
    const auto send = [&](bool changing) {
        peer.send(peering::suspicion{{{"service"}, {}},
                                     base::milliseconds(60000),
                                     changing ? "loading" : "unreachable",
                                     changing});
    };
    send(false);
    REQUIRE(peer.tick_until([&] { return fleet::is_suspected(service, now()); }));
    CHECK(proxy::count_upstreams(peer.world.entry(), service.listed.pool).suspected == 1);
    CHECK(proxy::choose_upstream(peer.world.entry(), {.pool = service.listed.pool}));
    send(true);
    REQUIRE(peer.tick_until([&] { return service.busy_until > now(); }));
    CHECK_FALSE(proxy::choose_upstream(peer.world.entry(), {.pool = service.listed.pool}));
}

// An entry that does not know yet of an engine's restart goes on reporting in-flight work, cached
// prompts and failures of the previous incarnation. Applied to the new one, they would keep
// requests from an idle engine and fetch prompts that it has lost.
TEST_CASE("reports about an upstream's previous incarnation are ignored", "[proxy]") {
    peer_world peer;
    peer.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    auto& engine = peer.world.state.fleet.members.at({"engine"});
    engine.listed.incarnation = {200};
    peer.world.config.pools.at({"pool"}).kv_capacity_tokens = 100000;
    peer.world.prove_config();
    REQUIRE(peer.tick_until([&] { return peer.other && !peer.received_messages.empty(); }));
    constexpr std::uint64_t prompt = 9;
    constexpr std::int64_t weights = 1;
    const auto report = [&](std::int64_t incarnation) {
        const base::upstream_instance of{{"engine"}, {incarnation}};
        peer.send(peering::suspicion{of, base::milliseconds(60000), "unreachable", false});
        peering::entry_load load;
        load.from = {"zz"};
        load.report_interval = base::milliseconds(60000);
        load.items = {{of, {2, 900, 1900, 0}, base::milliseconds(0)}};
        kvcache::prompt_prefill read;
        read.levels = {{prompt, 500}};
        read.weights = weights;
        read.engine = of;
        load.reads = {read};
        peer.send(peering::load_report{{load}});
        peer.send(peering::kv_store_contents{std::to_string(incarnation)});
    };
    std::string last_reported_store;
    peer.others.kv_store_contents_received = [&](const auto&, const auto& contents) {
        last_reported_store = contents.store;
    };
    const auto readings = [&] {
        return kvcache::readers_of(peer.world.state.cache,
                                   kvcache::cached_level_key(prompt, weights, 0))
            .size();
    };
    report(100);
    REQUIRE(peer.tick_until([&] { return last_reported_store == "100"; }));
    const auto now = peer.world.entry().now();
    CHECK(fleet::is_eligible(engine, now));
    CHECK(fleet::total_work(engine, now).in_flight == 0);
    CHECK(readings() == 0);
    report(200);
    REQUIRE(peer.tick_until([&] { return last_reported_store == "200"; }));
    CHECK(fleet::is_suspected(engine, now));
    CHECK(fleet::total_work(engine, now).in_flight == 2);
    CHECK(readings() == 1);
}

namespace {

const base::upstream_instance first_engine{{"e1"}, {1}};
const base::upstream_instance second_engine{{"e2"}, {1}};
constexpr base::milliseconds sent_before{100};

// An entry whose peer reports crashes. The clock moves only when the test moves it.
struct crash_world : peer_world {
    int reports_received = 0;

    crash_world() {
        this->world.stop_clock();
        this->others.crash_report_received = [this](const auto& from, const auto& report,
                                                    base::instant written) {
            this->world.crash_detector().receive(from, report, written);
            ++this->reports_received;
        };
        this->others.quarantine_notice_received = [this](const auto& from, const auto& report,
                                                         base::instant written) {
            this->world.crash_detector().receive(from, report, written);
            ++this->reports_received;
        };
        REQUIRE(
            this->tick_until([this] { return this->other && !this->received_messages.empty(); }));
        this->send_handshake(1);
    }

    void send_handshake(std::int64_t incarnation) {
        this->send(peering::handshake{{"zz"}, {"a"}, incarnation});
        REQUIRE(this->world.run_until([this] {
            const auto connected = this->others.connected_entries();
            return !connected.empty() && this->all_messages_read();
        }));
    }

    // Whether everything sent so far has been read, shown by the response to a query sent after it.
    bool all_messages_read() {
        const auto before = this->received_messages.size();
        this->send(peering::store_query{1, 0});
        return this->world.run_until(
            [this, before] { return this->received_messages.size() > before; });
    }

    // Sends a message written now that is read only after `delay`.
    void send_delayed(const peering::message& message, base::micros delay) {
        const base::micros uptime = this->world.entry().now() - this->other_started;
        this->world.move_clock(delay);
        this->send(message, uptime);
        REQUIRE(this->all_messages_read());
    }

    // A crash of an engine right now, with one request in flight.
    [[nodiscard]] quarantine::crash_report loss(const base::upstream_instance& of,
                                                const std::string& body) {
        const base::instant now = this->world.entry().now();
        const auto request = quarantine::identify({"/safe/x", "north", body});
        return {of, now, {{request, now - sent_before, {}}}};
    }

    void record_local_loss(const base::upstream_instance& of, const std::string& body) {
        const auto report = this->loss(of, body);
        quarantine::record_crash(this->world.state.quarantine, report, report.at, {});
    }

    void report_remote_loss(const base::upstream_instance& of, const std::string& body,
                            base::micros delay) {
        const auto report = this->loss(of, body);
        this->world.move_clock(base::milliseconds(20));
        this->send_delayed(peering::to_message(report, this->world.entry().now()), delay);
    }

    std::size_t count_quarantined_later() {
        this->world.move_clock(base::milliseconds(400));
        return quarantine::decide_quarantines(this->world.state.quarantine,
                                              this->world.entry().now(), {})
            .size();
    }
};

} // namespace

// Guards against quarantining a harmless request for engines that were lost together, when the
// report of one crash arrives late.
TEST_CASE("a crash reported late keeps its original time", "[proxy][quarantine]") {
    const auto delay = GENERATE(values<base::milliseconds::rep>({0, 40, 60, 100, 200, 1000, 5000}));
    CAPTURE(delay);
    crash_world peer;
    peer.record_local_loss(first_engine, "popular");
    peer.report_remote_loss(second_engine, "popular", base::milliseconds(delay));
    REQUIRE(peer.reports_received == 1);
    CHECK(peer.count_quarantined_later() == 0);
}

// Guards against failing to quarantine a fatal request that is reported after other requests of the
// same crash.
TEST_CASE("a request copy reported late keeps its original send time", "[proxy][quarantine]") {
    const auto delay = GENERATE(values<base::milliseconds::rep>({0, 40, 200, 1000, 5000}));
    CAPTURE(delay);
    crash_world peer;
    peer.record_local_loss(first_engine, "fatal");
    peer.world.move_clock(base::seconds(1));
    peer.record_local_loss(second_engine, "bystander");
    peer.report_remote_loss(second_engine, "fatal", base::milliseconds(delay));
    REQUIRE(peer.reports_received == 1);
    CHECK(peer.count_quarantined_later() == 1);
}

// Guards against suspicions and quarantines that last longer by the time their message waited to be
// read.
TEST_CASE("durations sent by another entry count from when the message was written", "[proxy]") {
    crash_world peer;
    peer.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const auto& engine = peer.world.state.fleet.members.at({"engine"});
    const base::instant written = peer.world.entry().now();
    constexpr base::milliseconds delay{800};

    SECTION("suspicion") {
        peer.send_delayed(
            peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "unreachable", false},
            delay);
        CHECK(engine.suspected_until == written + base::milliseconds(1000));
    }
    SECTION("weight change") {
        peer.send_delayed(
            peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "loading", true}, delay);
        CHECK(engine.weights_change_until == written + base::milliseconds(1000));
    }
    SECTION("quarantine") {
        const auto request = quarantine::identify({"/safe/x", "north", "fatal"});
        peer.send_delayed(peering::quarantine_notice{request, base::minutes(1)}, delay);
        const auto held =
            quarantine::quarantined_requests(peer.world.state.quarantine, peer.world.entry().now());
        REQUIRE(held.size() == 1);
        CHECK(held[0].span == base::minutes(1) - delay);
    }
    SECTION("quarantine that expired before it was read") {
        const auto request = quarantine::identify({"/safe/x", "north", "fatal"});
        peer.send_delayed(peering::quarantine_notice{request, base::milliseconds(500)}, delay);
        REQUIRE(peer.reports_received == 1);
        CHECK(
            quarantine::quarantined_requests(peer.world.state.quarantine, peer.world.entry().now())
                .empty());
    }
}

// Guards against sending requests to an upstream that left long ago, each time an entry connects.
TEST_CASE("a drain report relayed to another entry keeps its original time", "[proxy][words]") {
    const auto delay = GENERATE(values<base::milliseconds::rep>({0, 800, 5000}));
    CAPTURE(delay);
    crash_world peer;
    tests::proxy_world other;
    other.stop_clock();
    for (auto* each : {&peer.world, &other}) {
        each->add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    }
    const auto reported_at = peer.world.entry().now();
    proxy::record_drain_report(other.entry(), {{"engine"}, {}}, "", other.entry().now());
    for (auto* each : {&peer.world, &other}) {
        each->move_clock(base::minutes(1));
    }
    const auto reports = proxy::collect_drain_reports(other.entry());
    REQUIRE(reports.size() == 1);
    peer.send_delayed(reports.at(0), base::milliseconds(delay));
    const auto& engine = peer.world.state.fleet.members.at({"engine"});
    REQUIRE(engine.drain_reported_at);
    CHECK(*engine.drain_reported_at == reported_at);
    CHECK_FALSE(fleet::may_serve_in_grace(engine, peer.world.entry().now(),
                                          proxy::fleet_rules_of(peer.world.entry().settings)));
}

// Guards against dating a message by the clock of the sender's previous incarnation, or by when the
// new link was read.
TEST_CASE("messages on a new link are dated by the sender's incarnation", "[proxy]") {
    crash_world peer;
    peer.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const auto& engine = peer.world.state.fleet.members.at({"engine"});
    peer.other->close();
    REQUIRE(peer.tick_until([&] { return peer.others.connected_entries().empty(); }));
    peer.world.move_clock(base::minutes(1));
    peer.received_messages.clear();
    REQUIRE(peer.tick_until([&] { return !peer.received_messages.empty(); }));
    const bool is_new_incarnation = GENERATE(true, false);
    CAPTURE(is_new_incarnation);
    if (is_new_incarnation) {
        // Its uptime is by now longer than that of the previous incarnation at its last message.
        peer.other_started = peer.world.entry().now() - base::seconds(30);
        peer.send_handshake(2);
    }
    const base::instant written = peer.world.entry().now();
    const base::micros uptime = written - peer.other_started;
    peer.world.move_clock(base::milliseconds(300));
    peer.send(peering::handshake{{"zz"}, {"a"}, is_new_incarnation ? 2 : 1}, uptime);
    peer.send(peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "unreachable", false},
              uptime);
    REQUIRE(peer.all_messages_read());
    CHECK(engine.suspected_until == written + base::milliseconds(1000));
}

// Guards against starting requests on outdated weights at a new entry, which can't know by itself
// how long they have been outdated: a peer's response may wait unread while the process is
// suspended.
TEST_CASE("the age of target weights reported by a peer counts from the query", "[proxy]") {
    peer_world peer;
    peer.world.stop_clock();
    peer.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const base::model_id model{"desk-8b"};
    peer.world.state.fleet.members.at({"engine"}).listed.models = {{model, 1}};
    auto& history = peer.world.state.weights[model];
    proxy::record_target(history, 2, {{}, {}, peer.world.entry().now()});
    const auto last_query = [&]() -> const peering::store_query* {
        const auto* last =
            peer.received_messages.empty() ? nullptr : &peer.received_messages.back();
        return last == nullptr ? nullptr : std::get_if<peering::store_query>(last);
    };
    REQUIRE(peer.tick_until([&] { return last_query() != nullptr; }));
    const auto queried_by = peer.world.entry().now();
    const auto answer = [&](std::vector<peering::target_weights> named) {
        peering::store_view view;
        view.query_id = last_query()->query_id;
        view.targets = std::move(named);
        peer.world.move_clock(base::seconds(5));
        peer.send(view);
    };
    answer({{model, 2, base::seconds(1)}});
    const auto is_dated = [&] {
        return proxy::latest_set_after(history.targets.at(2)).has_value();
    };
    REQUIRE(peer.world.run_until(is_dated));
    CHECK(proxy::outdated_since(history, 1) <= queried_by - base::seconds(1));
    CHECK(proxy::outdated_since(history, 1) > queried_by - base::seconds(2));

    SECTION("no further queries once the date is precise") {
        history.targets.at(2).learned_at = *proxy::latest_set_after(history.targets.at(2));
        CHECK_FALSE(proxy::needs_target_dates(peer.world.entry()));
    }
}

// Guards against refusing prompts for seconds because an entry that knows when weights were set
// does not report it.
TEST_CASE("an entry reports when target weights were set", "[proxy]") {
    peer_world peer;
    peer.world.stop_clock();
    const base::model_id model{"desk-8b"};
    const auto now = peer.world.entry().now();
    auto& history = peer.world.state.weights[model];
    proxy::record_target(history, 2, {now - base::seconds(3), {}, now - base::seconds(2)});
    proxy::record_target(history, 3, {{}, {}, now});
    const auto reports = proxy::target_weights_to_report(peer.world.entry());
    REQUIRE(reports.size() == 2);
    CHECK(reports[0].version == 2);
    CHECK(reports[0].age == base::seconds(3));
    CHECK_FALSE(reports[1].age);

    SECTION("nothing is reported once that is long ago") {
        peer.world.move_clock(proxy::max_outdated_weights_age(peer.world.entry().settings) +
                              base::seconds(1));
        CHECK(proxy::target_weights_to_report(peer.world.entry()).empty());
    }
}

// An entry of an older build closes a link on which it gets a message that it does not know. In a
// fleet of two builds, entries would lose each other's news with each stream.
TEST_CASE("an entry of an older build gets no messages that it does not know", "[proxy]") {
    peer_world world;
    REQUIRE(world.tick_until([&] { return world.other && !world.received_messages.empty(); }));
    const std::int64_t protocol = GENERATE(peering::first_protocol, peering::resumption_protocol);
    bool identified = false;
    world.others.entry_connected = [&](const base::entry_id&) { identified = true; };
    world.send(peering::handshake{{"zz"}, {"a"}, 1, protocol});
    REQUIRE(world.world.run_until([&] { return identified; }));
    CHECK(world.others.linked_entries(peering::first_protocol).size() == 1);
    const bool understands = protocol == peering::resumption_protocol;
    CHECK(world.others.linked_entries(peering::resumption_protocol).empty() == !understands);
    const auto* sent = std::get_if<peering::handshake>(&world.received_messages.front());
    REQUIRE(sent != nullptr);
    CHECK(sent->protocol == peering::current_protocol);
}

// Guards against entries that fill their links by sending a large configuration to each entry that
// asks for what has changed.
TEST_CASE("a reply to a store query names large values in place of including them", "[proxy]") {
    peer_world peer;
    REQUIRE(peer.tick_until([&] { return peer.other && !peer.received_messages.empty(); }));
    auto& store = peer.world.state.store;
    const std::string large(100'000, 'x');
    store.revision = 20;
    store.items["config"] = {"config", large, 19};
    store.items["small"] = {"small", "value", 20};
    const auto ask = [&](std::int64_t protocol, bool needs_large_values) {
        peer.identify(protocol);
        peer.send(peering::store_query{7, 18, needs_large_values});
        REQUIRE(peer.world.run_until(
            [&] { return peer.last_received<peering::store_view>() != nullptr; }));
        return *peer.last_received<peering::store_view>();
    };
    const auto value_of = [](const peering::store_view& view, const std::string& key) {
        for (const auto& each : view.changes.items) {
            if (each.item.key == key) {
                return each.item.value;
            }
        }
        return std::string("absent");
    };

    SECTION("by default") {
        const auto view = ask(peering::current_protocol, false);
        CHECK(view.omitted_keys == std::set<std::string>{"config"});
        CHECK(value_of(view, "config").empty());
        CHECK(value_of(view, "small") == "value");
    }
    SECTION("unless the store does not answer the other entry") {
        const auto view = ask(peering::current_protocol, true);
        CHECK(view.omitted_keys.empty());
        CHECK(value_of(view, "config") == large);
    }
    SECTION("unless the other entry is of an older build") {
        const auto view = ask(peering::shared_suspicion_protocol, false);
        CHECK(view.omitted_keys.empty());
        CHECK(value_of(view, "config") == large);
    }
}

TEST_CASE("an entry reads the large values that a store view names", "[proxy]") {
    peer_world peer;
    peer.world.stop_clock();
    REQUIRE(peer.tick_until([&] { return peer.last_received<peering::store_query>() != nullptr; }));
    peer.identify(peering::current_protocol);
    std::optional<peering::store_changes> named;
    std::optional<base::instant> proved_at;
    peer.others.store_changes_received = [&](const auto& changes, auto proved) {
        named = changes;
        proved_at = proved;
        return true;
    };
    const auto verified_at = peer.world.state.store.verified_at;
    peering::store_view view;
    view.query_id = peer.last_received<peering::store_query>()->query_id;
    view.confirmed = true;
    view.changes = {12, {{{"config", "", 12}, false}}};
    view.omitted_keys = {"config"};
    peer.send(view);
    REQUIRE(peer.world.run_until([&] { return named.has_value(); }));
    CHECK(named->omitted_keys == view.omitted_keys);
    CHECK(proved_at.has_value());
    // The values are still missing.
    CHECK(peer.world.state.store.verified_at == verified_at);
    CHECK(peer.world.state.store.items.count("config") == 0);
}

// Guards against queries whose replies repeat the very value that is being read, and against an
// entry that verifies nothing while operators change a large value again and again.
TEST_CASE("while a large value is read, only entries that leave it out are queried", "[proxy]") {
    peer_world peer;
    REQUIRE(peer.tick_until([&] { return peer.last_received<peering::store_query>() != nullptr; }));
    const bool understands = GENERATE(true, false);
    peer.identify(understands ? peering::current_protocol : peering::shared_suspicion_protocol);
    peering::store_view reply;
    reply.query_id = peer.last_received<peering::store_query>()->query_id;
    peer.send(reply);
    peer.others.is_reading_store = [] { return true; };
    peer.received_messages.clear();
    const bool queried =
        peer.tick_until([&] { return peer.last_received<peering::store_query>() != nullptr; });
    CHECK(queried == understands);
}

TEST_CASE("an entry that could not read a large value asks other entries for it", "[proxy]") {
    peer_world peer;
    REQUIRE(peer.tick_until([&] { return peer.last_received<peering::store_query>() != nullptr; }));
    CHECK_FALSE(peer.last_received<peering::store_query>()->needs_large_values);
    peer.identify(peering::current_protocol);
    peering::store_view reply;
    reply.query_id = peer.last_received<peering::store_query>()->query_id;
    peer.send(reply);
    peer.received_messages.clear();
    peer.others.query_large_values();
    REQUIRE(peer.tick_until([&] { return peer.last_received<peering::store_query>() != nullptr; }));
    CHECK(peer.last_received<peering::store_query>()->needs_large_values);
}
