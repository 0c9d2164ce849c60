#include "own_address.h"
#include "proxy/peers.h"
#include "proxy/upstream_choice.h"
#include "proxy/weights_news.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

const std::string other_address = tests::own_address(18993);
constexpr std::size_t most_bytes = 1U << 20U;

// A store that answers nothing.
ports::platform silent_store() {
    ports::platform store;
    store.commit = [](const ports::transaction&, auto) {};
    store.grant_lease = [](std::int64_t, auto) {};
    store.renew_lease = [](std::int64_t, auto) {};
    return store;
}

// An entry and one that it links itself to, which the test plays.
struct linked_world {
    tests::proxy_world world;
    proxy::peers others;
    std::vector<peering::message> heard;
    adapters::link_ptr other;
    std::unique_ptr<adapters::link_listener> listener;
    base::instant other_started;

    linked_world()
        : others(this->world.entry(), silent_store()),
          other_started(this->world.entry().now() - base::seconds(3)) {
        this->world.prove_config();
        this->others.count_changed = [] {};
        this->others.proves_store = [] { return true; };
        this->others.awaits_store = [] { return false; };
        this->others.greeting = [] { return std::vector<peering::message>{}; };
        this->others.named_weights_told = [this](const auto& from, const auto& told,
                                                 base::instant asked_at) {
            proxy::take_told_weights(this->world.entry(), from, told, asked_at);
        };
        const std::string key = this->world.entry().codec.own_prefix + "entries/zz";
        this->world.state.store.items[key] = {key, other_address, 1};
        this->listener = adapters::listen_for_links(
            this->world.entry().loop.base(), other_address, {most_bytes},
            [this](const adapters::link_ptr& made) {
                this->other = made;
                made->received.connect([this](std::string_view bytes) {
                    this->heard.push_back(peering::decode(bytes).value().payload);
                });
            });
    }

    // The other entry tells something now, or had written it when it had been running that long.
    void send(peering::message told) {
        this->send(std::move(told), this->world.entry().now() - this->other_started);
    }
    void send(peering::message told, base::micros uptime) {
        this->other->send(peering::encode({std::move(told), uptime}));
    }

    // Lets time pass until a condition holds.
    bool tick_until(const std::function<bool()>& condition) {
        return this->world.run_until([&] {
            this->world.move_clock(base::milliseconds(20));
            this->others.tick();
            return condition();
        });
    }
};

} // namespace

// An entry gives a link up, as one whose other end has been silent or makes no sense. What that
// other end has sent since is still read together with it. Taken for a link that stands, it ended
// the process, and all callers of a hundred entries were cut off.
TEST_CASE("what comes on a link that was given up is left", "[proxy]") {
    linked_world linked;
    REQUIRE(linked.tick_until([&] { return !linked.heard.empty(); }));
    linked.other->send("no message");
    linked.send(peering::load_report{});
    REQUIRE(linked.tick_until([&] { return linked.others.linked().empty(); }));
    // It links itself anew.
    CHECK(linked.tick_until([&] { return linked.heard.size() >= 2; }));
}

// An entry that has just started is linked to by some and links itself to others. Half of what it
// was to be told at first, as what the stores of kept copies hold, was said before the link stood,
// and so never sent: it went on for minutes with a fraction of what others know.
TEST_CASE("both ends of a new link are greeted", "[proxy]") {
    linked_world linked;
    linked.others.greeting = [] {
        return std::vector<peering::message>{
            peering::kv_store_contents{"10.9.9.9:1", true, false, {}}};
    };
    REQUIRE(linked.others.listen());
    std::vector<peering::message> told;
    auto newcomer = adapters::connect_link(linked.world.entry().loop.base(),
                                           linked.world.entry().settings.peer_listen, {most_bytes});
    newcomer->received.connect(
        [&](std::string_view bytes) { told.push_back(peering::decode(bytes).value().payload); });
    const auto greeted = [](const std::vector<peering::message>& got) {
        return got.size() >= 2 && std::holds_alternative<peering::handshake>(got.front());
    };
    CHECK(linked.tick_until([&] { return greeted(linked.heard); }));
    CHECK(linked.tick_until([&] { return greeted(told); }));
}

