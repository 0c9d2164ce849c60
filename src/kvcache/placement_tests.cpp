#include "kvcache/lanes.h"
#include "kvcache/placement.h"
#include "kvcache/prompt_sources.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};
const kvcache::prompt_scope scope{{"m"}, {}};
const std::vector<routes::kv_store> stores{{"10.9.9.1:1", {"a"}, 1'200'000, 350'000},
                                           {"10.9.9.2:1", {"b"}, 1'200'000, 350'000},
                                           {"10.9.9.3:1", {"c"}, 1'200'000, 350'000}};

struct world {
    fleet::fleet state;
    kvcache::lane_sizes lanes;
    kvcache::cache_index cache;
    kvcache::store_index stored_prompts;
    // Engines that prefill a token in about 10 microseconds.
    latency::first_byte_model model{.coefficients = {8.0, 0.01, 0.0}};
    routes::pool pool{{"pool"}, 71'780, 192'512, 350'000};

    explicit world(int engines) {
        std::vector<ports::listed_upstream> listed;
        listed.reserve(static_cast<std::size_t>(engines));
        for (int each = 0; each < engines; ++each) {
            listed.push_back({.id = {"e" + std::to_string(each)},
                              .pool = {"pool"},
                              .address = "10.0.0." + std::to_string(each) + ":1",
                              .zone = {std::string(1, static_cast<char>('a' + each % 3))},
                              .slots = 32});
        }
        fleet::apply_list(this->state, listed, now);
        kvcache::assign_lanes(this->state, this->lanes, now, {.initial_share = 0.3});
        for (const auto& store : stores) {
            kvcache::apply_listing(this->stored_prompts[store.address], {}, now);
        }
    }

    void note(const std::vector<kvcache::prompt_level>& levels, const base::upstream_instance& by,
              base::instant at, bool saved) {
        kvcache::prompt_prefill read;
        for (const auto& level : levels) {
            read.levels.push_back({level.key, level.part_tokens});
        }
        read.weights = 1;
        read.engine = by;
        read.saved = saved;
        kvcache::record_prefill(this->cache, read, this->pool.kv_capacity_tokens, at);
    }

    // Records enough traffic, evenly distributed over all agencies, for traffic shares to be known.
    void record_traffic(const std::function<kvcache::prompt_chain(int)>& make_history_prompt) {
        for (int history = 0; history < 300; ++history) {
            this->note({make_history_prompt(history).levels.front()}, {{"e0"}, {}}, now, false);
        }
    }

    kvcache::placement place(const kvcache::prompt_chain& chain,
                             const std::vector<kvcache::candidate>& candidates) {
        std::vector<const fleet::member*> all;
        for (const auto& [id, one] : this->state.members) {
            all.push_back(&one);
        }
        return kvcache::place(
            candidates, {scope, chain, this->pool, all, base::milliseconds(400)},
            {this->cache, this->stored_prompts, stores, now, {}, this->model, {}});
    }

    kvcache::placement place(const kvcache::prompt_chain& chain) {
        std::vector<kvcache::candidate> candidates;
        for (auto* one : fleet::candidates(this->state, {"pool"}, now, {}, {})) {
            candidates.push_back({one, 1, false});
        }
        return this->place(chain, candidates);
    }

    void read(const kvcache::prompt_chain& chain, const fleet::member& by, base::instant at,
              bool saved = false) {
        this->note(chain.levels, fleet::instance_of(by), at, saved);
    }

    // Makes every store hold the whole prompt.
    void store_prompt(const kvcache::prompt_chain& chain) {
        for (const auto& store : stores) {
            for (const auto& level : chain.levels) {
                kvcache::apply_changes(
                    this->stored_prompts[store.address],
                    {{kvcache::part_key(kvcache::make_salt(scope, 1), level), level.part_tokens}},
                    now);
            }
        }
    }
};

kvcache::prompt_chain make_history_prompt(int history, std::int64_t own = 2890) {
    return kvcache::make_chain(scope, {{"agency" + std::to_string(history % 20), {2520}},
                                       {"history" + std::to_string(history), {3780}},
                                       {"own", {own}}});
}

const std::string& store_in_zone(const base::availability_zone& zone) {
    for (const auto& store : stores) {
        if (store.zone == zone) {
            return store.address;
        }
    }
    return stores.front().address;
}

} // namespace

TEST_CASE("prompts with a shared prefix are sent where it is cached", "[kvcache]") {
    world entry(18);
    world other_entry(18);
    const auto chain = make_history_prompt(1);

    SECTION("all entries compute the same home") {
        entry.record_traffic([](int history) { return make_history_prompt(history); });
        other_entry.record_traffic([](int history) { return make_history_prompt(history); });
        std::map<std::string, int> homes;
        for (int history = 0; history < 281; ++history) {
            const auto here = entry.place(make_history_prompt(history));
            const auto there = other_entry.place(make_history_prompt(history));
            CHECK(here.is_home);
            CHECK(here.target.engine->listed.id == there.target.engine->listed.id);
            ++homes[here.target.engine->listed.id.value];
        }
        // Long prompts do not use the short lane, three tenths of the pool.
        CHECK(homes.size() == 13);
    }
    SECTION("cached tokens are not prefilled again") {
        const auto first = entry.place(chain);
        CHECK(first.prefill_tokens == 2890 + 6300);
        entry.read(chain, *first.target.engine, now);
        CHECK(entry.place(chain).target.engine == first.target.engine);
        CHECK(entry.place(chain).prefill_tokens == 2890);
    }
    // The engine has since evicted the prompt, which it does not report. Without a named source it
    // would prefill all of it again, although a KV cache store still holds it.
    SECTION("a store that holds the prompt is named as a source, since engines evict entries") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.store_prompt(chain);
        CHECK(entry.place(chain).fetch_from == store_in_zone(home->listed.zone));
    }
    // Much of the traffic moves to one prompt. Its home falls behind, and clients wait there while
    // other engines idle. A second engine fetches the prompt from the first one, whose link has
    // spare capacity, rather than from a store, whose link is shared by all fetches.
    SECTION("if the home has a long queue, another engine serves the prompt and fetches from it") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.store_prompt(chain);
        home->local_work.pending_prefill_tokens = 30000;
        const auto second = entry.place(chain);
        CHECK(second.target.engine != home);
        CHECK(second.fetch_from == home->listed.address);
        CHECK(second.prefill_tokens == 2890);
    }
    // At peak load every engine is busy. If the next-ranked engines were treated as equal, a
    // different one would prefill the prompt each time and evict the cached prompts of others.
    SECTION("the second-ranked engine is preferred unless the third has far less queued") {
        const auto placed = [&] { return entry.place(chain).target.engine; };
        auto* home = placed();
        home->local_work.pending_prefill_tokens = 30000;
        auto* second = placed();
        second->local_work.pending_prefill_tokens = 8000;
        CHECK(placed() == second);
        second->local_work.pending_prefill_tokens = 25000;
        CHECK(placed() != second);
    }
    SECTION("the store is the source if the home has prefilled too much since") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now - base::seconds(3));
        for (int other = 100; other < 110; ++other) {
            entry.read(make_history_prompt(other), *home, now - base::seconds(2));
        }
        entry.store_prompt(chain);
        home->local_work.pending_prefill_tokens = 30000;
        CHECK(entry.place(chain).fetch_from == store_in_zone(home->listed.zone));
    }
    // Another engine has served the prompt in place of its home, and no store holds a copy yet. The
    // home would prefill all of it again.
    SECTION("the prompt stays with the engine that has cached it now") {
        const auto home = entry.place(chain).target.engine;
        home->local_work.pending_prefill_tokens = 30000;
        auto* substitute = entry.place(chain).target.engine;
        entry.read(chain, *substitute, now);
        home->local_work.pending_prefill_tokens = 0;
        const auto next = entry.place(chain);
        CHECK(next.target.engine == substitute);
        CHECK(next.prefill_tokens == 2890);

        // Once that engine has a long queue, the home fetches the prompt from it and prefills no
        // shared tokens.
        substitute->local_work.pending_prefill_tokens = 30000;
        const auto back = entry.place(chain);
        CHECK(back.target.engine == home);
        CHECK(back.fetch_from == substitute->listed.address);
        CHECK(back.prefill_tokens == 2890);
    }
    SECTION("the store is the source after the home has crashed") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.store_prompt(chain);
        home->health.ejected_until = now + base::seconds(1);
        kvcache::forget_engine(entry.cache, home->listed.id);
        const auto next = entry.place(chain);
        CHECK(next.target.engine != home);
        CHECK(next.fetch_from == store_in_zone(home->listed.zone));
    }
    // Engines load new weights one after the other. If prompts followed the newest weights, all of
    // them would crowd on the first engines that have loaded them, and would be prefilled again
    // each time further engines follow.
    SECTION("the home does not change during a rolling change of weights") {
        const auto home = entry.place(chain).target.engine;
        std::vector<kvcache::candidate> mixed_weights;
        for (auto* one : fleet::candidates(entry.state, {"pool"}, now, {}, {})) {
            const bool changed = one != home;
            mixed_weights.push_back({one, changed ? 2 : 1, !changed});
        }
        const auto placed = entry.place(chain, mixed_weights);
        CHECK(placed.target.engine == home);
        CHECK(placed.salt == kvcache::make_salt(scope, 1));
    }
}

