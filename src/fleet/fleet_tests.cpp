#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

namespace {

base::instant at(int millis) {
    return base::instant{base::milliseconds(millis)};
}

ports::listed_upstream upstream(const std::string& id, const std::string& zone = "a") {
    return {.id = {id}, .pool = {"pool"}, .address = "10.0.0.1:1", .zone = {zone}, .slots = 6};
}

std::vector<std::string> names(const std::vector<fleet::member*>& members) {
    std::vector<std::string> ids;
    ids.reserve(members.size());
    for (const auto* each : members) {
        ids.push_back(each->listed.id.value);
    }
    return ids;
}

using ids = std::vector<std::string>;

} // namespace

// Guards against keeping the state of an earlier incarnation when an engine crashes and restarts
// under its id within a second, without leaving the list. It would be avoided for failures and load
// of the earlier incarnation, and asked for prompts that it has lost.
TEST_CASE("a restarted upstream keeps no state of its earlier incarnation", "[fleet]") {
    fleet::fleet state;
    auto listed = upstream("one");
    listed.incarnation = {500};
    fleet::apply_list(state, {listed}, at(0));
    auto& one = state.members.at({"one"});
    one.health.ejected_until = at(9000);
    one.suspected_until = at(9000);
    one.busy_until = at(9000);
    one.local_work.in_flight = 3;
    one.remote_work[{"entry-2"}] = {{4, 100, 100, 0}, at(9000)};
    one.load = ports::reported_load{6, 2, 6};
    const std::int64_t new_incarnation = GENERATE(std::int64_t{700}, std::int64_t{400});
    listed.incarnation = {new_incarnation};
    const auto change = fleet::apply_list(state, {listed}, at(10));
    REQUIRE(change.restarted == std::vector<base::upstream_id>{{"one"}});
    CHECK(fleet::is_eligible(one, at(11)));
    CHECK(fleet::estimated_load(one, at(11), {}) == 0);
    CHECK(fleet::find_instance(state, {{"one"}, {new_incarnation}}) == &one);
    CHECK(fleet::find_instance(state, {{"one"}, {500}}) == nullptr);

    SECTION("and a late heartbeat of the earlier incarnation changes nothing") {
        one.local_work.in_flight = 1;
        listed.incarnation = {500};
        listed.draining = true;
        CHECK(fleet::apply_list(state, {listed}, at(20)).restarted.empty());
        CHECK(one.listed.incarnation.value == new_incarnation);
        CHECK(one.local_work.in_flight == 1);
        CHECK(fleet::is_eligible(one, at(21)));
    }
}

TEST_CASE("the first report of an incarnation is no restart", "[fleet]") {
    fleet::fleet state;
    auto listed = upstream("one");
    fleet::apply_list(state, {listed}, at(0));
    listed.incarnation = {500};
    CHECK(fleet::apply_list(state, {listed}, at(10)).restarted.empty());
}

// Guards against sending requests to an engine whose list entry was overwritten by another program.
// A member that disappears from the list is a last resort, since entries expire during an outage of
// the platform's store; one whose entry was overwritten is not.
TEST_CASE("an upstream whose list entry was overwritten gets no requests", "[fleet]") {
    fleet::fleet state;
    fleet::apply_list(state, {upstream("one")}, at(0));
    fleet::apply_list(state, {}, at(10));
    CHECK(fleet::candidates(state, {"pool"}, at(11), {}, {}).size() == 1);
    fleet::mark_replaced(state, {"one"});
    CHECK(fleet::candidates(state, {"pool"}, at(11), {}, {}).empty());
    fleet::apply_list(state, {upstream("one")}, at(12));
    CHECK(fleet::candidates(state, {"pool"}, at(13), {}, {}).size() == 1);
}

// Guards against retrying failed calls at an upstream that left seconds ago. It had not reported
// that it drains, and its removal from the list arrived late behind a large configuration, so that
// its grace period began only then. The log of a retry states for how long the upstream had been
// unlisted.
TEST_CASE("an upstream that disappears while others are listed has left", "[fleet]") {
    fleet::fleet state;
    const fleet::fleet_rules rules;
    const auto now = [&](int millis, std::vector<base::upstream_id> except = {}) {
        return names(fleet::candidates(state, {"pool"}, at(millis), rules, except));
    };
    fleet::apply_list(state, {upstream("one"), upstream("two"), upstream("three")}, at(0));
    fleet::apply_list(state, {upstream("two"), upstream("three")}, at(10));
    CHECK(now(11) == ids{"three", "two"});
    CHECK(now(11, {{"two"}, {"three"}}).empty());
    state.members.at({"two"}).busy_until = at(100);
    state.members.at({"three"}).busy_until = at(100);
    CHECK(now(11).empty());

    SECTION("also if the others drain too") {
        auto leaving = upstream("two");
        leaving.draining = true;
        fleet::apply_list(state, {leaving}, at(12));
        CHECK(now(13).empty());
    }
    // During an outage of the platform's store, the entries of a whole pool expire and return soon
    // after.
    SECTION("but not if the whole pool disappears") {
        fleet::apply_list(state, {}, at(12));
        CHECK(now(13) == ids{"one", "three", "two"});
    }
}

