#include "soak/soak.h"

#include "own_address.h"
#include "soak/checker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace camphorrail::soak {

namespace {

using base::milliseconds;
using nlohmann::json;

constexpr milliseconds start_time{3000};
// All bounds of the entries' settings are over by then, and a process that was stopped late is
// back.
constexpr milliseconds settle_time{12000};
constexpr milliseconds calm_time{3000};
constexpr milliseconds last_answers{5000};
constexpr milliseconds look_period{20};
constexpr milliseconds restart_pause{300};
// After SIGTERM, as the platform does.
constexpr milliseconds grace{8000};
constexpr milliseconds unlisted_after{1500};
// An engine that crashed under a fatal request, or has left, is back after this long.
constexpr milliseconds engine_absence{1500};
constexpr milliseconds first_loss{1500};
constexpr milliseconds second_loss{5500};
// Enough of them to ask for several times their quota.
constexpr int limited_callers = 3;
constexpr milliseconds drain{3000};
constexpr milliseconds reload_time{1000};
constexpr milliseconds link_delay{120};
constexpr milliseconds slow_store{250};
constexpr milliseconds named_after{120};
// Until all entries that stood still or ended are in touch, and longer than old weights may serve.
constexpr milliseconds orders_refused{6500};
// From the naming on; engines have the newest weights by then, and the calls that waited have
// ended.
constexpr milliseconds naming_time{18000};
constexpr int plain_services = 2;
constexpr std::size_t most_removed = 3;
constexpr int status_busy = 503;

json route_of(call_kind kind, const char* wire_kind, int attempts, bool resumable,
              const char* pool) {
    return {{"name", path_of(kind)},   {"host", "desk.example"},
            {"prefix", path_of(kind)}, {"kind", wire_kind},
            {"timeoutMs", 3000},       {"targetLatencyMs", 300},
            {"gapTargetMs", 250},      {"attempts", attempts},
            {"resumable", resumable},  {"sticky", std::string_view(pool) == "pool"},
            {"service", pool}};
}

// When all is sound again and has had time to settle, from the start of the run.
milliseconds settled_at(const std::vector<planned_fault>& plan, const plan_size& size) {
    milliseconds settled = size.length + settle_time;
    for (const auto& fault : plan) {
        if (fault.kind == fault_kind::weights_named_in_pause) {
            settled = fault.at + naming_time;
        }
    }
    return start_time + settled;
}

} // namespace

soak::soak(soak_options options)
    : options(std::move(options)), store(this->loop),
      calling(this->loop, this->seen, this->options.seed ^ 0x5eedULL, "call"),
      limited(this->loop, this->seen, this->options.seed ^ 0x11317ULL, "limited") {
    this->set_up_store();
    this->set_up_back_ends();
    this->write_config();
    this->store.save_copy();
    this->set_up_entries();
}

void soak::after(milliseconds delay, std::function<void()> action) {
    this->loop.after(delay, std::move(action));
}

void soak::set_up_store() {
    this->store_server = std::make_unique<adapters::http_server>(
        this->loop.base(), adapters::http_limits{64 << 10, 64 << 20, 600},
        [this](const adapters::exchange_ptr& exchange) {
            switch (this->store_fault) {
            case fault_kind::store_busy:
                exchange->reply(status_busy,
                                {{"Store-Era", std::to_string(this->store.current_era())}}, "");
                break;
            case fault_kind::store_silent:
                this->held_by_store.push_back(exchange);
                break;
            case fault_kind::store_slow:
                this->after(slow_store, [this, exchange] { this->store.handle(exchange); });
                break;
            case fault_kind::store_loses:
                this->store.handle(exchange, true);
                break;
            default:
                this->store.handle(exchange);
            }
        });
    do {
        this->store_address = tests::own_address(free_port());
    } while (!this->store_server->listen(this->store_address));
}

void soak::set_up_back_ends() {
    const auto add = [this](const std::string& pool, int number) {
        back_end one;
        one.pool = pool;
        one.runs = std::make_unique<engine>(this->loop, this->seen, pool, number);
        one.runs->start();
        one.before = std::make_unique<relay>(this->loop.base(), one.runs->address());
        this->back_ends.push_back(std::move(one));
    };
    for (int each = 0; each < this->options.size.engines; ++each) {
        add("pool", each);
    }
    for (int each = 0; each < plain_services; ++each) {
        add("app", each);
    }
    for (auto& one : this->back_ends) {
        one.runs->changed = [this, &one] { this->list(one); };
        one.runs->crashes = [this, &one] { this->restart_engine(one, engine_absence); };
        this->list(one);
        this->begin_serving(one);
    }
    this->calling.resume_streams(this->options.size.releases);
}