// A history that no engine has prefilled yet, below an agency's instructions that others have
// cached. After new weights, every engine used to prefill the 2,520 tokens of each agency again,
// although these tokens are the same everywhere.
TEST_CASE("the outer level of a new prompt is fetched from an engine that has it cached",
          "[kvcache]") {
    world entry(38);
    const auto chain = make_history_prompt(1);
    const auto* home = entry.place(chain).target.engine;
    const auto sibling = make_history_prompt(21);
    REQUIRE(sibling.levels.front().key == chain.levels.front().key);
    const auto* other = entry.place(sibling).target.engine;
    REQUIRE(other != home);
    entry.read(sibling, *other, now);

    SECTION("only the remaining tokens are prefilled") {
        const auto placed = entry.place(chain);
        CHECK(placed.fetch_from == other->listed.address);
        CHECK(placed.prefill_tokens == 3780 + 2890);
    }
    SECTION("nothing is fetched if the engine itself holds the level") {
        entry.read(sibling, *home, now);
        const auto placed = entry.place(chain);
        CHECK(placed.fetch_from.empty());
        CHECK(placed.prefill_tokens == 3780 + 2890);
    }
    SECTION("nothing is fetched if no engine has used the level recently") {
        CHECK(entry.place(make_history_prompt(2)).fetch_from.empty());
    }
}

