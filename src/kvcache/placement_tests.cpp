#include "kvcache/lanes.h"
#include "kvcache/placement.h"
#include "kvcache/prompt_sources.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>

using namespace camphorrail;

namespace {

constexpr base::instant now{base::seconds(100)};
const kvcache::prompt_scope space{{"m"}, {}};
const std::vector<routes::kv_store> stores{{"10.9.9.1:1", {"a"}, 1'200'000, 350'000},
                                           {"10.9.9.2:1", {"b"}, 1'200'000, 350'000},
                                           {"10.9.9.3:1", {"c"}, 1'200'000, 350'000}};

struct world {
    fleet::fleet state;
    kvcache::lane_sizes lanes;
    kvcache::cache_index beliefs;
    kvcache::store_index copies;
    // Engines that read a token in about 10 microseconds.
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
            kvcache::apply_listing(this->copies[store.address], {}, now);
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
        kvcache::record_prefill(this->beliefs, read, this->pool.kv_capacity_tokens, at);
    }

    // Enough traffic, evenly over all agencies, for shares to be known.
    void see_traffic(const std::function<kvcache::prompt_chain(int)>& chain_of) {
        for (int history = 0; history < 300; ++history) {
            this->note({chain_of(history).levels.front()}, {{"e0"}, {}}, now, false);
        }
    }

    kvcache::placement place(const kvcache::prompt_chain& chain,
                             const std::vector<kvcache::candidate>& candidates) {
        std::vector<const fleet::member*> all;
        for (const auto& [id, one] : this->state.members) {
            all.push_back(&one);
        }
        return kvcache::place(candidates, {space, chain, this->pool, all, base::milliseconds(400)},
                              {this->beliefs, this->copies, stores, now, {}, this->model, {}});
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

    // Each store holds the whole prompt.
    void keep(const kvcache::prompt_chain& chain) {
        for (const auto& store : stores) {
            for (const auto& level : chain.levels) {
                kvcache::apply_changes(
                    this->copies[store.address],
                    {{kvcache::part_key(kvcache::make_salt(space, 1), level), level.part_tokens}},
                    now);
            }
        }
    }
};

kvcache::prompt_chain chain_of(int history, std::int64_t own = 2890) {
    return kvcache::make_chain(space, {{"agency" + std::to_string(history % 20), {2520}},
                                       {"history" + std::to_string(history), {3780}},
                                       {"own", {own}}});
}

const std::string& store_in(const base::availability_zone& zone) {
    for (const auto& store : stores) {
        if (store.zone == zone) {
            return store.address;
        }
    }
    return stores.front().address;
}

} // namespace

TEST_CASE("prompts with a shared prefix meet where it is cached", "[kvcache]") {
    world entry(18);
    world other_entry(18);
    const auto chain = chain_of(1);

    SECTION("at a home that all entries agree on") {
        entry.see_traffic([](int history) { return chain_of(history); });
        other_entry.see_traffic([](int history) { return chain_of(history); });
        std::map<std::string, int> homes;
        for (int history = 0; history < 281; ++history) {
            const auto here = entry.place(chain_of(history));
            const auto there = other_entry.place(chain_of(history));
            CHECK(here.is_home);
            CHECK(here.target.engine->listed.id == there.target.engine->listed.id);
            ++homes[here.target.engine->listed.id.value];
        }
        // Long prompts keep out of the lane for short ones, three tenths of the pool.
        CHECK(homes.size() == 13);
    }
    SECTION("with less to read there once it has read them") {
        const auto first = entry.place(chain);
        CHECK(first.prefill_tokens == 2890 + 6300);
        entry.read(chain, *first.target.engine, now);
        CHECK(entry.place(chain).target.engine == first.target.engine);
        CHECK(entry.place(chain).prefill_tokens == 2890);
    }
    // The engine has dropped the prompt since, without telling. It would read all of it again,
    // while a store of kept cache still has it.
    SECTION("with the kept copy as a source, since engines drop what they hold") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.keep(chain);
        CHECK(entry.place(chain).fetch_from == store_in(home->listed.zone));
    }
    // Much of the traffic turns to one prompt. Its home falls behind, and callers wait there while
    // other engines idle. A second engine takes the prompt over from the first, whose link has
    // room, while the stores' links are what all fetches share.
    SECTION("until the home is behind; then another engine fetches from there") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.keep(chain);
        home->local_work.pending_prefill_tokens = 30000;
        const auto second = entry.place(chain);
        CHECK(second.target.engine != home);
        CHECK(second.fetch_from == home->listed.address);
        CHECK(second.prefill_tokens == 2890);
    }
    // At the peak every engine has something to do. Were all that come next for a prompt alike, it
    // would be read by a different one each time, and displace there what others come for.
    SECTION("the second of its engines, unless the third has far less to do") {
        const auto placed = [&] { return entry.place(chain).target.engine; };
        auto* home = placed();
        home->local_work.pending_prefill_tokens = 30000;
        auto* second = placed();
        second->local_work.pending_prefill_tokens = 8000;
        CHECK(placed() == second);
        second->local_work.pending_prefill_tokens = 25000;
        CHECK(placed() != second);
    }
    SECTION("and from the kept copy when it has read too much since") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now - base::seconds(3));
        for (int other = 100; other < 110; ++other) {
            entry.read(chain_of(other), *home, now - base::seconds(2));
        }
        entry.keep(chain);
        home->local_work.pending_prefill_tokens = 30000;
        CHECK(entry.place(chain).fetch_from == store_in(home->listed.zone));
    }
    // Another engine has had the prompt in its home's place, and nobody has kept a copy yet. The
    // home would read all of it again.
    SECTION("and it stays there, where it is cached now") {
        const auto home = entry.place(chain).target.engine;
        home->local_work.pending_prefill_tokens = 30000;
        auto* substitute = entry.place(chain).target.engine;
        entry.read(chain, *substitute, now);
        home->local_work.pending_prefill_tokens = 0;
        const auto next = entry.place(chain);
        CHECK(next.target.engine == substitute);
        CHECK(next.prefill_tokens == 2890);

        // Until that one is behind; the home then has it from there, and reads nothing again.
        substitute->local_work.pending_prefill_tokens = 30000;
        const auto back = entry.place(chain);
        CHECK(back.target.engine == home);
        CHECK(back.fetch_from == substitute->listed.address);
        CHECK(back.prefill_tokens == 2890);
    }
    SECTION("and from the kept copy when the home has crashed") {
        const auto home = entry.place(chain).target.engine;
        entry.read(chain, *home, now);
        entry.keep(chain);
        home->health.ejected_until = now + base::seconds(1);
        kvcache::forget_engine(entry.beliefs, home->listed.id);
        const auto next = entry.place(chain);
        CHECK(next.target.engine != home);
        CHECK(next.fetch_from == store_in(home->listed.zone));
    }
    // New weights are loaded by one engine after the other. Were a prompt to follow the newest
    // weights, all prompts would crowd on the first engines that have them, and be read anew again
    // each time when the others follow.
    SECTION("also while engines change weights one after the other") {
        const auto home = entry.place(chain).target.engine;
        std::vector<kvcache::candidate> mixed;
        for (auto* one : fleet::candidates(entry.state, {"pool"}, now, {}, {})) {
            const bool changed = one != home;
            mixed.push_back({one, changed ? 2 : 1, !changed});
        }
        const auto placed = entry.place(chain, mixed);
        CHECK(placed.target.engine == home);
        CHECK(placed.salt == kvcache::make_salt(space, 1));
    }
}