void soak::begin_serving(back_end& one) {
    if (one.pool == "pool") {
        one.serving = this->seen.serving.size();
        this->seen.serving.push_back({one.runs->software(), adapters::boot_now()});
    }
}

void soak::end_serving(back_end& one) {
    if (one.serving) {
        this->seen.serving.at(*one.serving).until = adapters::boot_now();
        one.serving.reset();
    }
}

void soak::set_up_entries() {
    std::vector<std::string> addresses;
    for (int each = 0; each < this->options.size.entries; ++each) {
        entry one;
        one.to_store = std::make_unique<relay>(this->loop.base(), this->store_address);
        one.process = std::make_unique<entry_process>(
            entry_place{"entry-" + std::to_string(each), this->options.directory,
                        this->options.program, one.to_store->address(), free_port(), free_port(),
                        free_port(), free_port(), promised{}.outdated_weights});
        one.process->start();
        addresses.push_back(one.process->address());
        this->entries.push_back(std::move(one));
    }
    this->calling.set_keys(this->keys);
    this->limited.set_keys({"limited"});
    this->after(start_time, [this, addresses] {
        this->calling.start(addresses, this->options.callers);
        this->limited.start(addresses, limited_callers);
    });
}

void soak::when_store_answers(const std::function<void()>& action) {
    if (this->store.is_away()) {
        this->waiting_for_store.push_back(action);
    } else {
        action();
    }
}

void soak::put(const std::string& key, const std::string& value) {
    this->documents[key] = value;
    this->erased.erase(key);
    this->when_store_answers([this, key, value] { this->store.put(key, value); });
}

void soak::erase(const std::string& key) {
    this->documents.erase(key);
    this->erased.insert(key);
    this->when_store_answers([this, key] { this->store.erase(key); });
}

void soak::list(back_end& one) {
    const json entry{{"service", one.pool},
                     {"address", one.before->address()},
                     {"zone", "a"},
                     {"version", one.runs->software()},
                     {"slots", 32},
                     {"state", one.draining ? "draining" : "ready"},
                     {"coldLeftMs", 0},
                     {"seq", ++one.heartbeats},
                     {"models", {{{"name", "m0"}, {"version", one.runs->weights()}}}}};
    this->put("servers/" + one.runs->instance(), entry.dump());
    if (one.draining) {
        this->note_leaving(one.runs->instance());
    }
}

void soak::note_leaving(const std::string& instance) {
    this->when_store_answers([this, instance] {
        this->seen.leaving.push_back({instance, adapters::boot_now()});
    });
}

void soak::write_config() {
    json teams = json::array();
    for (const auto& key : this->keys) {
        const bool removed =
            std::count(this->removed_keys.begin(), this->removed_keys.end(), key) > 0;
        const json held = removed ? json::array() : json::array({key});
        teams.push_back({{"name", "team-of-" + key}, {"keys", held}});
    }
    const promised promises;
    teams.push_back({{"name", promises.quota_team},
                     {"keys", {"limited"}},
                     {"unit", "requests"},
                     {"ratePerS", promises.quota_rate_per_s},
                     {"burst", promises.quota_burst}});
    const json config{{"version", ++this->config_version},
                      {"routes",
                       {route_of(call_kind::once, "unsafe", 1, false, "app"),
                        route_of(call_kind::safe, "safe", 2, false, "app"),
                        route_of(call_kind::stream, "stream", 1, false, "pool"),
                        route_of(call_kind::resumable_stream, "stream", 2, true, "pool")}},
                      {"services", {{{"name", "app"}}, {{"name", "pool"}}}},
                      {"limits", json::object()},
                      {"tenants", teams}};
    this->put("op/config", config.dump());
}