// What one entry sees of an upstream may be the fault of its own network, so the others try the
// rest first, and still send there rather than refuse. One that changes weights takes nothing.
TEST_CASE("another entry's suspicion holds nothing up where no other upstream is left", "[proxy]") {
    linked_world linked;
    linked.world.add_engine("service", [](const auto&) { return tests::engine_script{}; });
    REQUIRE(linked.tick_until([&] { return linked.other && !linked.heard.empty(); }));
    const auto& members = linked.world.state.fleet.members;
    const auto& service = members.at({"service"});
    const auto now = [&] { return linked.world.entry().now(); };
    const auto send = [&](bool changing) {
        linked.send(peering::suspicion{{{"service"}, {}},
                                       base::milliseconds(60000),
                                       changing ? "loading" : "unreachable",
                                       changing});
    };
    send(false);
    REQUIRE(linked.tick_until([&] { return fleet::is_suspected(service, now()); }));
    CHECK(proxy::count_upstreams(linked.world.entry(), service.listed.pool).suspected == 1);
    CHECK(proxy::choose_upstream(linked.world.entry(), {.pool = service.listed.pool}));
    send(true);
    REQUIRE(linked.tick_until([&] { return service.busy_until > now(); }));
    CHECK_FALSE(proxy::choose_upstream(linked.world.entry(), {.pool = service.listed.pool}));
}

// An entry that has not yet heard of an engine's new start goes on telling of the life before: what
// it has under way there, what it caches, that it fails. None of that may be believed of the new
// life, or callers would be kept from an engine that is idle, and prompts fetched that it has lost.
TEST_CASE("what other entries say of an upstream's earlier life is left", "[proxy]") {
    linked_world linked;
    linked.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    auto& engine = linked.world.state.fleet.members.at({"engine"});
    engine.listed.incarnation = {200};
    linked.world.config.pools.at({"pool"}).kv_capacity_tokens = 100000;
    linked.world.prove_config();
    REQUIRE(linked.tick_until([&] { return linked.other && !linked.heard.empty(); }));
    constexpr std::uint64_t prompt = 9;
    constexpr std::int64_t weights = 1;
    const auto tell = [&](std::int64_t incarnation) {
        const base::upstream_instance of{{"engine"}, {incarnation}};
        linked.send(peering::suspicion{of, base::milliseconds(60000), "unreachable", false});
        peering::entry_load load;
        load.from = {"zz"};
        load.report_interval = base::milliseconds(60000);
        load.items = {{of, {2, 900, 1900, 0}, base::milliseconds(0)}};
        kvcache::prompt_prefill read;
        read.levels = {{prompt, 500}};
        read.weights = weights;
        read.engine = of;
        load.reads = {read};
        linked.send(peering::load_report{{load}});
        linked.send(peering::kv_store_contents{std::to_string(incarnation)});
    };
    std::string last_told;
    linked.others.kept_told = [&](const auto&, const auto& told) { last_told = told.store; };
    const auto readings = [&] {
        return kvcache::readers_of(linked.world.state.cache,
                                   kvcache::key_for_weights(prompt, weights))
            .size();
    };
    tell(100);
    REQUIRE(linked.tick_until([&] { return last_told == "100"; }));
    const auto now = linked.world.entry().now();
    CHECK(fleet::is_eligible(engine, now));
    CHECK(fleet::total_work(engine, now).in_flight == 0);
    CHECK(readings() == 0);
    tell(200);
    REQUIRE(linked.tick_until([&] { return last_told == "200"; }));
    CHECK(fleet::is_suspected(engine, now));
    CHECK(fleet::total_work(engine, now).in_flight == 2);
    CHECK(readings() == 1);
}

namespace {

const base::upstream_instance first_engine{{"e1"}, {1}};
const base::upstream_instance second_engine{{"e2"}, {1}};
constexpr base::milliseconds sent_before{100};

// An entry that links itself to one that then tells of crashes. The clock stands.
struct crash_world : linked_world {
    int told = 0;

    crash_world() {
        this->world.stop_clock();
        this->others.crash_told = [this](const auto& from, const auto& report,
                                         base::instant written) {
            this->world.crash_watch().take(from, report, written);
            ++this->told;
        };
        this->others.hold_told = [this](const auto& from, const auto& report,
                                        base::instant written) {
            this->world.crash_watch().take(from, report, written);
            ++this->told;
        };
        REQUIRE(this->tick_until([this] { return this->other && !this->heard.empty(); }));
        this->greet(1);
    }

    void greet(std::int64_t life) {
        this->send(peering::handshake{{"zz"}, {"a"}, life});
        REQUIRE(this->world.run_until([this] {
            const auto linked = this->others.linked();
            return !linked.empty() && this->reads_all();
        }));
    }

    // Whether what was sent has been read, by an answer to a question behind it.
    bool reads_all() {
        const auto before = this->heard.size();
        this->send(peering::store_query{1, 0});
        return this->world.run_until([this, before] { return this->heard.size() > before; });
    }

    // Something written now is read that much later.
    void tell_late(const peering::message& message, base::micros late) {
        const base::micros uptime = this->world.entry().now() - this->other_started;
        this->world.move_clock(late);
        this->send(message, uptime);
        REQUIRE(this->reads_all());
    }