// A history that nobody has read yet, below an agency's instructions that others have. After new
// weights each engine read the 2,520 tokens of each agency once more, though all hold the same.
TEST_CASE("the outer level of a new prompt is fetched from whoever has read it", "[kvcache]") {
    world entry(38);
    const auto chain = chain_of(1);
    const auto* home = entry.place(chain).target.engine;
    const auto sibling = chain_of(21);
    REQUIRE(sibling.levels.front().key == chain.levels.front().key);
    const auto* other = entry.place(sibling).target.engine;
    REQUIRE(other != home);
    entry.read(sibling, *other, now);

    SECTION("so only the rest is read") {
        const auto placed = entry.place(chain);
        CHECK(placed.fetch_from == other->listed.address);
        CHECK(placed.prefill_tokens == 3780 + 2890);
    }
    SECTION("but from nobody where the engine holds it itself") {
        entry.read(sibling, *home, now);
        const auto placed = entry.place(chain);
        CHECK(placed.fetch_from.empty());
        CHECK(placed.prefill_tokens == 3780 + 2890);
    }
    SECTION("and from nobody who read it long ago") {
        CHECK(entry.place(chain_of(2)).fetch_from.empty());
    }
}

// All entries see the same idle engine a tenth of a second after it fell idle, and all would send
// their next prompts there. A prompt's overflow goes to the engines that come next for it, so the
// prompts of one overloaded engine spread over many.
TEST_CASE("prompts that overflow spread over many engines", "[kvcache]") {
    world entry(38);
    auto* idle = entry.place(chain_of(0)).target.engine;
    for (auto& [id, one] : entry.state.members) {
        one.local_work.pending_prefill_tokens = &one == idle ? 0 : 40000;
    }
    entry.see_traffic([](int history) { return chain_of(history); });
    std::map<std::string, int> sent;
    for (int history = 0; history < 300; ++history) {
        ++sent[entry.place(chain_of(history)).target.engine->listed.id.value];
    }
    CHECK(sent.size() > 20);
    CHECK(sent[idle->listed.id.value] < 60);
}

