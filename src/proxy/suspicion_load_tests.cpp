#include "base/random.h"
#include "proxy/stall_detection.h"
#include "proxy/suspicion_exchange.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace camphorrail;
using base::milliseconds;

namespace {

constexpr std::size_t entry_count = 31;
constexpr std::size_t upstream_count = 56;
constexpr std::size_t nobody = entry_count;
const base::instant start{base::seconds(1000)};
const base::instant silent_from = start + milliseconds(2500);
const base::instant silent_until = start + milliseconds(8700);

struct scenario {
    bool shared = true;
    std::size_t silent = 14;
    // The silent processes restart in the end.
    bool restarts = false;
    // Entries of an older build, which decide alone.
    std::size_t older_entries = 0;
    double lost_messages = 0.0;
    milliseconds transit{2};
    // An entry that dies when the upstreams go silent, one that reaches no upstream meanwhile, and
    // one that reports all upstreams all the time.
    std::size_t killed = nobody;
    std::size_t partitioned = nobody;
    std::size_t liar = nobody;
};

struct figures {
    int requests = 0;
    int served = 0;
    int sent_to_silent = 0;
    // Those sent more than 1.5 s after the silence began.
    int sent_late = 0;
    int ejections = 0;
    std::size_t most_excluded = 0;
    std::size_t wrongly_suspected = 0;
    // From the first entry that suspects an upstream to the last, the longest for any upstream.
    base::micros spread{0};
    // From the end of the silence until no entry suspects any upstream; negative if never.
    base::micros all_clear{-1};
};

std::size_t number_of(const base::upstream_id& id) {
    return std::stoul(id.value);
}

// Entries that share upstreams, on a virtual clock. Decisions are those of the daemons; requests,
// messages and upstreams are events. Silent upstreams take connections.
class simulation {
public:
    explicit simulation(const scenario& given) : given(given) {
        this->routes[0].target = milliseconds(500);
        this->routes[1].target = milliseconds(2000);
        for (std::size_t each = 0; each < entry_count; ++each) {
            this->ids.push_back({"entry-" + std::to_string(each)});
        }
        this->list_upstreams(1);
    }

    figures run() {
        for (milliseconds at{0}; at < milliseconds(12000); at += milliseconds(1)) {
            this->events.emplace(start + at, [this] { this->arrive(); });
        }
        for (milliseconds at{0}; at < milliseconds(12000); at += milliseconds(100)) {
            this->events.emplace(start + at, [this] { this->tick(); });
        }
        if (this->given.restarts) {
            this->events.emplace(silent_until, [this] { this->list_upstreams(2); });
        }
        while (!this->events.empty()) {
            const auto next = this->events.extract(this->events.begin());
            this->now = next.key();
            next.mapped()();
        }
        return this->result;
    }

private:
    struct entry {
        fleet::fleet fleet;
        outliers::outlier_state state;
        bool update_scheduled = false;
        // The turns in which the entry has probed.
        std::map<base::upstream_id, std::int64_t> probed;
    };
    struct attempt {
        std::size_t from = 0;
        base::upstream_id to;
        const routes::route* route = nullptr;
        base::instant sent_at{};
        int number = 1;
        bool ended = false;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    void list_upstreams(std::int64_t incarnation) {
        std::vector<ports::listed_upstream> all(upstream_count);
        for (std::size_t each = 0; each < upstream_count; ++each) {
            all[each].id = {std::to_string(each)};
            all[each].pool = {"pool"};
            all[each].incarnation = {each < this->given.silent ? incarnation : 1};
            all[each].slots = 32;
        }
        for (auto& each : this->entries) {
            fleet::apply_list(each.fleet, all, this->now);
        }
    }
    void after(base::micros span, std::function<void()> what) {
        this->events.emplace(this->now + span, std::move(what));
    }
    [[nodiscard]] bool in_silence() const {
        return this->now >= silent_from && this->now < silent_until;
    }
    [[nodiscard]] bool is_dead(std::size_t from) const {
        return from == this->given.killed && this->now >= silent_from;
    }
    [[nodiscard]] bool is_cut(const attempt& sent) const {
        return this->in_silence() && sent.from == this->given.partitioned;
    }
    [[nodiscard]] bool is_silent(const base::upstream_id& upstream) const {
        return this->in_silence() && number_of(upstream) < this->given.silent;
    }
    [[nodiscard]] bool shares(std::size_t at) const {
        return this->given.shared && at >= this->given.older_entries && !this->is_dead(at);
    }
    fleet::member& member(std::size_t at, const base::upstream_id& upstream) {
        return this->entries[at].fleet.members.at(upstream);
    }