    // A request is lost with an engine now.
    [[nodiscard]] quarantine::crash_report loss(const base::upstream_instance& of,
                                                const std::string& body) {
        const base::instant now = this->world.entry().now();
        const auto request = quarantine::identify({"/safe/x", "north", body});
        return {of, now, {{request, now - sent_before, {}}}};
    }

    void lose_here(const base::upstream_instance& of, const std::string& body) {
        const auto report = this->loss(of, body);
        quarantine::record_crash(this->world.state.quarantine, report, report.at, {});
    }

    void lose_there(const base::upstream_instance& of, const std::string& body, base::micros late) {
        const auto report = this->loss(of, body);
        this->world.move_clock(base::milliseconds(20));
        this->tell_late(peering::to_message(report, this->world.entry().now()), late);
    }

    std::size_t held_after_a_while() {
        this->world.move_clock(base::milliseconds(400));
        return quarantine::decide_quarantines(this->world.state.quarantine,
                                              this->world.entry().now(), {})
            .size();
    }
};

} // namespace

// Guards against holding a harmless request for engines lost together, one of them told of late.
TEST_CASE("a crash that is told late happened no later", "[proxy][quarantine]") {
    const auto late = GENERATE(values<base::milliseconds::rep>({0, 40, 60, 100, 200, 1000, 5000}));
    CAPTURE(late);
    crash_world linked;
    linked.lose_here(first_engine, "popular");
    linked.lose_there(second_engine, "popular", base::milliseconds(late));
    REQUIRE(linked.told == 1);
    CHECK(linked.held_after_a_while() == 0);
}

// Guards against not holding a fatal request that is told of after others at the same crash.
TEST_CASE("a copy that is told of late was sent no later", "[proxy][quarantine]") {
    const auto late = GENERATE(values<base::milliseconds::rep>({0, 40, 200, 1000, 5000}));
    CAPTURE(late);
    crash_world linked;
    linked.lose_here(first_engine, "fatal");
    linked.world.move_clock(base::seconds(1));
    linked.lose_here(second_engine, "bystander");
    linked.lose_there(second_engine, "fatal", base::milliseconds(late));
    REQUIRE(linked.told == 1);
    CHECK(linked.held_after_a_while() == 1);
}

// Guards against shunned engines and refused requests for as long again as a word lay unread.
TEST_CASE("what another entry tells for a while holds from when it was written", "[proxy]") {
    crash_world linked;
    linked.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const auto& engine = linked.world.state.fleet.members.at({"engine"});
    const base::instant written = linked.world.entry().now();
    constexpr base::milliseconds late{800};

    SECTION("a suspicion") {
        linked.tell_late(
            peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "unreachable", false},
            late);
        CHECK(engine.suspected_until == written + base::milliseconds(1000));
    }
    SECTION("a change of weights") {
        linked.tell_late(
            peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "loading", true}, late);
        CHECK(engine.weights_change_until == written + base::milliseconds(1000));
    }
    SECTION("a hold") {
        const auto request = quarantine::identify({"/safe/x", "north", "fatal"});
        linked.tell_late(peering::quarantine_notice{request, base::minutes(1)}, late);
        const auto held = quarantine::quarantined_requests(linked.world.state.quarantine,
                                                           linked.world.entry().now());
        REQUIRE(held.size() == 1);
        CHECK(held[0].span == base::minutes(1) - late);
    }
    SECTION("a hold that has ended meanwhile") {
        const auto request = quarantine::identify({"/safe/x", "north", "fatal"});
        linked.tell_late(peering::quarantine_notice{request, base::milliseconds(500)}, late);
        REQUIRE(linked.told == 1);
        CHECK(quarantine::quarantined_requests(linked.world.state.quarantine,
                                               linked.world.entry().now())
                  .empty());
    }
}

// Guards against requests to an upstream that has long left, at each entry that links anew.
TEST_CASE("an upstream leaves from when it said so, wherever that is told", "[proxy][words]") {
    const auto late = GENERATE(values<base::milliseconds::rep>({0, 800, 5000}));
    CAPTURE(late);
    crash_world linked;
    tests::proxy_world other;
    other.stop_clock();
    for (auto* each : {&linked.world, &other}) {
        each->add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    }
    const auto said_at = linked.world.entry().now();
    proxy::record_drain_report(other.entry(), {{"engine"}, {}}, "", other.entry().now());
    for (auto* each : {&linked.world, &other}) {
        each->move_clock(base::minutes(1));
    }
    const auto told = proxy::leaving_to_tell(other.entry());
    REQUIRE(told.size() == 1);
    linked.tell_late(told.at(0), base::milliseconds(late));
    const auto& engine = linked.world.state.fleet.members.at({"engine"});
    REQUIRE(engine.drain_reported_at);
    CHECK(*engine.drain_reported_at == said_at);
    CHECK_FALSE(fleet::may_serve_in_grace(engine, linked.world.entry().now(),
                                          proxy::fleet_rules_of(linked.world.entry().settings)));
}

