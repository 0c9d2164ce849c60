#include "base/hash.h"
#include "base/random.h"
#include "proxy_world.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace camphorrail;
using base::milliseconds;
using step = tests::engine_step;

namespace {

// A single entry with one engine that states what the test sets.
struct limited_world : tests::proxy_world {
    std::string stated;
    tests::scripted_engine* engine = nullptr;
    int calls = 0;

    limited_world() {
        this->stop_clock();
        this->prove_config();
        this->engine = &this->add_engine("i-1", [this](const tests::engine_request& got) {
            return tests::engine_script{
                {step::kind::send,
                 tests::answer(got.field("Request-Id"), "fine", 200, this->stated)}};
        });
    }

    tests::caller_view ask() {
        this->prove_config();
        return this->call(tests::request("safe", "r" + std::to_string(++this->calls)));
    }
    int status() { return this->ask().heads.at(0).status; }
    void pass(int millis) { this->move_clock(milliseconds(millis)); }
};

} // namespace

TEST_CASE("an entry keeps to the rate limit that an upstream states", "[proxy][ratelimit]") {
    limited_world world;
    world.stated = "Server-Limit: 2\r\n";
    REQUIRE(world.status() == 200);
    world.pass(100);

    SECTION("by refusing what is beyond, which has not run") {
        const auto refused = world.ask();
        CHECK(refused.heads.at(0).status == 503);
        CHECK(refused.bodies.at(0).find("\"upstreams_limited\"") != std::string::npos);
        CHECK(refused.bodies.at(0).find("\"not_run\"") != std::string::npos);
        CHECK(std::stod(std::string(http::value_of(refused.heads.at(0).all, "Retry-After"))) > 0.0);
        CHECK(world.engine->requests.size() == 1);
    }
    SECTION("serving as many as it allows") {
        int served = 0;
        for (int each = 0; each < 100; ++each) {
            world.pass(100);
            served += world.status() == 200 ? 1 : 0;
        }
        CHECK(served >= 16);
        CHECK(served <= 21);
    }
    SECTION("preferring upstreams without one") {
        auto& other = world.add_engine("i-2", [](const tests::engine_request& got) {
            return tests::engine_script{
                {step::kind::send, tests::answer(got.field("Request-Id"), "fine")}};
        });
        for (int each = 0; each < 8; ++each) {
            CHECK(world.status() == 200);
        }
        CHECK(other.requests.size() == 8);
    }
    SECTION("until an answer states none") {
        world.stated = "";
        world.pass(600);
        CHECK(world.status() == 200);
        CHECK(world.status() == 200);
        CHECK(world.status() == 200);
    }
    SECTION("whatever stands there that is no number") {
        world.stated = "Server-Limit: many\r\n";
        world.pass(600);
        CHECK(world.status() == 200);
        CHECK(world.status() == 503);
    }
    SECTION("and tells the other entries of each change once") {
        REQUIRE(world.told.size() == 1);
        const auto message = std::get<peering::upstream_limits>(world.told.front());
        REQUIRE(message.items.size() == 1);
        CHECK(message.items[0].limit == ratelimit::requests_per_second{2});
        world.pass(600);
        CHECK(world.status() == 200);
        CHECK(world.told.size() == 1);
    }
}

TEST_CASE("an entry keeps to a limit that another one reports", "[proxy][ratelimit]") {
    limited_world world;
    REQUIRE(world.status() == 200);
    const auto& [id, member] = *world.state.fleet.members.begin();
    const auto upstream = fleet::instance_of(member);
    const auto report = [&](std::optional<ratelimit::requests_per_second> limit, int asked_ago_ms) {
        world.limit_exchange().receive(
            {"entry-2"}, {{{upstream, limit, milliseconds(asked_ago_ms), base::micros(0)}}},
            world.entry().now());
    };
    report(ratelimit::requests_per_second{1}, 50);
    CHECK(world.status() == 503);

    SECTION("until that one reports its end") {
        world.pass(300);
        report({}, 100);
        CHECK(world.status() == 200);
    }
    SECTION("unless the end was stated before") {
        world.pass(300);
        report({}, 400);
        CHECK(world.status() == 503);
    }
    SECTION("and not for another incarnation of the upstream") {
        fleet::start_incarnation(world.state.fleet.members.at(upstream.id), {77});
        CHECK(world.status() == 200);
        report(ratelimit::requests_per_second{1}, 50);
        CHECK(world.status() == 200);
    }
    SECTION("and tells an entry that connects") {
        world.limit_exchange().send_all_to({"entry-3"});
        REQUIRE(world.told.size() == 1);
        CHECK(std::get<peering::upstream_limits>(world.told.front()).items.size() == 1);
    }
}

