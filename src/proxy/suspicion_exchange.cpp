#include "proxy/suspicion_exchange.h"

#include <algorithm>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// A probe's connection may take this long, which leaves most of the turn for a request.
constexpr base::milliseconds probe_connect_limit{250};
// When hundreds of upstreams fail at once, each of a hundred entries reports each of them, and an
// evaluation visits all upstreams. One every 10 ms adds little to the time until all entries act.
constexpr base::milliseconds update_delay{10};
// An entry whose attempts at an upstream all fail at once reports the first of them.
constexpr base::milliseconds min_report_interval{100};

} // namespace

bool shares_suspicions(const settings::feature_settings& features, bool pool_states_slowdown) {
    return features.shared_suspicion || pool_states_slowdown;
}

void apply_suspicions(fleet::fleet& fleet, const outliers::outlier_state& state) {
    for (auto& [id, member] : fleet.members) {
        const auto found = state.suspicions.find(id);
        const bool is_suspected = found != state.suspicions.end() &&
                                  found->second.incarnation == member.listed.incarnation;
        member.common = !is_suspected               ? fleet::common_suspicion::none
                        : found->second.is_excluded ? fleet::common_suspicion::excluded
                                                    : fleet::common_suspicion::second_choice;
    }
}

bool suspicion_exchange::is_on(const base::pool_id& pool) const {
    return shares_suspicions(this->context.settings.features, this->pool_states_slowdown(pool));
}

outliers::surroundings suspicion_exchange::surroundings() const {
    outliers::surroundings known;
    known.now = this->context.now();
    known.entries = this->listed_entries();
    known.linked_entries = this->linked_entries(peering::first_protocol).size();
    for (const auto& [id, member] : this->context.state.fleet.members) {
        if (fleet::is_available(member) && this->is_on(member.listed.pool)) {
            known.upstreams.push_back(
                {fleet::instance_of(member), member.listed.pool, member.last_byte_at});
        }
    }
    return known;
}

// An upstream that is silent to all entries counts with the first failure at each. An ejection
// takes two, so a quorum of ejections would come one more stall limit later.
void suspicion_exchange::record_failure(const base::upstream_instance& upstream,
                                        base::micros ejected_for, const char* reason) {
    const auto* member = fleet::find_instance(this->context.state.fleet, upstream);
    if (member == nullptr || !this->is_on(member->listed.pool)) {
        return;
    }
    const bool is_ejected = ejected_for > base::micros(0);
    if (!is_ejected && !this->has_just_reported(upstream)) {
        this->send(this->receivers(),
                   peering::suspicion{upstream, base::milliseconds(0), reason, false});
    }
    this->reasons[upstream.id] = reason;
    outliers::record_report(this->state, upstream, this->context.settings.id, this->context.now(),
                            {});
    this->update_soon();
}

bool suspicion_exchange::has_just_reported(const base::upstream_instance& upstream) const {
    const auto reports = this->state.reports.find(upstream);
    if (reports == this->state.reports.end()) {
        return false;
    }
    const auto own = reports->second.find(this->context.settings.id);
    return own != reports->second.end() && this->context.now() - own->second < min_report_interval;
}

std::vector<base::entry_id> suspicion_exchange::receivers() const {
    std::vector<base::entry_id> to;
    for (const auto& entry : this->linked_entries(peering::shared_suspicion_protocol)) {
        to.push_back(entry.id);
    }
    return to;
}

bool suspicion_exchange::receive(const base::entry_id& from, const peering::suspicion& message,
                                 base::instant written) {
    const auto* member = fleet::find_instance(this->context.state.fleet, message.upstream);
    if (member == nullptr || message.changing_weights || !this->is_on(member->listed.pool)) {
        return false;
    }
    this->context.metrics.count("camphorrail_upstream_suspicion_reports_total");
    this->reasons[message.upstream.id] = message.reason;
    outliers::record_report(this->state, message.upstream, from, written, {});
    this->update_soon();
    return true;
}

void suspicion_exchange::receive(const base::entry_id& from,
                                 const peering::upstream_responding& message,
                                 base::instant written) {
    const auto changes =
        outliers::record_byte(this->state, message.upstream, written - message.age);
    this->conclude(changes, from.value);
}

void suspicion_exchange::record_byte(const base::upstream_instance& upstream) {
    const auto changes = outliers::record_byte(this->state, upstream, this->context.now());
    if (changes.empty()) {
        return;
    }
    this->send(this->receivers(), peering::upstream_responding{upstream, base::micros(0)});
    this->conclude(changes, {});
}

void suspicion_exchange::tick() {
    if (this->state.reports.empty() && this->state.suspicions.empty()) {
        this->reasons.clear();
        this->probes.clear();
        return;
    }
    this->update();
    this->probe_all();
}

void suspicion_exchange::update_soon() {
    if (std::exchange(this->update_scheduled, true)) {
        return;
    }
    this->context.loop.after(update_delay, [this] {
        this->update_scheduled = false;
        this->update();
    });
}

void suspicion_exchange::update() {
    const auto disregarded = this->state.disregarded;
    const auto changes = outliers::update(this->state, this->surroundings(), {});
    // Which of the suspected upstreams are excluded may also change with the size of a pool.
    apply_suspicions(this->context.state.fleet, this->state);
    this->log_disregarded(disregarded);
    this->conclude(changes, {});
}

