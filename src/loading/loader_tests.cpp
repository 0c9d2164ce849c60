#include "base/random.h"
#include "loading/loader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

using namespace camphorrail;
using base::milliseconds;
using base::seconds;

namespace {

constexpr int engines = 12;
constexpr std::int64_t wall_start = 1700000000000;

// Simulates twelve engines that need new weights at once, on a virtual clock. The platform loses
// responses, applies writes late and has outages; agents freeze and restart.
class loading_simulation {
public:
    loading_simulation(std::uint64_t seed, bool ignore_expectations, bool ignore_begin)
        : random{seed}, ignore_expectations(ignore_expectations) {
        // The check of the start delay matters only if an agent freezes between the write of the
        // slot and its response.
        this->freeze_percent = ignore_begin ? 8 : 1;
        for (int number = 0; number < engines; ++number) {
            this->start_agent(number);
            if (ignore_begin) {
                this->agents[number].loader.rules.max_start_delay = seconds(100000);
            }
            this->tick(number);
        }
    }

    int max_concurrent_loads() {
        while (!this->events.empty() && this->events.top().at < base::instant{seconds(600)}) {
            const auto next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return this->max_running;
    }
    int loaded() const {
        return static_cast<int>(
            std::count_if(this->agents.begin(), this->agents.end(),
                          [](const auto& item) { return item.second.weights == "w2"; }));
    }

private:
    struct scheduled_event {
        base::instant at;
        int order = 0;
        std::function<void()> action;
        bool operator<(const scheduled_event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };
    struct agent {
        loading::loader loader;
        std::string weights = "w1";
        base::instant frozen_until{};
        int incarnation = 0;
    };

    void after(base::micros delay, std::function<void()> action) {
        this->events.push({this->now + delay, this->order++, std::move(action)});
    }
    base::micros between(base::micros low, base::micros high) {
        return low + base::micros(static_cast<std::int64_t>(base::random_below(
                         this->random, static_cast<std::uint64_t>((high - low).count()))));
    }
    bool chance(int percent) {
        return base::random_below(this->random, 100) < static_cast<unsigned>(percent);
    }
    loading::event_time event_time() const {
        return {this->now, wall_start + this->now.time_since_epoch().count() / 1000};
    }

    void start_agent(int number) {
        agent& at = this->agents[number];
        auto rules = at.loader.rules;
        if (at.incarnation == 0) {
            rules.max_load_time = seconds(40);
            rules.max_start_delay = seconds(5);
            rules.max_clock_skew = milliseconds(100);
        }
        ++at.incarnation;
        at.loader = {};
        at.loader.rules = rules;
        at.loader.self = {std::to_string(number)};
        at.loader.nonce = std::to_string(number) + "#" + std::to_string(at.incarnation);
    }

    void deliver(int number, int incarnation, std::function<void()> action) {
        agent& at = this->agents[number];
        if (at.incarnation != incarnation) {
            return;
        }
        if (this->now < at.frozen_until) {
            this->after(at.frozen_until - this->now +
                            this->between(base::micros(1), milliseconds(1)),
                        [this, number, incarnation, action] {
                            this->deliver(number, incarnation, action);
                        });
            return;
        }
        action();
    }

    void tick(int number) {
        this->after(milliseconds(500), [this, number] {
            agent& at = this->agents[number];
            if (this->chance(this->freeze_percent)) {
                at.frozen_until = this->now + this->between(seconds(1), seconds(60));
            }
            if (this->chance(1)) {
                this->start_agent(number);
            }
            if (number == 0 && this->chance(2)) {
                this->outage_until = this->now + this->between(seconds(1), seconds(20));
            }
            this->deliver(number, at.incarnation, [this, number] {
                agent& up = this->agents[number];
                this->carry_out(
                    number, loading::on_weights(up.loader, "w2", up.weights, this->event_time()));
            });
            this->tick(number);
        });
    }

    void carry_out(int number, const loading::actions& todo) {
        for (const auto& action : todo) {
            if (const auto* read = std::get_if<loading::read_action>(&action)) {
                this->call<ports::snapshot>(
                    number, [this] { return this->read_all(); },
                    [this, number](const base::result<ports::snapshot>& got) {
                        this->carry_out(number, loading::on_read(this->agents[number].loader, got,
                                                                 this->event_time()));
                    });
                (void)read;
            } else if (const auto* commit = std::get_if<loading::commit_action>(&action)) {
                this->call<ports::commit_result>(
                    number, [this, change = commit->change] { return this->apply(change); },
                    [this, number](const base::result<ports::commit_result>& got) {
                        this->carry_out(number, loading::on_committed(this->agents[number].loader,
                                                                      got, this->event_time()));
                    });
            } else {
                this->load(number);
            }
        }
    }

    // The engine continues to load even if its agent fails, and ignores further orders meanwhile.
    void load(int number) {
        if (!this->busy.insert(number).second) {
            return;
        }
        this->max_running = std::max(this->max_running, ++this->running);
        this->after(this->between(seconds(5), seconds(34)), [this, number] {
            --this->running;
            this->busy.erase(number);
            this->agents[number].weights = "w2";
        });
    }

    template <class Answer>
    void call(int number, std::function<Answer()> effect,
              std::function<void(const base::result<Answer>&)> done) {
        const int incarnation = this->agents[number].incarnation;
        const bool lost = this->chance(10);
        const base::micros write_delay =
            this->chance(10) ? this->between(seconds(1), seconds(20)) : milliseconds(5);
        auto answer = std::make_shared<base::result<Answer>>(base::code::platform_unreachable);
        this->after(write_delay, [this, effect, answer] {
            if (this->now >= this->outage_until) {
                *answer = effect();
            }
        });
        this->after(lost ? milliseconds(400) : write_delay + milliseconds(5), [=, this] {
            this->deliver(number, incarnation, [done, answer, lost] {
                done(lost ? base::result<Answer>(base::code::platform_unreachable) : *answer);
            });
        });
    }

    ports::snapshot read_all() const {
        ports::snapshot answer{this->revision, {}};
        for (const auto& [key, value] : this->store) {
            answer.values.push_back(value);
        }
        return answer;
    }

    ports::commit_result apply(const ports::transaction& change) {
        for (const auto& expected : change.preconditions) {
            const auto found = this->store.find(expected.key);
            const auto present = found == this->store.end() ? 0 : found->second.mod_revision;
            if (present != expected.mod_revision && !this->ignore_expectations) {
                return {false, this->revision};
            }
        }
        ++this->revision;
        for (const auto& item : change.writes) {
            if (item.erase) {
                this->store.erase(item.key);
            } else {
                this->store[item.key] = {item.key, item.value, this->revision};
            }
        }
        return {true, this->revision};
    }

    base::random_source random;
    bool ignore_expectations;
    base::instant now{seconds(1)};
    int order = 0;
    std::priority_queue<scheduled_event> events;
    std::map<int, agent> agents;
    std::map<std::string, ports::stored_value> store;
    std::int64_t revision = 1;
    base::instant outage_until{};
    std::set<int> busy;
    int running = 0;
    int freeze_percent = 1;
    int max_running = 0;
};

int max_concurrent_loads_over(int schedules, bool ignore_expectations, bool ignore_begin) {
    int max_running = 0;
    for (int seed = 1; seed <= schedules; ++seed) {
        max_running = std::max(max_running, loading_simulation(static_cast<std::uint64_t>(seed),
                                                               ignore_expectations, ignore_begin)
                                                .max_concurrent_loads());
    }
    return max_running;
}

} // namespace

// Operators set new weights for a model, and all of its agents see the change at the same moment,
// as they do when a fleet restarts. If all engines loaded at once, each load would take many times
// as long, and the model would be unavailable meanwhile.
TEST_CASE("at most three engines load at once", "[loading][schedule]") {
    SECTION("during outages, lost and late writes, freezes and restarts") {
        CHECK(max_concurrent_loads_over(300, false, false) == 3);
    }

    SECTION("all engines finish loading eventually") {
        loading_simulation calm(1, false, false);
        calm.max_concurrent_loads();
        CHECK(calm.loaded() == engines);
    }

    SECTION("the limit is exceeded if slots are acquired without compare-and-swap") {
        CHECK(max_concurrent_loads_over(300, true, false) > 3);
    }

    SECTION("the limit is exceeded if a paused agent starts to load on an outdated slot") {
        CHECK(max_concurrent_loads_over(300, false, true) > 3);
    }
}