// All entries see the same idle engine a tenth of a second after it became idle, and would all send
// their next prompts there. A prompt that leaves its home goes to the engines that rank next for it
// instead, so the prompts of one overloaded engine are spread over many.
TEST_CASE("prompts that leave their home are spread over many engines", "[kvcache]") {
    world entry(38);
    auto* idle = entry.place(make_history_prompt(0)).target.engine;
    for (auto& [id, one] : entry.state.members) {
        one.local_work.pending_prefill_tokens = &one == idle ? 0 : 40000;
    }
    entry.record_traffic([](int history) { return make_history_prompt(history); });
    std::map<std::string, int> sent;
    for (int history = 0; history < 300; ++history) {
        ++sent[entry.place(make_history_prompt(history)).target.engine->listed.id.value];
    }
    CHECK(sent.size() > 20);
    CHECK(sent[idle->listed.id.value] < 60);
}

// Each engine that serves an agency's prompts holds a copy of their common prefix. Prompts of a
// small agency are limited to a few engines, while a popular agency gets as many as its traffic
// needs.
TEST_CASE("prompts below the same outer level share a few engines", "[kvcache]") {
    world entry(38);
    const auto small_agency_prompt = [](int history) {
        return kvcache::make_chain(
            scope,
            {{"small", {2520}}, {"history" + std::to_string(history), {3780}}, {"own", {100}}});
    };
    const auto popular_agency_prompt = [](int history) {
        return kvcache::make_chain(
            scope,
            {{"popular", {2520}}, {"history" + std::to_string(history), {3780}}, {"own", {100}}});
    };
    const auto homes_of = [&entry](const auto& chain) {
        std::map<std::string, int> homes;
        for (int history = 0; history < 300; ++history) {
            ++homes[entry.place(chain(history)).target.engine->listed.id.value];
        }
        return homes.size();
    };
    SECTION("the number of engines grows with the level's traffic") {
        entry.record_traffic([&](int history) {
            return history % 2 == 0 ? popular_agency_prompt(history) : make_history_prompt(history);
        });
        entry.record_traffic([&](int history) {
            return history % 10 == 0 ? small_agency_prompt(history) : make_history_prompt(history);
        });
        CHECK(homes_of(small_agency_prompt) == 4);
        CHECK(homes_of(popular_agency_prompt) > 12);
    }
    SECTION("all engines are used before the traffic is known") {
        CHECK(homes_of(small_agency_prompt) > 20);
    }
}

