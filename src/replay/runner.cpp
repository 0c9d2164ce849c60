#include "replay/runner.h"

#include "routing/engine_view.h"

#include <algorithm>
#include <memory>
#include <queue>
#include <unordered_set>

namespace camphorrail::replay {

namespace {

constexpr base::instant start_time{base::seconds(1000)};
constexpr base::micros request_timeout = base::seconds(30);

// One request on its way.
struct flow {
    std::size_t number = 0;
    std::size_t entry = 0;
    base::instant arrived;
    std::vector<std::size_t> tried;
    std::size_t engine = 0;
    std::int64_t incarnation = 0;
    bool probe = false;
    routing::prediction_basis basis;
    routing::prediction_basis agent_basis;
    bool passed_on = false;
    bool done = false;
};

using flow_ptr = std::shared_ptr<flow>;

// An agent beside its engine.
struct agent {
    admission::request_queue queue;
    routing::engine_view view;
    // Who holds the prefixes that this one is home of.
    routing::affinity_table notes;
    std::unordered_map<std::string, flow_ptr> waiting;
    // Orders at the engine whose first token is not out yet, with the end of their expected work.
    std::map<std::size_t, base::instant> prefilling;
    std::map<std::size_t, flow_ptr> running;
};

class replayer {
public:
    replayer(const trace& recorded, const policy_maker& make, const run_rules& rules)
        : recorded(&recorded), rules(rules) {
        for (const auto& pool : recorded.pools) {
            this->engines.emplace_back();
            this->agents.emplace_back();
            for (std::int64_t index = 0; index < pool.engines.count; ++index) {
                engine_model engine;
                engine.traits = pool.engines;
                this->engines.back().push_back(engine);
                agent beside;
                beside.view = routing::make_engine_view({pool.name + "-" + std::to_string(index)});
                beside.queue.capacity = rules.queue_capacity;
                this->agents.back().push_back(std::move(beside));
            }
        }
        const world_view view{&this->engines, [this](std::size_t pool, std::size_t engine) {
                                  return this->true_wait(pool, engine);
                              }};
        this->chooser = make(recorded, view);
        this->result.policy = this->chooser.name;
        this->result.outcomes.resize(recorded.requests.size());
    }

    run_result run() {
        for (std::size_t number = 0; number < this->recorded->requests.size(); ++number) {
            this->at(start_time + this->recorded->requests[number].at,
                     [this, number] { this->arrive(number); });
        }
        for (const crash& item : this->recorded->crashes) {
            this->at(start_time + item.at, [this, item] { this->fail_engine(item); });
        }
        this->last = start_time + this->recorded->requests.back().at;
        this->beat();
        while (!this->events.empty()) {
            const auto next = this->events.top();
            this->events.pop();
            this->now = next.when;
            next.action();
        }
        return std::move(this->result);
    }

private:
    struct planned {
        base::instant when;
        std::int64_t order = 0;
        std::function<void()> action;
        bool operator<(const planned& other) const {
            return this->when != other.when ? this->when > other.when : this->order > other.order;
        }
    };

    void at(base::instant when, std::function<void()> action) {
        this->events.push({when, this->next_order++, std::move(action)});
    }
    void after(base::micros delay, std::function<void()> action) {
        this->at(this->now + delay, std::move(action));
    }

    const request& request_of(const flow& item) const {
        return this->recorded->requests[item.number];
    }

    // --- entries -------------------------------------------------------------------------------

    void arrive(std::size_t number) {
        auto made = std::make_shared<flow>();
        made->number = number;
        made->entry = number % this->recorded->entries; // the platform's balancer takes turns
        made->arrived = this->now;
        this->attempt(made);
    }

    void attempt(const flow_ptr& item) {
        const request& asked = this->request_of(*item);
        const question ask{item->entry, asked.pool,      &asked.chain,
                           item->tried, item->passed_on, this->now};
        const auto engine = this->chooser.choose(ask);
        if (!engine || static_cast<int>(item->tried.size()) >= this->rules.most_attempts) {
            this->refuse(*item, item->tried.empty() ? base::code::no_upstream
                                                    : this->last_refusal[item->number]);
            return;
        }
        item->engine = engine->engine;
        item->probe = engine->probe;
        item->basis = engine->basis;
        if (!item->probe) {
            item->tried.push_back(item->engine);
        }
        ++this->result.orders;
        ++this->result.outcomes[item->number].attempts;
        if (engine->note) {
            ++this->result.notes;
            this->after(this->rules.hop, [this, pool = asked.pool, note = *engine->note] {
                this->note_at_home(pool, note);
            });
        }
        this->after(this->rules.hop, [this, item] { this->reach_agent(item); });
    }

    void not_taken(const flow& item) {
        const request& asked = this->request_of(item);
        this->chooser.note_not_taken(
            {item.entry, asked.pool, &asked.chain, item.tried, item.passed_on, this->now},
            item.engine);
    }

    void refuse(flow& item, base::code number) {
        item.done = true;
        this->result.outcomes[item.number].refusal = number;
    }