    void broadcast(std::size_t from, const std::function<void(std::size_t)>& deliver) {
        for (std::size_t to = 0; to < entry_count; ++to) {
            if (to != from && base::random_unit(this->random) >= this->given.lost_messages) {
                this->after(this->given.transit, [to, deliver] { deliver(to); });
            }
        }
    }

    void arrive() {
        const std::size_t from = base::random_below(this->random, entry_count);
        const auto& route = this->routes[base::random_unit(this->random) < 0.35 ? 0 : 1];
        if (!this->is_dead(from)) {
            ++this->result.requests;
            this->send(from, route, 1, {});
        }
    }

    void send(std::size_t from, const routes::route& route, int number,
              const std::vector<base::upstream_id>& tried) {
        auto& state = this->entries[from].fleet;
        auto available = fleet::candidates(state, {"pool"}, this->now, this->rules, tried);
        for (auto& [id, one] : state.members) {
            if (number == 1 && fleet::awaits_probe(one, this->now)) {
                available = {&one};
            }
        }
        auto* chosen = fleet::least_loaded(available, {}, ++this->draws, this->now, this->rules);
        chosen->probe_until = {};
        fleet::add_request(chosen->local_work, {});
        const auto sent =
            std::make_shared<attempt>(attempt{from, chosen->listed.id, &route, this->now, number});
        this->waiting.push_back(sent);
        if (this->is_silent(sent->to)) {
            ++this->result.sent_to_silent;
            this->result.sent_late += this->now - silent_from > milliseconds(1500) ? 1 : 0;
        }
        this->after(milliseconds(200), [this, sent] { this->respond(sent); });
        this->check_in(sent, proxy::first_check_delay(route, false));
    }

    void respond(const attempt_ptr& sent) {
        if (sent->ended) {
            return;
        }
        if (this->is_silent(sent->to) || this->is_cut(*sent)) {
            this->after(milliseconds(20), [this, sent] { this->respond(sent); });
            return;
        }
        auto& upstream = this->member(sent->from, sent->to);
        this->last_byte[sent->to] = upstream.last_byte_at = this->now;
        membership::record_success(upstream.health);
        const auto instance = fleet::instance_of(upstream);
        if (this->record_byte(sent->from, instance, this->now)) {
            this->broadcast(sent->from, [this, instance, heard = this->now](std::size_t to) {
                this->record_byte(to, instance, heard);
            });
        }
        ++this->result.served;
        this->end(sent);
    }

    bool record_byte(std::size_t at, const base::upstream_instance& upstream, base::instant heard) {
        auto& entry = this->entries[at];
        if (outliers::record_byte(entry.state, upstream, heard).empty()) {
            return false;
        }
        fleet::end_suspicion(entry.fleet.members.at(upstream.id), this->now);
        return true;
    }

    void end(const attempt_ptr& sent) {
        sent->ended = true;
        fleet::remove_request(this->member(sent->from, sent->to).local_work, {}, false);
    }

    void move(const attempt_ptr& sent) {
        this->end(sent);
        this->send(sent->from, *sent->route, sent->number + 1, {sent->to});
    }

    void check_in(const attempt_ptr& sent, base::micros span) {
        this->after(span, [this, sent, due = this->now + span] { this->check(sent, due); });
    }