// Each engine that serves an agency's prompts holds a copy of what they all share. Prompts of a
// small agency are kept to a few engines, those of a popular one have as many as its traffic needs.
TEST_CASE("prompts below one outer level share a few engines", "[kvcache]") {
    world entry(38);
    const auto of_small = [](int history) {
        return kvcache::make_chain(
            space,
            {{"small", {2520}}, {"history" + std::to_string(history), {3780}}, {"own", {100}}});
    };
    const auto of_popular = [](int history) {
        return kvcache::make_chain(
            space,
            {{"popular", {2520}}, {"history" + std::to_string(history), {3780}}, {"own", {100}}});
    };
    const auto homes_of = [&entry](const auto& chain) {
        std::map<std::string, int> homes;
        for (int history = 0; history < 300; ++history) {
            ++homes[entry.place(chain(history)).target.engine->listed.id.value];
        }
        return homes.size();
    };
    SECTION("as many as its traffic needs") {
        entry.see_traffic([&](int history) {
            return history % 2 == 0 ? of_popular(history) : chain_of(history);
        });
        entry.see_traffic(
            [&](int history) { return history % 10 == 0 ? of_small(history) : chain_of(history); });
        CHECK(homes_of(of_small) == 4);
        CHECK(homes_of(of_popular) > 12);
    }
    SECTION("and all engines before the traffic is known") {
        CHECK(homes_of(of_small) > 20);
    }
}

// While an engine reads a long prompt, the short answers that it generates pause. Part of the pool
// takes short prompts only, also when all the others are far behind: one long prompt there would
// delay some thirty answers.
TEST_CASE("short prompts have engines of their own", "[kvcache]") {
    world entry(18);
    int short_lane = 0;
    std::map<base::availability_zone, int> short_by_zone;
    for (auto& [id, one] : entry.state.members) {
        short_lane += one.short_lane ? 1 : 0;
        short_by_zone[one.listed.zone] += one.short_lane ? 1 : 0;
        one.local_work.pending_prefill_tokens = one.short_lane ? 0 : 30000;
    }
    CHECK(short_lane == 5);
    CHECK_FALSE(entry.place(chain_of(1)).target.engine->short_lane);
    const auto small = kvcache::make_chain(space, {{"tone", {119}}, {"own", {628}}});
    CHECK(entry.place(small).target.engine->short_lane);

    SECTION("in every availability zone") {
        CHECK(short_by_zone.at({"a"}) >= 1);
        CHECK(short_by_zone.at({"b"}) >= 1);
        CHECK(short_by_zone.at({"c"}) >= 1);
    }
    // Answers take seconds, so the lane's slots fill up before its engines are busy reading. A
    // request more waits for an answer to end, while the other lane has slots to spare.
    SECTION("until nearly all of their slots are taken") {
        for (auto& [id, one] : entry.state.members) {
            one.local_work.pending_prefill_tokens = 0;
            one.local_work.in_flight = one.short_lane ? 31 : 4;
        }
        CHECK_FALSE(entry.place(small).target.engine->short_lane);
    }
    SECTION("but not in a pool that is too small to be divided") {
        world tiny(3);
        for (const auto& [id, one] : tiny.state.members) {
            CHECK_FALSE(one.short_lane);
        }
    }
}

