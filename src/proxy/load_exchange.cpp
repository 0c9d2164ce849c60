#include "proxy/load_exchange.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

// So long for each entry that is told, so that what an entry sends and reads does not grow with
// their number: with 300 that told each other ten times a second it was 1.1 MB a second.
constexpr base::milliseconds period_each{5};
// Twenty entries that told each other every 350 ms all sent to the same idle engine before one
// heard of the others.
constexpr base::milliseconds least_period{40};
// A report is believed until two further whole ones have failed to come.
constexpr int believed_periods = 3;
constexpr base::milliseconds least_belief{500};
// Where teams have quotas, an entry says that it is there at least this often: a silent one has a
// part of each quota reserved for it.
constexpr base::milliseconds heartbeat_period{150};

bool same_work(const fleet::workload& left, const fleet::workload& right) {
    return left.in_flight == right.in_flight &&
           left.pending_prefill_tokens == right.pending_prefill_tokens &&
           left.kv_tokens == right.kv_tokens && left.non_retryable == right.non_retryable &&
           left.short_prompts == right.short_prompts;
}

base::milliseconds whole_period(std::size_t linked) {
    return std::max(period_each * static_cast<std::int64_t>(linked), least_period);
}

bool is_empty(const peering::entry_load& load) {
    return load.items.empty() && load.transfers.empty() && load.reads.empty() && load.usage.empty();
}

} // namespace

base::milliseconds load_exchange::period(const entries::relay_targets& to) {
    const auto count = static_cast<std::int64_t>(to.same_zone.size() + to.zone_relays.size());
    return std::max(period_each * count, least_period);
}

peering::entry_load load_exchange::own_load(std::size_t linked) {
    const base::instant now = this->context.now();
    peering::entry_load load;
    load.from = this->context.settings.id;
    load.report_interval = whole_period(linked);
    load.complete = now >= this->next_whole;
    if (load.complete) {
        this->next_whole = now + load.report_interval;
    }
    std::map<base::upstream_id, peering::upstream_load> telling;
    for (const auto& [id, one] : this->context.state.fleet.members) {
        const auto before = this->told.find(id);
        const bool known = before != this->told.end();
        if (one.local_work.in_flight == 0 && !known) {
            continue;
        }
        const auto heard = std::chrono::duration_cast<base::milliseconds>(now - one.last_byte_at);
        const peering::upstream_load item{fleet::instance_of(one), one.local_work, heard};
        const bool is_news = !known || !same_work(before->second.work, item.work);
        if (is_news || (load.complete && one.local_work.in_flight > 0)) {
            load.items.push_back(item);
        }
        if (one.local_work.in_flight > 0) {
            telling[id] = item;
        }
    }
    this->told = std::move(telling);
    for (const auto& [store, ms] : std::exchange(this->context.state.unreported_transfers, {})) {
        load.transfers.push_back({store, ms});
    }
    load.reads = std::exchange(this->context.state.unreported_reads, {});
    auto& quotas = this->context.state.quotas;
    load.uptime = std::chrono::duration_cast<base::milliseconds>(quota::uptime(quotas, now));
    load.usage = quota::collect_counts(quotas, now, quota_rules_of(this->context.settings));
    return load;
}

std::vector<peering::entry_load> load_exchange::relayed_loads() {
    const base::instant now = this->context.now();
    std::vector<peering::entry_load> loads;
    for (auto& each : std::exchange(this->to_relay, {})) {
        each.load.age += std::chrono::duration_cast<base::milliseconds>(now - each.heard_at);
        loads.push_back(std::move(each.load));
    }
    return loads;
}

bool load_exchange::heartbeat_due() {
    const base::instant now = this->context.now();
    if (this->context.state.quotas.teams.empty() || now < this->next_heartbeat) {
        return false;
    }
    this->next_heartbeat = now + heartbeat_period;
    return true;
}

load_exchange::news load_exchange::collect(std::size_t linked) {
    news made;
    auto own = this->own_load(linked);
    // One last message says that nothing is left.
    const bool is_there = this->heartbeat_due();
    const bool says_something =
        !is_empty(own) || is_there || (own.complete && this->told_something);
    if (own.complete) {
        this->told_something = !own.items.empty();
    }
    auto relayed = this->relayed_loads();
    if (says_something) {
        made.far = peering::load_report{{own}};
        relayed.insert(relayed.begin(), std::move(own));
    }
    if (!relayed.empty()) {
        made.near = peering::load_report{std::move(relayed)};
    }
    return made;
}

void load_exchange::take(const peering::load_report& message, bool passes_on) {
    for (const auto& load : message.loads) {
        this->take_load(load);
    }
    if (passes_on && !message.loads.empty()) {
        this->to_relay.push_back({message.loads.front(), this->context.now()});
    }
}

void load_exchange::take_load(const peering::entry_load& load) {
    const base::instant now = this->context.now();
    const base::instant until =
        now + std::max(load.report_interval * believed_periods, least_belief);
    auto& state = this->context.state;
    quota::apply_report(state.quotas, {load.from, load.age, load.uptime, load.usage}, now,
                        quota_rules_of(this->context.settings));
    if (load.complete) {
        for (auto& [id, one] : state.fleet.members) {
            one.remote_work.erase(load.from);
        }
    }
    for (const auto& item : load.items) {
        auto* one = fleet::find_instance(state.fleet, item.upstream);
        if (one == nullptr) {
            continue;
        }
        if (item.work.in_flight > 0) {
            one->remote_work[load.from] = {item.work, until, now - load.age};
        } else {
            one->remote_work.erase(load.from);
        }
        // With many entries each hears little of an upstream; together they know whether it lives.
        one->last_byte_at =
            std::max<base::instant>(one->last_byte_at, now - load.age - item.last_byte_age);
    }
    for (const auto& each : load.transfers) {
        kvcache::record_transfer(state.stored_prompts[each.store], each.duration_ms, now);
    }
    for (const auto& read : load.reads) {
        record_prompt_read(this->context, read);
    }
}

} // namespace camphorrail::proxy