namespace {

constexpr int step_ms = 10;
constexpr int tick_ms = 100;
constexpr int window_ms = 4000;
constexpr int stability_ms = 3000;
constexpr int told_ms = 500;

struct fleet_case {
    int entry_count = 6;
    int engine_count = 8;
    int limited_count = 1;
    double limit = 1.0;
    double requests_per_second = 60.0;
    // Entries are killed, started again, frozen, and cut off from the others.
    bool disturbed = false;
};

// Entries that report limits to each other over links with a delay, and engines of which some state
// a limit from one moment on. The seed determines the whole run.
struct limit_simulation {
    struct node {
        std::unique_ptr<tests::proxy_world> world;
        base::entry_id id;
        std::string zone;
        int up_from = 0;
        int frozen_until = 0;
        int cut_until = 0;
        // Excused from the bound until then, as it was started, frozen or cut off.
        int excused_until = 0;
        std::map<int, int> told_at;
    };
    struct response {
        int at_ms = 0;
        std::size_t node = 0;
        int started = 0;
        int engine = 0;
        base::instant asked_at{};
        bool limited = false;
    };
    struct delivery {
        int at_ms = 0;
        std::size_t to = 0;
        int started = 0;
        base::entry_id from;
        peering::message payload;
    };

    fleet_case given;
    base::random_source random;
    std::vector<node> nodes;
    std::vector<response> responses;
    std::vector<delivery> deliveries;
    // Times of the requests that count for the bound, and of all, by engine.
    std::map<int, std::vector<int>> counted;
    std::map<int, std::vector<int>> arrivals;
    int refused = 0;
    int limited_from = 5000;
    int now_ms = 0;

    limit_simulation(const fleet_case& given, std::uint64_t seed) : given(given), random{seed} {
        this->nodes.resize(static_cast<std::size_t>(given.entry_count));
        for (std::size_t each = 0; each < this->nodes.size(); ++each) {
            this->nodes[each].id = {"entry-" + std::to_string(each)};
            this->nodes[each].zone = "zone-" + std::to_string(each % 3);
            this->start(this->nodes[each]);
        }
    }

    int below(int bound) {
        return static_cast<int>(
            base::random_below(this->random, static_cast<std::uint64_t>(bound)));
    }

    void start(node& one) {
        one.world = std::make_unique<tests::proxy_world>();
        one.world->stop_clock();
        one.world->name_entry(one.id, {one.zone});
        one.told_at.clear();
        std::vector<ports::listed_upstream> listed;
        for (int engine = 0; engine < this->given.engine_count; ++engine) {
            ports::listed_upstream item;
            item.id = {"i-" + std::to_string(engine)};
            item.incarnation = {1};
            item.pool = {"pool"};
            item.slots = 32;
            listed.push_back(item);
        }
        fleet::apply_list(one.world->state.fleet, listed, one.world->entry().now());
    }

    [[nodiscard]] bool is_up(const node& one) const { return this->now_ms >= one.up_from; }
    [[nodiscard]] bool runs(const node& one) const {
        return this->is_up(one) && this->now_ms >= one.frozen_until;
    }

    [[nodiscard]] bool is_cut(const node& one) const { return this->now_ms < one.cut_until; }