    void check(const attempt_ptr& sent, base::instant due) {
        if (sent->ended || this->is_dead(sent->from)) {
            return;
        }
        auto& upstream = this->member(sent->from, sent->to);
        const proxy::stall_view view{this->now, due, std::max(upstream.last_byte_at, sent->sent_at),
                                     sent->sent_at, false};
        const auto verdict = proxy::detect_stall(view, *sent->route);
        // Connections of an entry that is cut off fail, whatever others hear from the upstream.
        if (verdict == proxy::stall::upstream_unresponsive || this->is_cut(*sent)) {
            this->record_failure(sent->from, upstream);
        }
        if (verdict == proxy::stall::none || sent->number > 1) {
            this->check_in(sent, proxy::next_check_delay(view, *sent->route));
        } else {
            this->move(sent);
        }
    }

    void record_failure(std::size_t from, fleet::member& upstream) {
        const bool was_usable = membership::is_usable(upstream.health, this->now);
        membership::record_failure(upstream.health, this->now, this->rules.health);
        const bool ejected = was_usable && !membership::is_usable(upstream.health, this->now);
        this->result.ejections += ejected ? 1 : 0;
        if (ejected || this->shares(from)) {
            this->report(from, upstream, ejected ? upstream.health.ejected_until : this->now);
        }
    }

    void report(std::size_t from, const fleet::member& about, base::instant until) {
        const auto upstream = fleet::instance_of(about);
        this->receive(from, from, upstream, this->now);
        this->broadcast(from, [this, from, upstream, until, written = this->now](std::size_t to) {
            auto& one = this->member(to, upstream.id);
            one.suspected_until = std::max<base::instant>(one.suspected_until, until);
            this->receive(to, from, upstream, written);
        });
    }

    void receive(std::size_t at, std::size_t from, const base::upstream_instance& upstream,
                 base::instant written) {
        auto& entry = this->entries[at];
        if (!this->shares(at)) {
            return;
        }
        outliers::record_report(entry.state, upstream, this->ids[from], written, {});
        if (!std::exchange(entry.update_scheduled, true)) {
            this->after(milliseconds(10), [this, at] { this->update(at); });
        }
    }

    void update(std::size_t at) {
        auto& entry = this->entries[at];
        entry.update_scheduled = false;
        outliers::surroundings known{this->now, this->ids, entry_count - 1, {}};
        for (const auto& [id, one] : entry.fleet.members) {
            known.upstreams.push_back({fleet::instance_of(one), one.listed.pool, one.last_byte_at});
        }
        const auto changes = outliers::update(entry.state, known, {});
        proxy::apply_suspicions(entry.fleet, entry.state);
        std::size_t excluded = 0;
        for (const auto& [id, suspicion] : entry.state.suspicions) {
            excluded += suspicion.is_excluded ? 1 : 0;
        }
        this->result.most_excluded = std::max(this->result.most_excluded, excluded);
        for (const auto& change : changes) {
            if (change.why == outliers::cause::quorum) {
                this->begin(at, change.upstream.id);
            }
        }
    }

    void begin(std::size_t at, const base::upstream_id& upstream) {
        this->result.wrongly_suspected += number_of(upstream) < this->given.silent ? 0 : 1;
        const auto first = this->first_suspected.emplace(upstream, this->now).first->second;
        this->result.spread = std::max(this->result.spread, this->now - first);
        if (this->member(at, upstream).common != fleet::common_suspicion::excluded) {
            return;
        }
        const auto in_flight = this->waiting;
        for (const auto& each : in_flight) {
            if (!each->ended && each->from == at && each->to == upstream && each->number == 1) {
                this->move(each);
            }
        }
    }

    void tick() {
        std::erase_if(this->waiting, [](const auto& each) { return each->ended; });
        bool any_suspected = false;
        for (std::size_t at = 0; at < entry_count; ++at) {
            // Loads that the entries report to each other.
            for (auto& [id, one] : this->entries[at].fleet.members) {
                one.last_byte_at = std::max<base::instant>(one.last_byte_at, this->last_byte[id]);
                if (at == this->given.liar) {
                    this->report(at, one, this->now + base::seconds(1));
                }
            }
            if (this->shares(at)) {
                this->update(at);
                this->probe(at);
                any_suspected = any_suspected || !this->entries[at].state.suspicions.empty();
            }
        }
        if (this->now >= silent_until && !any_suspected && this->result.all_clear.count() < 0) {
            this->result.all_clear = this->now - silent_until;
        }
    }