TEST_CASE("new requests go to eligible upstreams", "[fleet]") {
    fleet::fleet state;
    const fleet::fleet_rules rules;
    fleet::apply_list(state, {upstream("one"), upstream("two"), upstream("three")}, at(0));
    const auto now = [&](int millis, std::vector<base::upstream_id> except = {}) {
        return names(fleet::candidates(state, {"pool"}, at(millis), rules, except));
    };
    CHECK(now(1) == ids{"one", "three", "two"});
    CHECK(now(1, {{"one"}}) == ids{"three", "two"});

    SECTION("not to a draining one") {
        auto leaving = upstream("two");
        leaving.draining = true;
        fleet::apply_list(state, {upstream("one"), leaving, upstream("three")}, at(5));
        CHECK(now(6) == ids{"one", "three"});
    }
    SECTION("nor to a suspected or busy one while others are available") {
        state.members.at({"one"}).health.ejected_until = at(100);
        state.members.at({"two"}).busy_until = at(100);
        CHECK(now(6) == ids{"three"});
        fleet::apply_list(state, {upstream("one"), upstream("two")}, at(7));
        CHECK(now(8) == ids{"one"});
        CHECK(now(100) == ids{"one", "two"});
    }
    // Guards against an outage caused by suspicions. Each of three services of a pool fails one
    // call in seven. Three of twenty entries saw several consecutive failures, each of another
    // service, and reported them, so that all entries rejected every call for a second although
    // each service would have answered most.
    SECTION("and to suspected ones rather than to none, whichever entry suspects them") {
        state.members.at({"one"}).health.ejected_until = at(100);
        state.members.at({"two"}).suspected_until = at(100);
        CHECK(now(6) == ids{"three"});
        state.members.at({"three"}).suspected_until = at(90);
        CHECK(now(6) == ids{"one", "three", "two"});
        CHECK(now(90) == ids{"three"});
        state.members.at({"three"}).busy_until = at(200);
        CHECK(now(91) == ids{"one", "two"});
    }
    // During an outage of the store, live upstreams expire from its list all at once. Clients would
    // be rejected although every upstream serves, so upstreams that have just disappeared are the
    // last resort.
    SECTION("and to an upstream that has just disappeared from the list only if no other is left") {
        fleet::apply_list(state, {upstream("one")}, at(10));
        CHECK(now(11) == ids{"one"});
        fleet::apply_list(state, {}, at(20));
        CHECK(now(21) == ids{"one", "three", "two"});
        CHECK(now(1412) == ids{"one"});
        CHECK(now(1500).empty());
        CHECK(fleet::prune_unlisted(state, at(1500), rules).size() == 3);
    }
}

TEST_CASE("calls without a prompt go to the least loaded upstream", "[fleet]") {
    fleet::fleet state;
    const fleet::fleet_rules rules;
    fleet::apply_list(state, {upstream("far", "b"), upstream("near", "a")}, at(0));
    const auto pick = [&] {
        const auto all = fleet::candidates(state, {"pool"}, at(1), rules, {});
        return fleet::least_loaded(all, {"a"}, 7, at(1), rules)->listed.id.value;
    };
    CHECK(pick() == "near");
    state.members.at({"near"}).local_work.in_flight = 1;
    CHECK(pick() == "far");
    state.members.at({"far"}).load = ports::reported_load{5, 2, 6};
    CHECK(pick() == "near");
}

// An upstream passes its health check and fails every second call. It never fails several times in
// a row, so clients keep losing requests to it unless its failure rate counts.
TEST_CASE("an upstream that fails part of its calls is ejected, and again while on probation",
          "[fleet]") {
    const membership::health_rules rules{.failures_to_eject = 3, .ejection_failure_rate = 0.3};
    membership::health state;
    int calls = 0;
    while (membership::is_usable(state, at(0)) && calls < 100) {
        ++calls;
        if (calls % 2 == 0) {
            membership::record_failure(state, at(0), rules);
        } else {
            membership::record_success(state, rules);
        }
    }
    CHECK(calls < 20);
    const auto first = state.ejected_until - at(0);
    membership::record_failure(state, state.ejected_until, rules);
    CHECK(state.ejected_until > at(0) + 2 * first);
}