history soak::play() {
    const auto plan = make_plan(this->options.seed, this->options.size);
    for (const auto& fault : plan) {
        this->after(start_time + fault.at, [this, fault] { this->strike(fault); });
    }
    this->after(start_time + this->options.size.length, [this] { this->heal(); });
    const auto settled = settled_at(plan, this->options.size);
    this->after(settled, [this] { this->seen.settled_at = adapters::boot_now(); });
    this->after(settled + calm_time, [this] {
        this->calling.stop();
        this->limited.stop();
    });
    this->after(settled + calm_time + last_answers, [this] { this->loop.stop(); });
    this->loop.every(look_period, [this] { this->look_at_processes(); });
    this->loop.run();
    return std::move(this->seen);
}

void soak::note(const planned_fault& fault, int entry) {
    const base::instant now = adapters::boot_now();
    this->seen.faults.push_back({name_of(fault.kind), entry, now, now + fault.span, false});
}

void soak::strike(const planned_fault& fault) {
    switch (fault.kind) {
    case fault_kind::kill:
    case fault_kind::stop:
    case fault_kind::pause:
    case fault_kind::reload:
    case fault_kind::silence_store_link:
    case fault_kind::cut_store_link:
        this->strike_entry(fault, this->entries.at(static_cast<std::size_t>(fault.target)));
        return;
    case fault_kind::store_busy:
    case fault_kind::store_silent:
    case fault_kind::store_slow:
    case fault_kind::store_loses:
        this->strike_store(fault);
        return;
    case fault_kind::store_saves_copy:
        if (!this->store.is_away()) {
            this->store.save_copy();
        }
        return;
    case fault_kind::store_returns_from_copy:
        this->return_store(fault);
        return;
    case fault_kind::remove_key:
        this->remove_key();
        return;
    case fault_kind::change_config:
        this->write_config();
        return;
    case fault_kind::fatal_requests:
        this->note(fault);
        this->calling.send_fatal_until(adapters::boot_now() + fault.span, fault.target > 0);
        return;
    case fault_kind::engines_lost_together:
        this->note(fault);
        this->calling.send_popular();
        this->after(first_loss, [this] { this->lose_engines_together(); });
        this->after(second_loss, [this] { this->lose_engines_together(); });
        return;
    case fault_kind::name_weights:
        this->name_weights();
        return;
    case fault_kind::weights_named_in_pause:
        this->name_weights_in_pause(fault);
        return;
    default:
        this->strike_engine(fault, this->back_ends.at(static_cast<std::size_t>(fault.target)));
    }
}

int soak::number_of(const entry& one) const {
    return static_cast<int>(&one - this->entries.data());
}

void soak::strike_entry(const planned_fault& fault, entry& one) {
    if (!one.process->running()) {
        return;
    }
    const base::instant now = adapters::boot_now();
    switch (fault.kind) {
    case fault_kind::kill:
        this->note(fault, this->number_of(one));
        one.end_expected = true;
        one.process->signal(SIGKILL);
        break;
    case fault_kind::stop:
        if (one.end_expected) {
            break;
        }
        one.end_expected = true;
        one.stop_span = this->seen.faults.size();
        this->seen.faults.push_back({"stop", this->number_of(one), now, now + grace, true});
        one.process->signal(SIGTERM);
        this->after(grace, [&one, of_stop = *one.stop_span] {
            if (one.stop_span == of_stop) {
                one.process->signal(SIGKILL);
            }
        });
        break;
    case fault_kind::pause:
        this->note(fault, this->number_of(one));
        one.process->signal(SIGSTOP);
        this->after(fault.span, [&one] { one.process->signal(SIGCONT); });
        break;
    case fault_kind::reload:
        this->seen.faults.push_back({"reload", this->number_of(one), now, now + reload_time, true});
        one.process->signal(SIGHUP);
        break;
    case fault_kind::silence_store_link:
        this->note(fault);
        one.to_store->silence_all();
        break;
    default:
        this->note(fault);
        one.to_store->set_mode(relay_mode::cut);
        this->after(fault.span, [&one] { one.to_store->set_mode(relay_mode::pass); });
    }
}

void soak::strike_store(const planned_fault& fault) {
    this->note(fault);
    this->store_fault = fault.kind;
    this->after(fault.span, [this] {
        this->store_fault = fault_kind::kill;
        this->held_by_store.clear();
    });
}