    void probe(std::size_t at) {
        const outliers::outlier_rules outlier_rules;
        for (const auto& [id, suspicion] : this->entries[at].state.suspicions) {
            const auto turn = outliers::probe_turn(suspicion, this->now, outlier_rules);
            auto& next_turn = this->entries[at].probed[id];
            if (outliers::prober(id, turn, this->ids) == this->ids[at] && turn >= next_turn) {
                next_turn = turn + 1;
                this->member(at, id).probe_until =
                    suspicion.since + next_turn * outlier_rules.probe_turn;
            }
        }
    }

    scenario given;
    fleet::fleet_rules rules = proxy::fleet_rules_of({});
    std::array<routes::route, 2> routes;
    base::instant now = start;
    base::random_source random{7};
    std::uint64_t draws = 0;
    std::multimap<base::instant, std::function<void()>> events;
    std::array<entry, entry_count> entries;
    std::vector<base::entry_id> ids;
    std::vector<attempt_ptr> waiting;
    std::map<base::upstream_id, base::instant> last_byte;
    std::map<base::upstream_id, base::instant> first_suspected;
    figures result;
};

figures simulate(const scenario& given, const std::string& name) {
    const auto result = simulation(given).run();
    UNSCOPED_INFO(name << ": sent to silent " << result.sent_to_silent << " late "
                       << result.sent_late << " ejections " << result.ejections << " spread "
                       << result.spread.count() << " us, clear " << result.all_clear.count()
                       << " us, excluded " << result.most_excluded << " wrongly "
                       << result.wrongly_suspected);
    return result;
}

} // namespace

// Guards against every entry trying silent upstreams on its own.
TEST_CASE("a quarter of the upstreams goes silent under load", "[proxy][outliers][load]") {
    const auto alone = simulate({.shared = false}, "alone");
    const auto shared = simulate({}, "shared");
    CHECK(shared.served == shared.requests);
    CHECK(shared.sent_to_silent < alone.sent_to_silent * 2 / 3);
    CHECK(shared.sent_late < alone.sent_late / 2);
    CHECK(shared.ejections < alone.ejections / 2);
    CHECK(shared.most_excluded == 14);
    CHECK(shared.spread < milliseconds(100));
}

// Guards against a failure of an entry, a link or a message, while upstreams are silent, that
// excludes healthy upstreams, or keeps suspicions after the upstreams have recovered.
TEST_CASE("shared suspicions survive one failure at a time", "[proxy][outliers][load]") {
    const auto [name, given] = GENERATE(table<std::string, scenario>(
        {{"no failure", {}},
         {"an entry is killed", {.killed = 5}},
         {"an entry is partitioned", {.partitioned = 5}},
         {"an entry is partitioned and no upstream is silent", {.silent = 0, .partitioned = 5}},
         {"messages are lost", {.lost_messages = 0.3}},
         {"messages are late", {.transit = milliseconds(500)}},
         {"half of the entries are older", {.older_entries = 15}},
         {"an entry lies", {.liar = 5}},
         {"an entry lies and no upstream is silent", {.silent = 0, .liar = 5}},
         {"the upstreams restart", {.restarts = true}}}));
    const auto alone = simulate({.shared = false}, "alone");
    const auto result = simulate(given, name);
    CHECK(result.served == result.requests);
    CHECK(result.wrongly_suspected == 0);
    CHECK(result.sent_late < alone.sent_late);
    CHECK(result.all_clear >= base::micros(0));
    CHECK(result.all_clear <= milliseconds(1000));
}

// Guards against the exclusion of most of a pool for a fault on the entries' side.
TEST_CASE("a cut to most of a pool excludes half of it", "[proxy][outliers][load]") {
    const auto alone = simulate({.shared = false, .silent = 40}, "alone");
    const auto result = simulate({.silent = 40}, "shared");
    CHECK(result.most_excluded == upstream_count / 2);
    CHECK(result.served == result.requests);
    CHECK(result.sent_to_silent < alone.sent_to_silent);
    CHECK(result.all_clear <= milliseconds(1000));
}