    void try_elsewhere(const flow_ptr& item, base::code number, bool fault) {
        this->last_refusal[item->number] = number;
        this->not_taken(*item);
        if (item->probe) {
            item->passed_on = true;
            item->tried.push_back(item->engine);
        }
        if (fault) {
            const request& asked = this->request_of(*item);
            this->chooser.note_failure(
                {item->entry, asked.pool, &asked.chain, item->tried, item->passed_on, this->now},
                item->engine);
        }
        this->attempt(item);
    }

    void tell_load(std::size_t entry, std::size_t pool, std::size_t engine) {
        const agent& beside = this->agents[pool][engine];
        const load_news news{entry,
                             pool,
                             engine,
                             admission::predicted_wait(beside.queue, 0, this->engine_wait(beside)),
                             beside.view.prefill_us_per_token,
                             this->engines[pool][engine].incarnation,
                             this->now};
        this->after(this->rules.hop, [this, news] {
            load_news heard = news;
            heard.now = this->now;
            this->chooser.note_load(heard);
        });
    }

    void beat() {
        for (std::size_t pool = 0; pool < this->agents.size(); ++pool) {
            for (std::size_t engine = 0; engine < this->agents[pool].size(); ++engine) {
                if (!this->engines[pool][engine].up) {
                    continue;
                }
                for (std::size_t entry = 0; entry < this->recorded->entries; ++entry) {
                    this->tell_load(entry, pool, engine);
                }
            }
        }
        if (this->now < this->last) {
            this->after(this->rules.heartbeat, [this] { this->beat(); });
        }
    }

    // --- agents --------------------------------------------------------------------------------

    base::micros engine_wait(const agent& beside) const {
        base::micros wait{0};
        for (const auto& [number, until] : beside.prefilling) {
            wait = std::max(wait, until - this->now);
        }
        return wait;
    }

    void reach_agent(const flow_ptr& item) {
        const request& asked = this->request_of(*item);
        engine_model& engine = this->engines[asked.pool][item->engine];
        if (!engine.up) {
            this->after(this->rules.hop, [this, item] {
                this->try_elsewhere(item, base::code::upstream_unreachable, true);
            });
            return;
        }
        agent& beside = this->agents[asked.pool][item->engine];
        if (item->probe && this->pass_on(item, beside)) {
            return;
        }
        admission::queued_request order;
        order.attempt = {std::to_string(item->number)};
        order.team = asked.team;
        order.priority = asked.priority;
        const auto estimate = routing::estimate_work(beside.view, asked.chain, this->now);
        order.work = estimate.work;
        order.target = item->arrived + asked.target;
        order.deadline = item->arrived + request_timeout;
        const auto taken = admission::admit(beside.queue, order, this->engine_wait(beside),
                                            this->now, this->rules.admission);
        if (!taken.has_value()) {
            this->tell_load(item->entry, asked.pool, item->engine);
            const auto number = base::to_code(taken.error());
            this->after(this->rules.hop,
                        [this, item, number] { this->try_elsewhere(item, number, false); });
            return;
        }
        beside.waiting[order.attempt.value] = item;
        admission::push(beside.queue, order);
        item->agent_basis = estimate.basis;
        routing::record_accepted(beside.view, asked.chain, this->now);
        this->pump(asked.pool, item->engine);
    }

    // The home of a prompt's shared prefix may know better where it should run.
    bool pass_on(const flow_ptr& item, const agent& beside) {
        const request& asked = this->request_of(*item);
        const auto wait =
            admission::predicted_wait(beside.queue, asked.priority, this->engine_wait(beside));
        const auto answer = routing::evaluate_probe(beside.view, beside.notes, asked.chain, wait,
                                                    this->now, this->rules.probe);
        if (!answer.forward) {
            return false;
        }
        this->tell_load(item->entry, asked.pool, item->engine);
        this->after(this->rules.hop, [this, item, answer] {
            const request& passed = this->request_of(*item);
            item->passed_on = true;
            this->not_taken(*item);
            this->chooser.note_passed({item->entry, passed.pool,
                                       routing::shared_level(passed.chain)->key, answer.holders,
                                       this->now});
            this->attempt(item);
        });
        return true;
    }

    void note_at_home(std::size_t pool, const home_note& note) {
        const routing::holder seen{note.holder, 0, this->now};
        routing::add_holder(this->agents[pool][note.home].notes, note.level_key, seen);
    }

    void pump(std::size_t pool, std::size_t index) {
        engine_model& engine = this->engines[pool][index];
        agent& beside = this->agents[pool][index];
        // Orders wait here, where priorities and shares count, until the engine is about to be
        // free; what is in the engine can't be overtaken any more.
        while (engine.running < engine.traits.slots && engine.prefill_free <= this->now) {
            const auto next = admission::pop(beside.queue);
            if (!next) {
                return;
            }
            const flow_ptr item = beside.waiting.at(next->attempt.value);
            beside.waiting.erase(next->attempt.value);
            this->start(item, next->work);
        }
    }