    // Links stand a moment after both entries have started, and break when one ends.
    void link() {
        constexpr int connect_ms = 300;
        const auto is_linked = [this](const node& one) {
            return this->is_up(one) && !this->is_cut(one) &&
                   this->now_ms - one.up_from >= connect_ms;
        };
        for (auto& one : this->nodes) {
            const auto before = one.world->linked.size();
            one.world->linked.clear();
            for (const auto& other : this->nodes) {
                if (&other != &one && is_linked(one) && is_linked(other)) {
                    one.world->linked.push_back({other.id, {other.zone}});
                }
            }
            if (one.world->linked.size() > before) {
                one.world->limit_exchange().send_all_to({});
            }
        }
    }

    void disturb() {
        if (!this->given.disturbed || this->now_ms < 8000 || this->below(200) != 0) {
            return;
        }
        auto& one = this->nodes[static_cast<std::size_t>(this->below(this->given.entry_count))];
        if (!this->runs(one)) {
            return;
        }
        const int span = 200 + this->below(3000);
        switch (this->below(3)) {
        case 0:
            this->start(one);
            one.up_from = this->now_ms + span;
            break;
        case 1:
            one.frozen_until = this->now_ms + span;
            break;
        default:
            one.cut_until = this->now_ms + span;
        }
        one.excused_until = this->now_ms + span + stability_ms;
    }

    void send(std::size_t number) {
        auto& one = this->nodes[number];
        auto& members = one.world->state.fleet;
        const base::instant now = one.world->entry().now();
        const auto among = fleet::candidates(members, {"pool"}, now, {}, {});
        if (among.empty()) {
            ++this->refused;
            return;
        }
        auto* chosen = among[static_cast<std::size_t>(this->below(static_cast<int>(among.size())))];
        REQUIRE(fleet::count_against_limit(*chosen, now));
        const int engine = std::stoi(chosen->listed.id.value.substr(2));
        const bool limited =
            engine < this->given.limited_count && this->now_ms >= this->limited_from;
        const auto told = one.told_at.find(engine);
        const bool counts = told != one.told_at.end() && this->now_ms - told->second >= told_ms &&
                            this->now_ms >= one.excused_until;
        this->arrivals[engine].push_back(this->now_ms);
        if (counts) {
            this->counted[engine].push_back(this->now_ms);
        }
        this->responses.push_back(
            {this->now_ms + 10 + this->below(300), number, one.up_from, engine, now, limited});
    }

    void respond() {
        for (const auto& each : this->responses) {
            auto& one = this->nodes[each.node];
            const bool due = each.at_ms <= this->now_ms && this->runs(one);
            if (!due || one.up_from != each.started) {
                continue;
            }
            std::optional<ratelimit::requests_per_second> limit;
            if (each.limited) {
                limit = ratelimit::requests_per_second{this->given.limit};
                one.told_at.try_emplace(each.engine, this->now_ms);
            }
            one.world->limit_exchange().record({{"i-" + std::to_string(each.engine)}, {1}},
                                               {limit, each.asked_at, one.world->entry().now()});
        }
        std::erase_if(this->responses, [this](const response& each) {
            const auto& one = this->nodes[each.node];
            return one.up_from != each.started || (each.at_ms <= this->now_ms && this->runs(one));
        });
    }

    void exchange() {
        for (auto& one : this->nodes) {
            for (auto& message : one.world->told) {
                for (std::size_t to = 0; to < this->nodes.size(); ++to) {
                    const auto& other = this->nodes[to];
                    const bool is_reached =
                        this->is_up(other) && !this->is_cut(one) && !this->is_cut(other);
                    if (&other != &one && is_reached) {
                        this->deliveries.push_back(
                            {this->now_ms + step_ms, to, this->nodes[to].up_from, one.id, message});
                    }
                }
            }
            one.world->told.clear();
        }
        std::erase_if(this->deliveries, [this](const delivery& each) {
            auto& one = this->nodes[each.to];
            const bool is_lost = one.up_from != each.started;
            const bool due = each.at_ms <= this->now_ms && this->runs(one);
            if (!is_lost && due) {
                one.world->limit_exchange().receive(
                    each.from, std::get<peering::upstream_limits>(each.payload),
                    one.world->entry().now() - milliseconds(this->now_ms - each.at_ms + step_ms));
            }
            return is_lost || due;
        });
    }

