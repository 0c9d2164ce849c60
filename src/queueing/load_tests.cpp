#include "base/random.h"
#include "kvcache/lanes.h"
#include "kvcache/overload.h"
#include "kvcache/placement.h"
#include "kvcache/size_fairness.h"
#include "queueing/pool_state.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>

// Entries that send requests to engines by rank, on a simulated clock.

using namespace camphorrail;

namespace {

using base::milliseconds;

constexpr int engine_count = 10;
constexpr std::int64_t engine_slots = 32;
constexpr double token_ms = 0.01;
constexpr milliseconds network{2};
constexpr milliseconds report_period{40};
constexpr milliseconds report_lifetime{500};
// Prompts of a family share a part, and so their home engine.
constexpr std::uint64_t prompt_families = 60;
constexpr milliseconds traffic_end{14'000};
// Requests count from when the slots have filled.
constexpr milliseconds first_counted{3000};
constexpr milliseconds burst_end{9000};

struct request_kind {
    std::int64_t tokens = 0;
    queueing::caller_terms caller;
    milliseconds decoding{0};
    // What upstreams get from entries of older builds.
    std::size_t older_rank = 0;
    queueing::rank rank;
    double per_s = 0.0;
    // Results.
    int callers = 0;
    int on_time = 0;
    int served = 0;
    int refused = 0;
    int returns = 0;
    int refused_again = 0;
    // How much faster callers arrive during the burst.
    double burst = 1.0;
};

request_kind long_prompts(double per_s, std::size_t rank) {
    return {9190,
            {milliseconds(500), milliseconds(250), milliseconds(6000)},
            milliseconds(400),
            0,
            {rank},
            per_s};
}

request_kind short_prompts(double per_s, std::size_t rank) {
    return {826,
            {milliseconds(2000), milliseconds(250), milliseconds(15'000)},
            milliseconds(2000),
            2,
            {rank},
            per_s};
}

struct scenario {
    std::vector<request_kind> kinds;
    bool by_rank = true;
    std::size_t older_entries = 0;
    // Of the reports of the first entry.
    double lost_reports = 0.0;
    milliseconds report_delay{30};
    milliseconds first_entry_killed{0};
};

struct attempt {
    std::uint64_t number = 0;
    std::size_t kind = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    base::instant arrived{};
    base::instant deadline{};
    base::instant first_byte_at{};
    fleet::request_work work;
    int returns = 0;
    bool begun = false;
    bool ended = false;
};

using attempt_ptr = std::shared_ptr<attempt>;

struct model_engine {
    std::int64_t running = 0;
    base::instant reader_free{};
    std::multimap<std::size_t, attempt_ptr> queue;
};

struct model_entry {
    fleet::fleet state;
    kvcache::lane_sizes lanes;
    kvcache::size_history sizes;
    queueing::pool_state pool;
    bool by_rank = true;
    bool alive = true;
};

struct world {
    explicit world(scenario played) : played(std::move(played)), entries(5) {
        std::vector<ports::listed_upstream> listed;
        listed.reserve(engine_count);
        for (int each = 0; each < engine_count; ++each) {
            listed.push_back(
                {.id = {std::to_string(each)}, .pool = {"pool"}, .slots = engine_slots});
        }
        for (std::size_t each = 0; each < this->entries.size(); ++each) {
            fleet::apply_list(this->entries[each].state, listed, this->now);
            this->entries[each].by_rank =
                this->played.by_rank && each + this->played.older_entries < this->entries.size();
            this->report(each);
        }
        for (std::size_t each = 0; each < this->played.kinds.size(); ++each) {
            this->arrive(each);
        }
        if (this->played.first_entry_killed > milliseconds(0)) {
            this->at(this->played.first_entry_killed, [this] { this->kill_first_entry(); });
        }
        while (!this->events.empty()) {
            auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    void at(base::micros delay, std::function<void()> action) {
        this->events.emplace(this->now + delay, std::move(action));
    }

    std::size_t draw_entry() {
        for (;;) {
            const auto drawn = base::random_below(this->random, this->entries.size());
            if (this->entries[drawn].alive) {
                return drawn;
            }
        }
    }

    void arrive(std::size_t kind) {
        auto& of = this->played.kinds[kind];
        if (this->now - this->start > traffic_end) {
            return;
        }
        const attempt first{base::random_bits(this->random), kind, 0, 0, {},
                            this->now + of.caller.timeout};
        of.callers += this->counts(first) ? 1 : 0;
        this->call(first);
        const bool in_burst =
            this->now - this->start > first_counted && this->now - this->start < burst_end;
        const auto gap =
            base::random_exponential(this->random, 1e6 / of.per_s / (in_burst ? of.burst : 1.0));
        this->at(base::micros(static_cast<std::int64_t>(gap)),
                 [this, kind] { this->arrive(kind); });
    }

    [[nodiscard]] bool counts(const attempt& one) const {
        const auto timeout = this->played.kinds[one.kind].caller.timeout;
        return one.deadline - timeout >= this->start + first_counted;
    }

    void call(attempt made) {
        made.entry = this->draw_entry();
        made.arrived = this->now;
        auto& entry = this->entries[made.entry];
        auto& of = this->played.kinds[made.kind];
        const auto chain = kvcache::make_chain(
            scope, {{std::to_string(made.number % prompt_families), {of.tokens / 3}},
                    {"own", {of.tokens - of.tokens / 3}}});
        const auto rank = entry.by_rank ? std::optional(of.rank) : std::nullopt;
        std::vector<kvcache::candidate> candidates;
        std::vector<const fleet::member*> members;
        for (auto& [id, one] : entry.state.members) {
            candidates.push_back({&one, 1, false});
            members.push_back(&one);
        }
        kvcache::placement_costs costs;
        if (rank) {
            costs.response_ms =
                queueing::cautious_slot_ms(entry.pool.times, queueing::prior_slot_ms, this->now);
        }
        const auto chosen =
            kvcache::place(candidates, {scope, chain, pool, members, of.caller.target, rank},
                           {cache, stored, {}, this->now, {}, model, costs});
        const kvcache::prompt_estimate estimate{of.tokens, chosen.wait_ms, chosen.first_byte_ms,
                                                of.caller.target};
        auto caller = of.caller;
        caller.time_left = std::chrono::duration_cast<milliseconds>(made.deadline - this->now);
        bool accepted = false;
        milliseconds delay = kvcache::retry_delay(base::random_bits(this->random));
        if (rank) {
            const bool acceptable = kvcache::evaluate_admission(entry.sizes, estimate, {}) !=
                                    kvcache::admission_decision::rejected;
            const queueing::pool_request asked{
                *rank,     chosen.wait_ms, chosen.first_byte_ms, caller, std::to_string(made.kind),
                acceptable};
            accepted = queueing::is_accepted(queueing::admit(entry.pool, asked, this->now));
            kvcache::record_admission(entry.sizes, {of.tokens, accepted}, {});
            if (!accepted) {
                const queueing::pool_size size{engine_slots * engine_count, engine_count,
                                               token_ms * static_cast<double>(of.tokens),
                                               1.0 / static_cast<double>(this->entries.size())};
                delay = queueing::refuse(entry.pool, asked, size, this->now,
                                         base::random_bits(this->random))
                            .delay;
            }
        } else {
            accepted = kvcache::decide_admission(entry.sizes, estimate, {}) !=
                       kvcache::admission_decision::rejected;
        }
        const bool returns = made.returns > 0 && this->counts(made);
        of.returns += returns ? 1 : 0;
        if (accepted) {
            made.engine = std::stoul(chosen.target.engine->listed.id.value);
            made.work = {of.tokens, of.tokens, false, of.tokens < 2048, rank};
            this->send(std::make_shared<attempt>(made));
            return;
        }
        of.refused_again += returns ? 1 : 0;
        if (++made.returns <= 2 && this->now + delay + of.caller.target < made.deadline) {
            this->at(delay, [this, made] { this->call(made); });
        } else {
            of.refused += this->counts(made) ? 1 : 0;
        }
    }

    fleet::workload& local_work(const attempt& sent) {
        return this->entries[sent.entry].state.members.at({std::to_string(sent.engine)}).local_work;
    }

    void send(const attempt_ptr& sent) {
        const auto& of = this->played.kinds[sent->kind];
        fleet::add_request(this->local_work(*sent), sent->work);
        const std::size_t rank = sent->work.rank ? sent->work.rank->value : of.older_rank;
        this->at(network, [this, sent, rank] {
            this->engines[sent->engine].queue.emplace(rank, sent);
            this->admit_at(sent->engine);
        });
        const auto patience =
            std::max({milliseconds(2000), of.caller.target * 4, of.caller.gap_target * 8});
        this->at(std::min<base::micros>(patience, sent->deadline - this->now), [this, sent] {
            if (!sent->begun) {
                this->end(sent);
            }
        });
    }

    void admit_at(std::size_t at_engine) {
        auto& engine = this->engines[at_engine];
        while (engine.running < engine_slots && !engine.queue.empty()) {
            const auto next = engine.queue.extract(engine.queue.begin()).mapped();
            if (next->ended) {
                continue;
            }
            ++engine.running;
            const auto& of = this->played.kinds[next->kind];
            engine.reader_free =
                std::max(this->now, engine.reader_free) +
                base::micros(static_cast<std::int64_t>(1000.0 * token_ms * of.tokens));
            const base::micros reading = engine.reader_free - this->now + milliseconds(8);
            this->at(reading, [this, next] { this->begin(next); });
            const double length = 0.5 + base::random_unit(this->random);
            const base::micros decoding(static_cast<std::int64_t>(
                1000.0 * length * static_cast<double>(of.decoding.count())));
            this->at(reading + decoding, [this, next] {
                --this->engines[next->engine].running;
                this->end(next);
                this->admit_at(next->engine);
            });
        }
    }

    void begin(const attempt_ptr& sent) {
        if (sent->ended) {
            return;
        }
        sent->begun = true;
        sent->first_byte_at = this->now;
        fleet::record_first_byte(this->local_work(*sent), sent->work);
        auto& of = this->played.kinds[sent->kind];
        of.served += this->counts(*sent) ? 1 : 0;
        of.on_time += this->counts(*sent) && this->now - sent->arrived <= of.caller.target ? 1 : 0;
    }

    // The response is complete, or its caller has left.
    void end(const attempt_ptr& sent) {
        if (sent->ended) {
            return;
        }
        sent->ended = true;
        fleet::remove_request(this->local_work(*sent), sent->work, sent->begun);
        auto& state = this->entries[sent->entry].pool;
        if (sent->work.rank && sent->begun) {
            const std::chrono::duration<double, std::milli> decoding =
                this->now - sent->first_byte_at;
            queueing::record_slot_time(state.times, std::to_string(sent->kind),
                                       decoding.count() + token_ms * sent->work.prompt_tokens,
                                       this->now);
        } else if (sent->work.rank) {
            queueing::record_loss(state.service, *sent->work.rank, this->now);
        }
    }

    void report(std::size_t from) {
        auto& sender = this->entries[from];
        kvcache::assign_lanes(sender.state, sender.lanes, this->now, {});
        if (!sender.alive || this->now - this->start > traffic_end + base::seconds(20)) {
            return;
        }
        const bool lost = from == 0 && base::random_unit(this->random) < this->played.lost_reports;
        for (const auto& [id, one] : sender.state.members) {
            const fleet::entry_load load{
                one.local_work, this->now + this->played.report_delay + report_lifetime, this->now};
            if (!lost) {
                this->at(this->played.report_delay, [this, from, load, upstream = id] {
                    this->receive(from, upstream, load);
                });
            }
        }
        this->at(report_period, [this, from] { this->report(from); });
    }

    void receive(std::size_t from, const base::upstream_id& id, const fleet::entry_load& load) {
        for (std::size_t each = 0; each < this->entries.size(); ++each) {
            if (each != from) {
                this->entries[each].state.members.at(id).remote_work[{std::to_string(from)}] = load;
            }
        }
    }

    // The engines drop what it has queued there; its callers go elsewhere.
    void kill_first_entry() {
        this->entries[0].alive = false;
        for (auto& engine : this->engines) {
            for (const auto& [rank, each] : std::exchange(engine.queue, {})) {
                if (each->entry == 0 && !each->ended) {
                    each->ended = true;
                    this->call({each->number, each->kind, 0, 0, {}, each->deadline});
                } else {
                    engine.queue.emplace(rank, each);
                }
            }
        }
    }

    static inline const kvcache::prompt_scope scope{{"m"}, {}};
    static inline const routes::pool pool{{"pool"}, 104'014, 192'512, 350'000};
    static inline const latency::first_byte_model model{.coefficients = {8.0, token_ms, 0.0}};
    static inline const kvcache::cache_index cache;
    static inline const kvcache::store_index stored;

    scenario played;
    base::random_source random{11};
    const base::instant start{base::seconds(100)};
    base::instant now = start;
    std::multimap<base::instant, std::function<void()>> events;
    std::vector<model_entry> entries;
    std::array<model_engine, engine_count> engines;
};

double part(int some, int all) {
    return all == 0 ? 1.0 : static_cast<double>(some) / all;
}

// The slots end about 155 short responses in a second; there are twice as many requests.
scenario twice_the_load() {
    return {{long_prompts(30, 0), short_prompts(300, 1)}};
}

double served_part(const request_kind& kind) {
    return part(kind.served, kind.callers);
}

double served_on_return(const request_kind& kind) {
    return 1.0 - part(kind.refused_again, kind.returns);
}

std::vector<request_kind> play(const scenario& played) {
    const world run(played);
    return run.played.kinds;
}

} // namespace

// Guards against urgent requests that wait, or are refused, for less urgent ones.
TEST_CASE("urgent requests are on time beside twice the pool's load", "[queueing][load]") {
    auto played = twice_the_load();
    SECTION("in a steady fleet") {}
    SECTION("while reports of one entry are lost") {
        played.lost_reports = 0.8;
    }
    SECTION("while reports are late") {
        played.report_delay = milliseconds(200);
    }
    SECTION("after an entry was killed") {
        played.first_entry_killed = milliseconds(6000);
    }
    const auto kinds = play(played);
    CHECK(part(kinds[0].on_time, kinds[0].callers) >= 0.97);
    CHECK(part(kinds[1].on_time, kinds[1].callers) > 0.6);
}

// Guards against an upgrade during which urgent requests fare worse than before it.
TEST_CASE("entries of older builds do not make urgent requests worse off", "[queueing][load]") {
    auto played = twice_the_load();
    played.by_rank = false;
    const auto before = play(played);
    played.by_rank = true;
    played.older_entries = 2;
    const auto mixed = play(played);
    CHECK(served_part(mixed[0]) >= served_part(before[0]));
    CHECK(served_part(mixed[1]) >= served_part(before[1]) - 0.05);
}

// Guards against the least urgent getting nothing where more urgent requests alone fill the pool.
TEST_CASE("no rank is served less than a quarter as often as the mean", "[queueing][load]") {
    const auto kinds = play({{short_prompts(280, 0), short_prompts(60, 1), short_prompts(60, 2)}});
    request_kind all;
    for (const auto& each : kinds) {
        all.callers += each.callers;
        all.served += each.served;
    }
    for (const auto& each : kinds) {
        CAPTURE(each.rank.value, served_part(each), served_part(all));
        CHECK(served_part(each) >= 0.25 * served_part(all));
    }
}

// Guards against callers that return into the same overload and are refused again.
TEST_CASE("callers that return after a refusal are mostly served", "[queueing][load]") {
    scenario played{{long_prompts(30, 0), short_prompts(120, 1)}};
    played.kinds[1].burst = 2.6;
    played.by_rank = GENERATE(true, false);
    const auto kinds = play(played);
    CAPTURE(played.by_rank, kinds[1].returns);
    if (played.by_rank) {
        CHECK(served_on_return(kinds[1]) > 0.8);
        CHECK(served_part(kinds[1]) > 0.95);
    } else {
        // The fixed delay of 600 to 1,100 ms.
        CHECK(served_on_return(kinds[1]) < 0.5);
    }
}