// Guards against words dated by an earlier life of their entry, or by when a new link was read.
TEST_CASE("what comes on a new link is dated by the life of its entry", "[proxy]") {
    crash_world linked;
    linked.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const auto& engine = linked.world.state.fleet.members.at({"engine"});
    linked.other->close();
    REQUIRE(linked.tick_until([&] { return linked.others.linked().empty(); }));
    linked.world.move_clock(base::minutes(1));
    linked.heard.clear();
    REQUIRE(linked.tick_until([&] { return !linked.heard.empty(); }));
    const bool is_new_life = GENERATE(true, false);
    CAPTURE(is_new_life);
    if (is_new_life) {
        // By now it has been running for longer than it had when it was last heard.
        linked.other_started = linked.world.entry().now() - base::seconds(30);
        linked.greet(2);
    }
    const base::instant written = linked.world.entry().now();
    const base::micros uptime = written - linked.other_started;
    linked.world.move_clock(base::milliseconds(300));
    linked.send(peering::handshake{{"zz"}, {"a"}, is_new_life ? 2 : 1}, uptime);
    linked.send(
        peering::suspicion{{{"engine"}, {}}, base::milliseconds(1000), "unreachable", false},
        uptime);
    REQUIRE(linked.reads_all());
    CHECK(engine.suspected_until == written + base::milliseconds(1000));
}

// Guards against requests on outdated weights at an entry that has just started, which can't know
// how long they have been outdated: another entry's answer may lie unread while it stands still.
TEST_CASE("the age of weights that another entry tells counts from the question", "[proxy]") {
    linked_world linked;
    linked.world.stop_clock();
    linked.world.add_engine("engine", [](const auto&) { return tests::engine_script{}; });
    const base::model_id model{"desk-8b"};
    linked.world.state.fleet.members.at({"engine"}).listed.models = {{model, 1}};
    auto& history = linked.world.state.weights[model];
    proxy::note_named(history, 2, {{}, {}, linked.world.entry().now()});
    const auto last_question = [&]() -> const peering::store_query* {
        const auto* last = linked.heard.empty() ? nullptr : &linked.heard.back();
        return last == nullptr ? nullptr : std::get_if<peering::store_query>(last);
    };
    REQUIRE(linked.tick_until([&] { return last_question() != nullptr; }));
    const auto asked_by = linked.world.entry().now();
    const auto answer = [&](std::vector<peering::target_weights> named) {
        peering::store_view view;
        view.query_id = last_question()->query_id;
        view.targets = std::move(named);
        linked.world.move_clock(base::seconds(5));
        linked.send(view);
    };
    answer({{model, 2, base::seconds(1)}});
    const auto is_dated = [&] { return proxy::named_after(history.named.at(2)).has_value(); };
    REQUIRE(linked.world.run_until(is_dated));
    CHECK(proxy::outdated_since(history, 1) <= asked_by - base::seconds(1));
    CHECK(proxy::outdated_since(history, 1) > asked_by - base::seconds(2));

    SECTION("and nobody is asked any more once it is known closely") {
        history.named.at(2).learned = *proxy::named_after(history.named.at(2));
        CHECK_FALSE(proxy::wants_weights_dates(linked.world.entry()));
    }
}

// Guards against prompts that are refused for seconds since an entry that knows when weights were
// named does not say so.
TEST_CASE("an entry tells when weights were named", "[proxy]") {
    linked_world linked;
    linked.world.stop_clock();
    const base::model_id model{"desk-8b"};
    const auto now = linked.world.entry().now();
    auto& history = linked.world.state.weights[model];
    proxy::note_named(history, 2, {now - base::seconds(3), {}, now - base::seconds(2)});
    proxy::note_named(history, 3, {{}, {}, now});
    const auto told = proxy::named_weights_to_tell(linked.world.entry());
    REQUIRE(told.size() == 2);
    CHECK(told[0].version == 2);
    CHECK(told[0].age == base::seconds(3));
    CHECK_FALSE(told[1].age);

    SECTION("and nothing once that is long ago") {
        linked.world.move_clock(proxy::max_outdated_weights_age(linked.world.entry().settings) +
                                base::seconds(1));
        CHECK(proxy::named_weights_to_tell(linked.world.entry()).empty());
    }
}