    void step() {
        this->now_ms += step_ms;
        for (auto& one : this->nodes) {
            one.world->move_clock(milliseconds(step_ms));
        }
        this->disturb();
        if (this->now_ms % tick_ms == 0) {
            this->link();
            for (auto& one : this->nodes) {
                if (this->runs(one)) {
                    one.world->limit_exchange().tick();
                }
            }
        }
        this->respond();
        this->exchange();
        const double per_entry = this->given.requests_per_second * step_ms / 1000.0 /
                                 static_cast<double>(this->given.entry_count);
        for (std::size_t each = 0; each < this->nodes.size(); ++each) {
            if (this->runs(this->nodes[each]) && base::random_unit(this->random) < per_entry) {
                this->send(each);
            }
        }
    }

    // The most requests that count within any window from when the limit must hold.
    int worst(int engine) {
        const auto& times = this->counted[engine];
        int most = 0;
        for (std::size_t last = 0, first = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= window_ms ||
                   times[first] < this->limited_from + stability_ms) {
                if (++first > last) {
                    break;
                }
            }
            most = std::max(most, static_cast<int>(last) - static_cast<int>(first) + 1);
        }
        return most;
    }

    int arrivals_from(int engine, int from) {
        const auto& times = this->arrivals[engine];
        return static_cast<int>(
            std::count_if(times.begin(), times.end(), [from](int at) { return at >= from; }));
    }
};

} // namespace

// Guards against limits that each entry keeps to alone, while all together exceed them, and against
// engines that get much less than they take.
TEST_CASE("entries together keep to a limit and use it", "[proxy][ratelimit][schedule]") {
    const auto given =
        GENERATE(fleet_case{6, 8, 1, 1.0, 60.0}, fleet_case{6, 8, 1, 0.3, 60.0},
                 fleet_case{6, 8, 4, 1.3, 60.0}, fleet_case{11, 8, 1, 0.5, 160.0},
                 fleet_case{6, 8, 8, 3.0, 60.0}, fleet_case{3, 18, 2, 1.4, 60.0},
                 fleet_case{6, 8, 1, 1.0, 60.0, true}, fleet_case{11, 8, 1, 0.5, 160.0, true},
                 fleet_case{6, 8, 8, 3.0, 60.0, true}, fleet_case{5, 4, 4, 12.0, 90.0, true});
    constexpr int end_ms = 40'000;
    constexpr int settled_ms = 12'000;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        INFO(given.entry_count << " entries, limit " << given.limit << " of " << given.limited_count
                               << ", seed " << seed);
        limit_simulation run(given, seed);
        while (run.now_ms < end_ms) {
            run.step();
        }
        const double allowed = 1.5 * given.limit * window_ms / 1000.0 + 5.0;
        int used = 0;
        for (int engine = 0; engine < given.limited_count; ++engine) {
            CHECK(run.worst(engine) <= allowed);
            used += run.arrivals_from(engine, settled_ms);
        }
        if (!given.disturbed) {
            const double takes = given.limit * given.limited_count * (end_ms - settled_ms) / 1000.0;
            CHECK(used >= 0.8 * takes);
            const bool others_take_the_rest = given.limited_count < given.engine_count;
            CHECK((run.refused == 0) == others_take_the_rest);
        }
    }
}

// Guards against permits that pile up while nothing is sent and are used all at once.
TEST_CASE("a burst after a calm stretch stays within a limit", "[proxy][ratelimit]") {
    limit_simulation run({6, 8, 1, 1.0, 60.0}, 7);
    while (run.now_ms < 15'000) {
        run.step();
    }
    run.given.requests_per_second = 0.0;
    while (run.now_ms < 30'000) {
        run.step();
    }
    run.given.requests_per_second = 400.0;
    while (run.now_ms < 30'600) {
        run.step();
    }
    CHECK(run.worst(0) <= 11);
}