void soak::return_store(const planned_fault& fault) {
    if (this->store.is_away()) {
        return;
    }
    this->note(fault);
    this->store.go_away();
    this->after(fault.span, [this, fault] {
        this->store.return_from_copy(fault.target > 0 ? standins::open_watches::left_unanswered
                                                      : standins::open_watches::cut);
        for (const auto& each : std::exchange(this->waiting_for_store, {})) {
            each();
        }
        this->after(fault.operators_after, [this] { this->write_again(true); });
        this->after(fault.engines_after, [this] { this->write_again(false); });
        this->after(unlisted_after, [this] { this->erase_again(); });
    });
}

// Not while the store is away: after its return all is written again anyway.
void soak::write_again(bool of_operators) {
    for (const auto& [key, value] : this->documents) {
        const bool lost = this->store.value_of(key) != value;
        if (lost && !this->store.is_away() && key.starts_with("op/") == of_operators) {
            this->store.put(key, value);
        }
    }
}

// Engines that have ended are in the copy, and their leases run out once more.
void soak::erase_again() {
    for (const auto& key : this->erased) {
        this->when_store_answers([this, key] { this->store.erase(key); });
    }
}

void soak::restart_engine(back_end& one, milliseconds away) {
    if (!one.up) {
        return;
    }
    one.up = false;
    this->end_serving(one);
    const std::string gone = one.runs->instance();
    one.runs->crash();
    one.before->close(one.runs->omits_length ? connection_end::orderly : connection_end::reset);
    // One that has ended writes nothing again.
    this->documents.erase("servers/" + gone);
    this->after(unlisted_after, [this, gone] {
        this->erase("servers/" + gone);
        this->note_leaving(gone);
    });
    this->after(away, [this, &one] {
        one.runs->start();
        one.before->open(one.runs->address());
        one.up = true;
        one.draining = false;
        this->list(one);
        this->begin_serving(one);
    });
}

void soak::lose_engines_together() {
    std::vector<back_end*> engines;
    for (auto& one : this->back_ends) {
        if (one.pool == "pool") {
            engines.push_back(&one);
        }
    }
    engines.resize((engines.size() * 5 + 7) / 8);
    for (auto* one : engines) {
        this->restart_engine(*one, engine_absence);
    }
}

void soak::name_weights() {
    const auto version = ++this->named;
    this->put("op/version/m0", json{{"model", "m0"}, {"version", version}}.dump());
    this->when_store_answers([this, version] {
        this->seen.named.push_back({"m0", version, adapters::boot_now()});
    });
}

// The entry that leads, as the store has it, and then the others.
std::vector<soak::entry*> soak::line_behind_leader() {
    const std::string leader = this->store.value_of("camphorrail/leader");
    std::vector<entry*> line;
    for (auto& one : this->entries) {
        const bool leads = leader.starts_with(one.process->name() + "@");
        line.insert(leads ? line.begin() : line.end(), &one);
    }
    return line;
}

// The first half of the line stands still while the weights are named. The others see it, end soon
// after, and are back when the first half has gone on.
void soak::name_weights_in_pause(const planned_fault& fault) {
    auto line = this->line_behind_leader();
    const std::size_t paused = (line.size() + 1) / 2;
    for (std::size_t each = 0; each < paused; ++each) {
        this->strike_entry({{}, fault.span, fault_kind::pause}, *line[each]);
    }
    line.erase(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(paused));
    this->after(fault.span / 2, [this, fault, line] {
        for (auto* one : line) {
            one->away = fault.span;
            this->strike_entry({{}, fault.span, fault_kind::kill}, *one);
        }
    });
    this->after(named_after, [this] { this->name_weights(); });
    for (int each = 0; each < fault.target; ++each) {
        this->after(fault.span * 3 / 4, [this] { this->name_weights(); });
    }
    for (auto& one : this->back_ends) {
        one.runs->refuses_orders_until = adapters::boot_now() + fault.span + orders_refused;
    }
}