    void start(const flow_ptr& item, base::micros work) {
        const request& asked = this->request_of(*item);
        engine_model& engine = this->engines[asked.pool][item->engine];
        agent& beside = this->agents[asked.pool][item->engine];
        const base::tokens cached = cached_tokens(engine, asked.chain);
        const base::tokens computed = asked.chain.back().length - cached;
        this->count_computed(*item, cached);
        const base::micros prefill = prefill_time(engine, computed);
        ++engine.running;
        engine.prefill_free = this->now + prefill;
        item->incarnation = engine.incarnation;
        beside.prefilling[item->number] = this->now + std::max(work, base::micros(1));
        beside.running[item->number] = item;
        const base::instant began = this->now;
        this->after(prefill,
                    [this, item, cached, began] { this->first_token(item, cached, began); });
    }

    // Tokens that were computed at some engine before count as computed again.
    void count_computed(const flow& item, base::tokens cached) {
        const request& asked = this->request_of(item);
        std::int64_t again = 0;
        std::int64_t below = 0;
        for (const auto& level : asked.chain) {
            const bool known = !this->computed_before.insert(level.key).second;
            if (known && level.length > cached) {
                again += level.length.value - std::max(below, cached.value);
            }
            below = level.length.value;
        }
        this->result.outcomes[item.number].recomputed_tokens += again;
        this->result.recomputed_tokens += again;
    }

    void first_token(const flow_ptr& item, base::tokens cached, base::instant began) {
        const request& asked = this->request_of(*item);
        engine_model& engine = this->engines[asked.pool][item->engine];
        if (item->done || engine.incarnation != item->incarnation || !engine.up) {
            return;
        }
        agent& beside = this->agents[asked.pool][item->engine];
        beside.prefilling.erase(item->number);
        store(engine, asked.chain);
        routing::record_served(beside.view, asked.chain, item->agent_basis, cached,
                               this->now - began, this->now);
        outcome& out = this->result.outcomes[item->number];
        out.prompt_tokens = asked.chain.back().length.value;
        out.cached_tokens = cached.value;
        if (out.first_token.count() == 0) {
            out.first_token = this->now + this->rules.hop - item->arrived;
        }
        this->pump(asked.pool, item->engine);
        this->after(asked.output_tokens * engine.traits.token_gap,
                    [this, item, cached] { this->finish(item, cached); });
    }

    void finish(const flow_ptr& item, base::tokens cached) {
        const request& asked = this->request_of(*item);
        engine_model& engine = this->engines[asked.pool][item->engine];
        if (item->done || engine.incarnation != item->incarnation || !engine.up) {
            return;
        }
        item->done = true;
        --engine.running;
        this->agents[asked.pool][item->engine].running.erase(item->number);
        this->result.outcomes[item->number].answered = true;
        this->tell_load(item->entry, asked.pool, item->engine);
        this->after(this->rules.hop, [this, item, cached] {
            const request& served = this->request_of(*item);
            this->chooser.note_served({item->entry, served.pool, item->engine, &served.chain,
                                       item->basis, cached, this->now});
        });
        this->pump(asked.pool, item->engine);
    }

    // --- faults --------------------------------------------------------------------------------

    void fail_engine(const crash& item) {
        engine_model& engine = this->engines[item.pool][item.engine];
        agent& beside = this->agents[item.pool][item.engine];
        engine.up = false;
        std::vector<flow_ptr> cut;
        for (const auto& [number, running] : beside.running) {
            cut.push_back(running);
        }
        for (const auto& order : beside.queue.requests) {
            cut.push_back(beside.waiting.at(order.attempt.value));
        }
        beside.queue.requests.clear();
        beside.waiting.clear();
        beside.running.clear();
        beside.prefilling.clear();
        for (const auto& lost : cut) {
            this->after(this->rules.hop, [this, lost] {
                this->try_elsewhere(lost, base::code::upstream_failed, true);
            });
        }
        this->after(item.back_after, [this, item] {
            engine_model& back = this->engines[item.pool][item.engine];
            come_back(back);
            routing::record_incarnation(this->agents[item.pool][item.engine].view, back.incarnation,
                                        this->now);
        });
    }

    base::micros true_wait(std::size_t pool, std::size_t index) const {
        const engine_model& engine = this->engines[pool][index];
        base::micros wait = std::max(base::micros(0), engine.prefill_free - this->now);
        for (const auto& order : this->agents[pool][index].queue.requests) {
            const auto& item = this->agents[pool][index].waiting.at(order.attempt.value);
            const auto& chain = this->request_of(*item).chain;
            wait += prefill_time(engine, chain.back().length - cached_tokens(engine, chain));
        }
        return wait;
    }

    const trace* recorded;
    run_rules rules;
    policy chooser;
    std::vector<std::vector<engine_model>> engines;
    std::vector<std::vector<agent>> agents;
    std::priority_queue<planned> events;
    std::int64_t next_order = 0;
    base::instant now = start_time;
    base::instant last;
    std::unordered_set<std::uint64_t> computed_before;
    std::map<std::size_t, base::code> last_refusal;
    run_result result;
};

} // namespace

run_result run(const trace& recorded, const policy_maker& make, const run_rules& rules) {
    return replayer(recorded, make, rules).run();
}

} // namespace camphorrail::replay