// Guards against losing an upstream that mistakenly asks for a pause of years.
TEST_CASE("a pause requested by an upstream is observed up to a maximum", "[fleet]") {
    fleet::member one;
    const base::instant now{base::seconds(100)};
    fleet::record_pause(one, base::seconds(4), now);
    CHECK(fleet::unavailable_until(one) == now + base::seconds(4));
    fleet::record_pause(one, base::seconds(1), now);
    CHECK(fleet::unavailable_until(one) == now + base::seconds(4));
    fleet::record_pause(one, base::minutes(1000000), now);
    CHECK(fleet::unavailable_until(one) <= now + base::minutes(10));
}

// Guards against unbounded memory while upstreams drain and leave for months.
TEST_CASE("the number of departed instances is bounded", "[fleet]") {
    fleet::fleet state;
    const fleet::fleet_rules rules;
    base::instant now{base::seconds(100)};
    for (int each = 0; each < 1000; ++each) {
        const ports::listed_upstream listed{.id = {"i-" + std::to_string(each)}};
        fleet::apply_list(state, {listed}, now);
        CHECK(fleet::record_drain_report(state, {listed.id, {}}, now));
        CHECK_FALSE(fleet::record_drain_report(state, {listed.id, {}}, now));
        fleet::apply_list(state, {}, now);
        now += base::seconds(2);
        fleet::prune_unlisted(state, now, rules);
        fleet::prune_unlisted(state, now, rules);
    }
    CHECK(state.members.size() <= 1);
    CHECK(state.drained.size() <= 256);
    fleet::prune_unlisted(state, now + base::minutes(20), rules);
    CHECK(state.drained.empty());
}

// Guards against exceeding the rate limit of an upstream whose list item has expired in a store
// outage and is back, and of one that another entry reports before this one has read the list.
TEST_CASE("a rate limit outlasts an upstream's absence from the list", "[fleet]") {
    fleet::fleet state;
    fleet::fleet_rules rules;
    auto listed = upstream("one");
    listed.incarnation = {500};
    const ratelimit::statement stated{ratelimit::requests_per_second{2}, at(10), at(20)};

    const bool was_listed = GENERATE(true, false);
    if (was_listed) {
        fleet::apply_list(state, {listed}, at(0));
        ratelimit::apply_statement(state.members.at({"one"}).limit, stated);
        fleet::apply_list(state, {}, at(100));
    } else {
        ratelimit::apply_statement(fleet::unlisted_limit(state, {{"one"}, {500}}), stated);
    }
    fleet::prune_unlisted(state, at(5000), rules);
    REQUIRE(state.members.empty());
    fleet::apply_list(state, {listed}, at(6000));
    CHECK(state.members.at({"one"}).limit.limit == ratelimit::requests_per_second{2});
    CHECK(state.unlisted_limits.empty());
    CHECK(fleet::candidates(state, {"pool"}, at(6000), rules, {}).empty());

    SECTION("but not its restart") {
        listed.incarnation = {900};
        fleet::apply_list(state, {listed}, at(7000));
        CHECK_FALSE(state.members.at({"one"}).limit.limit);
        CHECK(fleet::candidates(state, {"pool"}, at(7000), rules, {}).size() == 1);
    }
}

// Guards against an upstream that gets much less than the rate limit that it states: it is passed
// over while this entry has no permit for it, and one request in so many does not make up for that.
TEST_CASE("a limited upstream gets its even share where its limit allows it", "[fleet]") {
    fleet::fleet state;
    constexpr int upstream_count = 8;
    std::vector<ports::listed_upstream> listed;
    listed.reserve(upstream_count);
    for (int each = 0; each < upstream_count; ++each) {
        listed.push_back(upstream("u" + std::to_string(each)));
    }
    fleet::apply_list(state, listed, at(0));
    auto& one = state.members.at({"u0"});
    // Just above the even share of six requests a second, at a bucket that holds a single one.
    const ratelimit::requests_per_second limit{0.8};
    ratelimit::apply_statement(one.limit, {limit, at(0), at(0)});
    ratelimit::set_share(one.permits, limit, 3, at(0), {});
    one.permits.rate = limit;
    one.permits.capacity = 1.1;
    int sent = 0;
    for (int millis = 0; millis < 60'000; millis += 167) {
        const auto among = fleet::candidates(state, {"pool"}, at(millis), {}, {});
        fleet::count_towards_shares(state, {"pool"}, at(millis));
        auto* chosen = fleet::least_loaded(among, {"a"}, static_cast<std::uint64_t>(millis) * 7919,
                                           at(millis), {});
        REQUIRE(fleet::count_against_limit(*chosen, at(millis)));
        sent += chosen == &one ? 1 : 0;
    }
    CHECK(sent >= 36);
    CHECK(sent <= 47);
}
