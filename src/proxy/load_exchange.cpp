#include "proxy/load_exchange.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

// Reporting interval per receiving entry, so that the traffic of an entry does not grow with their
// number: 300 entries reporting to each other ten times per second caused 1.1 MB/s.
constexpr base::milliseconds period_per_entry{5};
// Shortest reporting interval. With reports every 350 ms, twenty entries all sent to the same idle
// engine before they learned of each other's requests.
constexpr base::milliseconds min_period{40};
// A report expires when the next two complete reports have failed to arrive.
constexpr int expiry_periods = 3;
constexpr base::milliseconds min_expiry{500};
// If any team has a quota, an entry reports at least this often, because a part of each quota stays
// reserved for an entry that is silent. If teams are kept to their shares, an entry that hears of
// no other assumes a partition.
constexpr base::milliseconds heartbeat_period{150};

bool same_work(const fleet::workload& left, const fleet::workload& right) {
    return left.in_flight == right.in_flight &&
           left.pending_prefill_tokens == right.pending_prefill_tokens &&
           left.kv_tokens == right.kv_tokens && left.non_retryable == right.non_retryable &&
           left.short_prompts == right.short_prompts && left.queue == right.queue;
}

base::milliseconds complete_report_period(std::size_t connected_count) {
    return std::max(period_per_entry * static_cast<std::int64_t>(connected_count), min_period);
}

bool is_empty(const peering::entry_load& load) {
    return load.items.empty() && load.transfers.empty() && load.reads.empty() &&
           load.usage.empty() && (!load.shares || load.shares->counts.empty());
}

} // namespace

base::milliseconds load_exchange::period(const entries::relay_targets& to) {
    const auto count = static_cast<std::int64_t>(to.same_zone.size() + to.zone_relays.size());
    return std::max(period_per_entry * count, min_period);
}

peering::entry_load load_exchange::own_load(std::size_t connected_count) {
    const base::instant now = this->context.now();
    peering::entry_load load;
    load.from = this->context.settings.id;
    load.report_interval = complete_report_period(connected_count);
    load.complete = now >= this->next_complete_report;
    if (load.complete) {
        this->next_complete_report = now + load.report_interval;
    }
    std::map<base::upstream_id, peering::upstream_load> reported;
    for (const auto& [id, member] : this->context.state.fleet.members) {
        const auto before = this->last_reported.find(id);
        const bool known = before != this->last_reported.end();
        if (member.local_work.in_flight == 0 && !known) {
            continue;
        }
        const auto last_byte_age =
            std::chrono::duration_cast<base::milliseconds>(now - member.last_byte_at);
        const peering::upstream_load item{fleet::instance_of(member), member.local_work,
                                          last_byte_age};
        const bool has_changed = !known || !same_work(before->second.work, item.work);
        if (has_changed || (load.complete && member.local_work.in_flight > 0)) {
            load.items.push_back(item);
        }
        if (member.local_work.in_flight > 0) {
            reported[id] = item;
        }
    }
    this->last_reported = std::move(reported);
    for (const auto& [store, ms] : std::exchange(this->context.state.unreported_transfers, {})) {
        load.transfers.push_back({store, ms});
    }
    load.reads = std::exchange(this->context.state.unreported_reads, {});
    auto& quotas = this->context.state.quotas;
    load.uptime = std::chrono::duration_cast<base::milliseconds>(quota::uptime(quotas, now));
    load.usage = quota::collect_counts(quotas, now, quota_rules_of(this->context.settings));
    if (this->context.settings.features.team_shares) {
        auto& shares = this->context.state.shares;
        load.shares = {shares::uptime(shares, now), shares::collect_counts(shares, now, {})};
    }
    return load;
}

std::vector<peering::entry_load> load_exchange::take_pending_relays() {
    const base::instant now = this->context.now();
    std::vector<peering::entry_load> loads;
    for (auto& each : std::exchange(this->pending_relays, {})) {
        each.load.age += std::chrono::duration_cast<base::milliseconds>(now - each.received_at);
        loads.push_back(std::move(each.load));
    }
    return loads;
}

bool load_exchange::heartbeat_due() {
    const base::instant now = this->context.now();
    const bool others_rely_on_it =
        !this->context.state.quotas.teams.empty() || this->context.settings.features.team_shares;
    if (!others_rely_on_it || now < this->next_heartbeat) {
        return false;
    }
    this->next_heartbeat = now + heartbeat_period;
    return true;
}

load_exchange::reports load_exchange::collect(std::size_t connected_count) {
    reports result;
    auto own = this->own_load(connected_count);
    // A final empty report says that no work is left.
    const bool heartbeat = this->heartbeat_due();
    const bool has_own_report =
        !is_empty(own) || heartbeat || (own.complete && this->reported_any_load);
    if (own.complete) {
        this->reported_any_load = !own.items.empty();
    }
    auto relayed = this->take_pending_relays();
    if (has_own_report) {
        result.far = peering::load_report{{own}};
        relayed.insert(relayed.begin(), std::move(own));
    }
    if (!relayed.empty()) {
        result.near = peering::load_report{std::move(relayed)};
    }
    return result;
}

void load_exchange::receive(const peering::load_report& message, bool should_relay) {
    for (const auto& load : message.loads) {
        this->apply_load(load);
    }
    if (should_relay && !message.loads.empty()) {
        this->pending_relays.push_back({message.loads.front(), this->context.now()});
    }
}

void load_exchange::apply_load(const peering::entry_load& load) {
    const base::instant now = this->context.now();
    const base::instant until = now + std::max(load.report_interval * expiry_periods, min_expiry);
    auto& state = this->context.state;
    quota::apply_report(state.quotas, {load.from, load.age, load.uptime, load.usage}, now,
                        quota_rules_of(this->context.settings));
    if (this->context.settings.features.team_shares && load.shares) {
        shares::apply_report(
            state.shares, {load.from, load.age, load.shares->uptime, load.shares->counts}, now, {});
    }
    if (load.complete) {
        for (auto& [id, member] : state.fleet.members) {
            member.remote_work.erase(load.from);
        }
    }
    for (const auto& item : load.items) {
        auto* member = fleet::find_instance(state.fleet, item.upstream);
        if (member == nullptr) {
            continue;
        }
        if (item.work.in_flight > 0) {
            member->remote_work[load.from] = {item.work, until, now - load.age};
        } else {
            member->remote_work.erase(load.from);
        }
        // With many entries each gets few bytes from an upstream; combined, they show whether it is
        // alive.
        member->last_byte_at =
            std::max<base::instant>(member->last_byte_at, now - load.age - item.last_byte_age);
    }
    for (const auto& each : load.transfers) {
        kvcache::record_transfer(state.stored_prompts[each.store], each.duration_ms, now);
    }
    for (const auto& read : load.reads) {
        record_prompt_read(this->context, read);
    }
}

} // namespace camphorrail::proxy