void soak::strike_engine(const planned_fault& fault, back_end& one) {
    this->note(fault);
    switch (fault.kind) {
    case fault_kind::delay_engine:
        one.before->set_delay(link_delay);
        this->after(fault.span, [&one] { one.before->set_delay(milliseconds(0)); });
        break;
    case fault_kind::reset_engine:
        one.before->reset_all();
        break;
    case fault_kind::silence_engine:
        one.before->silence_all();
        break;
    case fault_kind::cut_engine_one_way:
    case fault_kind::refuse_engine:
        one.before->set_mode(fault.kind == fault_kind::refuse_engine ? relay_mode::refuse
                                                                     : relay_mode::cut_one_way);
        this->after(fault.span, [&one] { one.before->set_mode(relay_mode::pass); });
        break;
    case fault_kind::engine_restarts:
        this->restart_engine(one, fault.span);
        break;
    case fault_kind::engine_fails:
        one.runs->fails = true;
        this->after(fault.span, [&one] { one.runs->fails = false; });
        break;
    case fault_kind::engine_loses_answers:
        one.runs->loses_answers = true;
        this->after(fault.span, [&one] { one.runs->loses_answers = false; });
        break;
    case fault_kind::engine_says_leaving:
        one.runs->says_leaving = true;
        this->after(fault.span, [this, &one] { this->restart_engine(one, engine_absence); });
        break;
    case fault_kind::engine_released:
        one.runs->next_software = "v" + std::to_string(fault.software);
        this->leave(fault, one);
        break;
    case fault_kind::engine_states_limit:
        this->state_limit(fault, one);
        break;
    case fault_kind::engine_omits_length:
        one.runs->omits_length = true;
        this->after(fault.span, [&one] { one.runs->omits_length = false; });
        break;
    case fault_kind::engine_asks_for_pause:
        one.runs->pauses_until = adapters::boot_now() + fault.span / 2;
        break;
    default:
        this->leave(fault, one);
    }
}

// The limit ends with the engine's life at the latest.
void soak::state_limit(const planned_fault& fault, back_end& one) {
    if (one.runs->rate_limit) {
        return;
    }
    const base::instant now = adapters::boot_now();
    one.runs->rate_limit = fault.rate_limit;
    this->seen.limits.push_back({one.runs->instance(), fault.rate_limit, now, now + fault.span});
    this->after(fault.span, [&one, instance = one.runs->instance()] {
        if (one.runs->instance() == instance) {
            one.runs->rate_limit.reset();
        }
    });
}

void soak::leave(const planned_fault& fault, back_end& one) {
    const bool alone = fault.listed_alone > milliseconds(0);
    one.runs->says_leaving = one.runs->says_leaving || !alone;
    one.draining = true;
    this->end_serving(one);
    this->list(one);
    this->seen.faults.back().until += fault.listed_alone;
    this->after(alone ? fault.listed_alone : drain,
                [this, &one, fault] { this->restart_engine(one, fault.span); });
}

void soak::remove_key() {
    if (this->removed_keys.size() >= most_removed) {
        return;
    }
    const auto& key = this->keys.at(this->removed_keys.size());
    this->removed_keys.push_back(key);
    this->write_config();
    this->when_store_answers([this, key] {
        this->seen.removed.push_back({key, adapters::boot_now()});
    });
}

void soak::look_at_processes() {
    for (auto& one : this->entries) {
        const auto code = one.process->ended();
        if (!code) {
            continue;
        }
        const base::instant now = adapters::boot_now();
        if (!one.end_expected) {
            this->seen.exits.push_back(one.process->name() + ", code " + std::to_string(*code));
        }
        if (one.stop_span) {
            auto& span = this->seen.faults.at(*one.stop_span);
            span.until = now;
            if (*code != 0 && now - span.from >= grace) {
                this->seen.exits.push_back(one.process->name() + " outlasted its grace period");
            }
            one.stop_span.reset();
        }
        const auto away = std::exchange(one.away, {}) + restart_pause;
        this->after(away, [this, &one, was_asked_for = one.end_expected] {
            one.end_expected = false;
            one.process->start();
            if (was_asked_for) {
                this->seen.starts.push_back({this->number_of(one), adapters::boot_now()});
            }
        });
    }
}

void soak::heal() {
    this->store_fault = fault_kind::kill;
    this->held_by_store.clear();
    for (auto& one : this->entries) {
        one.to_store->set_mode(relay_mode::pass);
        one.process->signal(SIGCONT);
    }
    for (auto& one : this->back_ends) {
        one.before->set_mode(relay_mode::pass);
        one.before->set_delay(milliseconds(0));
    }
}

} // namespace camphorrail::soak