// While an engine prefills a long prompt, the short responses that it generates stall. Part of the
// pool therefore takes only short prompts, even if all other engines are far behind: one long
// prompt there would delay some thirty responses.
TEST_CASE("short prompts have dedicated engines", "[kvcache]") {
    world entry(18);
    int short_lane = 0;
    std::map<base::availability_zone, int> short_by_zone;
    for (auto& [id, one] : entry.state.members) {
        short_lane += one.short_lane ? 1 : 0;
        short_by_zone[one.listed.zone] += one.short_lane ? 1 : 0;
        one.local_work.pending_prefill_tokens = one.short_lane ? 0 : 30000;
    }
    CHECK(short_lane == 5);
    CHECK_FALSE(entry.place(make_history_prompt(1)).target.engine->short_lane);
    const auto small = kvcache::make_chain(scope, {{"tone", {119}}, {"own", {628}}});
    CHECK(entry.place(small).target.engine->short_lane);

    SECTION("every availability zone has engines of the short lane") {
        CHECK(short_by_zone.at({"a"}) >= 1);
        CHECK(short_by_zone.at({"b"}) >= 1);
        CHECK(short_by_zone.at({"c"}) >= 1);
    }
    // Responses take seconds, so the lane's slots fill up before its engines are busy with prefill.
    // A further request would wait for one to complete, while the other lane has free slots.
    SECTION("short prompts use the other lane once nearly all slots of their own are taken") {
        for (auto& [id, one] : entry.state.members) {
            one.local_work.pending_prefill_tokens = 0;
            one.local_work.in_flight = one.short_lane ? 31 : 4;
        }
        CHECK_FALSE(entry.place(small).target.engine->short_lane);
    }
    SECTION("a small pool is not divided") {
        world tiny(3);
        for (const auto& [id, one] : tiny.state.members) {
            CHECK_FALSE(one.short_lane);
        }
    }
}

// Prompts of 9,000 tokens are sent to engines that hold 72,000. If more are sent than fit, the
// engine preempts the newest in the middle of its response and prefills it again later, with
// growing delays.
TEST_CASE("an engine with full memory gets no more prompts", "[kvcache]") {
    world entry(38);
    const auto chain = make_history_prompt(1);
    const auto home = entry.place(chain).target.engine;
    home->local_work.kv_tokens = 40000;
    CHECK(entry.place(chain).target.engine == home);
    home->local_work.kv_tokens = 70000;
    const auto second = entry.place(chain).target.engine;
    CHECK(second != home);

    SECTION("the requests of other entries count too") {
        home->local_work.kv_tokens = 0;
        home->remote_work[{"entry-2"}] = {{.kv_tokens = 70000}, now + base::seconds(1)};
        CHECK(entry.place(chain).target.engine == second);
    }
    SECTION("the home is used if the next-ranked engines are full as well") {
        for (auto& [id, one] : entry.state.members) {
            one.local_work.kv_tokens = 70000;
        }
        CHECK(entry.place(chain).target.engine == home);
    }
}