void suspicion_exchange::conclude(const std::vector<outliers::suspicion_change>& changes,
                                  const std::string& told_by) {
    if (changes.empty()) {
        return;
    }
    apply_suspicions(this->context.state.fleet, this->state);
    for (const auto& change : changes) {
        auto* member = fleet::find_instance(this->context.state.fleet, change.upstream);
        if (change.why == outliers::cause::quorum) {
            this->conclude_begin(change, member);
        } else {
            this->conclude_end(change, member, told_by);
        }
    }
    this->context.metrics.set("camphorrail_upstreams_commonly_suspected",
                              static_cast<double>(this->state.suspicions.size()));
}

void suspicion_exchange::conclude_begin(const outliers::suspicion_change& change,
                                        fleet::member* member) {
    const auto& upstream = change.upstream;
    const bool excluded = member != nullptr && member->common == fleet::common_suspicion::excluded;
    this->context.log.line(importance::keep, "upstream_commonly_suspected")
        .text("upstream", upstream.id.value)
        .number("incarnation", upstream.incarnation.value)
        .text("why", this->reasons[upstream.id])
        .number("entries", static_cast<std::int64_t>(change.reporters))
        .flag("excluded", excluded)
        .span("age_ms", this->context.now() - change.since);
    this->context.metrics.count("camphorrail_common_suspicions_total");
    this->context.connections.close_idle(upstream.id);
    if (excluded) {
        this->move_attempts(upstream);
    }
}

void suspicion_exchange::conclude_end(const outliers::suspicion_change& change,
                                      fleet::member* member, const std::string& told_by) {
    this->probes.erase(change.upstream.id);
    this->reasons.erase(change.upstream.id);
    if (member != nullptr && change.why == outliers::cause::byte_received) {
        fleet::end_suspicion(*member, this->context.now());
    }
    this->context.log.line(importance::keep, "upstream_suspicion_cleared")
        .text("upstream", change.upstream.id.value)
        .number("incarnation", change.upstream.incarnation.value)
        .text("why", outliers::name_of(change.why))
        .text("told_by", told_by)
        .span("after_ms", this->context.now() - change.since);
    this->context.metrics.count("camphorrail_common_suspicions_cleared_total",
                                {{"why", outliers::name_of(change.why)}});
}

void suspicion_exchange::log_disregarded(const std::set<base::entry_id>& before) {
    const auto log_each = [this](const auto& entries, const auto& without, bool disregarded) {
        for (const auto& entry : entries) {
            if (without.count(entry) == 0) {
                this->context.log.line(importance::keep, "suspicions_disregarded")
                    .text("entry", entry.value)
                    .flag("disregarded", disregarded);
                this->context.metrics.count("camphorrail_entries_disregarded_total", {},
                                            disregarded ? 1 : 0);
            }
        }
    };
    log_each(this->state.disregarded, before, true);
    log_each(before, this->state.disregarded, false);
}

// Starts a probe of each suspected upstream whose turn has come to this entry.
void suspicion_exchange::probe_all() {
    const outliers::outlier_rules rules;
    const auto entries = this->listed_entries();
    const base::instant now = this->context.now();
    for (const auto& [id, suspicion] : this->state.suspicions) {
        const std::int64_t turn = outliers::probe_turn(suspicion, now, rules);
        const auto* member =
            fleet::find_instance(this->context.state.fleet, {id, suspicion.incarnation});
        const auto last = this->probes.find(id);
        const bool is_done = last != this->probes.end() && last->second.turn == turn &&
                             last->second.incarnation == suspicion.incarnation;
        if (member != nullptr && !is_done &&
            outliers::prober(id, turn, entries) == this->context.settings.id) {
            this->start_probe(*member, turn, suspicion.since + (turn + 1) * rules.probe_turn - now);
        }
    }
}

void suspicion_exchange::start_probe(const fleet::member& member, std::int64_t turn,
                                     base::micros time_left) {
    const auto upstream = fleet::instance_of(member);
    const base::instant turn_ends = this->context.now() + time_left;
    auto& started = this->probes[upstream.id];
    started.incarnation = upstream.incarnation;
    started.turn = turn;
    started.connection = std::make_unique<adapters::address_probe>(
        this->context.loop.base(), member.listed.address,
        adapters::probe_limits{probe_connect_limit, base::milliseconds(0)},
        [this, upstream, turn_ends](adapters::address_state result) {
            this->on_probed(upstream, result, turn_ends);
        });
}

// Somebody listens also at an upstream whose process hangs, so only a response to a request ends
// the suspicion. If no connection can be made, no request needs to be risked.
void suspicion_exchange::on_probed(const base::upstream_instance& upstream,
                                   adapters::address_state result, base::instant turn_ends) {
    const bool is_open = result == adapters::address_state::open;
    this->context.metrics.count("camphorrail_upstream_probes_total",
                                {{"result", is_open ? "open" : "failed"}});
    auto* member = fleet::find_instance(this->context.state.fleet, upstream);
    if (member == nullptr || member->common == fleet::common_suspicion::none) {
        return;
    }
    if (is_open) {
        member->probe_until = turn_ends;
    } else {
        this->record_failure(upstream, base::micros(0), "probe_failed");
    }
}

} // namespace camphorrail::proxy