// Prompts of 9,000 tokens meet on engines that hold 72,000. With more of them than fit, the newest
// is put back in the middle of its answer and read again when there is room, ever later.
TEST_CASE("an engine whose memory is full gets no more prompts", "[kvcache]") {
    world entry(38);
    const auto chain = chain_of(1);
    const auto home = entry.place(chain).target.engine;
    home->local_work.kv_tokens = 40000;
    CHECK(entry.place(chain).target.engine == home);
    home->local_work.kv_tokens = 70000;
    const auto second = entry.place(chain).target.engine;
    CHECK(second != home);

    SECTION("over all entries") {
        home->local_work.kv_tokens = 0;
        home->remote_work[{"entry-2"}] = {{.kv_tokens = 70000}, now + base::seconds(1)};
        CHECK(entry.place(chain).target.engine == second);
    }
    SECTION("unless all that come next for the prompt are full") {
        for (auto& [id, one] : entry.state.members) {
            one.local_work.kv_tokens = 70000;
        }
        CHECK(entry.place(chain).target.engine == home);
    }
}

// A save takes the store's link and its room, both of which all engines share.
TEST_CASE("a prompt is saved once, where it is missing", "[kvcache]") {
    world entry(18);
    const auto chain = chain_of(1);
    const auto first = entry.place(chain);
    CHECK(first.save_to == store_in(first.target.engine->listed.zone));

    SECTION("not again while the save is under way") {
        entry.read(chain, *first.target.engine, now - base::seconds(1), true);
        CHECK(entry.place(chain).save_to.empty());
    }
    SECTION("again when it does not show at the store") {
        entry.read(chain, *first.target.engine, now - base::seconds(3), true);
        CHECK_FALSE(entry.place(chain).save_to.empty());
    }
    SECTION("not when the store holds it already") {
        entry.keep(chain);
        CHECK(entry.place(chain).save_to.empty());
    }
    SECTION("not by a request whose own part is larger than what is shared") {
        CHECK_FALSE(entry.place(chain_of(1, 6200)).save_to.empty());
        CHECK(entry.place(chain_of(1, 6400)).save_to.empty());
    }
    // The store takes no connections. Engines that were told to use it would wait for it with
    // every prompt, so another one stands in.
    SECTION("in another store while its own is down") {
        kvcache::mark_down(entry.copies[first.save_to], now);
        const auto second = entry.place(chain);
        CHECK_FALSE(second.save_to.empty());
        CHECK(second.save_to != first.save_to);
    }
    SECTION("nowhere when all are down") {
        for (const auto& store : stores) {
            kvcache::mark_down(entry.copies[store.address], now);
        }
        CHECK(entry.place(chain).save_to.empty());
        CHECK(entry.place(chain).fetch_from.empty());
    }
    // Whoever follows the store has fallen silent. What it holds is not known, and a vain question
    // costs an engine a millisecond.
    SECTION("and named as a source on the chance when nobody hears from the store") {
        entry.copies.clear();
        CHECK(entry.place(chain).fetch_from == first.save_to);
    }
}

// Six stores in five availability zones: the second one of a zone was never named, and with 100
// entries before 160 engines the links of the others were what prompts waited for.
TEST_CASE("stores of one availability zone share its prompts", "[kvcache]") {
    world grown(30);
    auto more = stores;
    more.push_back({"10.9.9.4:1", {"a"}, 1'200'000, 350'000});
    std::map<std::string, int> named;
    const auto& home = grown.state.members.at({"e0"});
    REQUIRE(home.listed.zone.value == "a");
    for (int history = 0; history < 100; ++history) {
        const auto chain = chain_of(history);
        const std::vector<const fleet::member*> members;
        const kvcache::prompt_request request{space, chain, grown.pool, members,
                                              base::milliseconds(400)};
        const kvcache::placement_context view{
            grown.beliefs, grown.copies, more, now, {}, grown.model, {}};
        const auto* store = kvcache::select_store(request, view, &home);
        REQUIRE(store != nullptr);
        CHECK(store == kvcache::select_store(request, view, &home));
        ++named[store->address];
    }
    REQUIRE(named.size() == 2);
    CHECK(named.at("10.9.9.1:1") > 25);
    CHECK(named.at("10.9.9.4:1") > 25);
}