// A save uses the store's link and capacity, which all engines share.
TEST_CASE("a prompt is saved once, to a store that does not hold it", "[kvcache]") {
    world entry(18);
    const auto chain = make_history_prompt(1);
    const auto first = entry.place(chain);
    CHECK(first.save_to == store_in_zone(first.target.engine->listed.zone));

    SECTION("it is not saved again while a save is in progress") {
        entry.read(chain, *first.target.engine, now - base::seconds(1), true);
        CHECK(entry.place(chain).save_to.empty());
    }
    SECTION("it is saved again if the save does not appear in the store") {
        entry.read(chain, *first.target.engine, now - base::seconds(3), true);
        CHECK_FALSE(entry.place(chain).save_to.empty());
    }
    SECTION("it is not saved if the store already holds it") {
        entry.store_prompt(chain);
        CHECK(entry.place(chain).save_to.empty());
    }
    SECTION("it is not saved if the unshared part is larger than the shared prefix") {
        CHECK_FALSE(entry.place(make_history_prompt(1, 6200)).save_to.empty());
        CHECK(entry.place(make_history_prompt(1, 6400)).save_to.empty());
    }
    // The store refuses connections. Engines instructed to use it would wait for it on every
    // prompt, so another store is used in its place.
    SECTION("it is saved in another store while its own is down") {
        kvcache::mark_down(entry.stored_prompts[first.save_to], now);
        const auto second = entry.place(chain);
        CHECK_FALSE(second.save_to.empty());
        CHECK(second.save_to != first.save_to);
    }
    SECTION("it is not saved while all stores are down") {
        for (const auto& store : stores) {
            kvcache::mark_down(entry.stored_prompts[store.address], now);
        }
        CHECK(entry.place(chain).save_to.empty());
        CHECK(entry.place(chain).fetch_from.empty());
    }
    // The entry that follows the store has stopped reporting, so the store's contents are unknown.
    // A fetch that finds nothing costs an engine only a millisecond.
    SECTION("a store with unknown contents is named as a speculative source") {
        entry.stored_prompts.clear();
        CHECK(entry.place(chain).fetch_from == first.save_to);
    }
}

// Guards against an unused store: with six stores in five availability zones, the second store of a
// zone was never named. With 100 entries and 160 engines, prompts then waited for the links of the
// other stores.
TEST_CASE("prompts are distributed over all stores of an availability zone", "[kvcache]") {
    world pool_with_stores(30);
    auto more_stores = stores;
    more_stores.push_back({"10.9.9.4:1", {"a"}, 1'200'000, 350'000});
    std::map<std::string, int> selected;
    const auto& home = pool_with_stores.state.members.at({"e0"});
    REQUIRE(home.listed.zone.value == "a");
    for (int history = 0; history < 100; ++history) {
        const auto chain = make_history_prompt(history);
        const std::vector<const fleet::member*> members;
        const kvcache::prompt_request request{scope, chain, pool_with_stores.pool, members,
                                              base::milliseconds(400)};
        const kvcache::placement_context view{pool_with_stores.cache,
                                              pool_with_stores.stored_prompts,
                                              more_stores,
                                              now,
                                              {},
                                              pool_with_stores.model,
                                              {}};
        const auto* store = kvcache::select_store(request, view, &home);
        REQUIRE(store != nullptr);
        CHECK(store == kvcache::select_store(request, view, &home));
        ++selected[store->address];
    }
    REQUIRE(selected.size() == 2);
    CHECK(selected.at("10.9.9.1:1") > 25);
    CHECK(selected.at("10.9.9.4:1") > 25);
}
