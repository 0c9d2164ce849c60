#include "kvcache/lanes.h"
#include "proxy/proxy.h"
#include "proxy/retry_shares.h"
#include "proxy/target_weights.h"
#include "proxy/upstream_list.h"
#include "proxy/upstream_speeds.h"

#include <algorithm>
#include <set>

// Applies changes of the platform's store to the state of an entry.
namespace camphorrail::proxy {

namespace {

using adapters::importance;

} // namespace

void proxy::on_store_change(const std::set<std::string>& keys, const char* source) {
    this->leader.on_store_change();
    bool upstreams = false;
    for (const auto& key : keys) {
        upstreams = upstreams || key.starts_with(this->platform.codec.upstreams_prefix);
    }
    if (keys.count(this->platform.codec.operators_config_key) > 0) {
        this->apply_config();
    }
    this->cache_spaces.apply(keys);
    this->team_list.apply(keys);
    if (read_target_weights(this->context, source)) {
        this->renew_begin_deadlines();
    }
    for (const auto& quarantined : this->quarantine_store.read(keys)) {
        this->crashes.restore_quarantine(quarantined);
    }
    if (upstreams) {
        this->apply_upstream_list(source);
    }
    this->software.apply(keys);
    this->check_awaited_records();
    this->update_quota_entries();
    this->log_readiness();
}

void proxy::renew_begin_deadlines() {
    for (const auto& [number, flow] : this->flows) {
        flow->renew_begin_deadline();
    }
}

void proxy::apply_config() {
    const auto found = this->state.store.items.find(this->platform.codec.operators_config_key);
    if (found == this->state.store.items.end()) {
        return;
    }
    auto read = this->platform.codec.parse_config(found->second.value);
    if (!read.has_value()) {
        // The current configuration stays in force; half a configuration would refuse authorized
        // clients.
        this->log.line(importance::keep, "config_unreadable")
            .text("code", base::describe(base::to_code(read.error())).name)
            .number("revision", found->second.mod_revision.number);
        return;
    }
    if (this->state.config != nullptr && read.value().version <= this->state.config->version) {
        return;
    }
    this->log.line(importance::keep, "config_in_force")
        .number("version", read.value().version)
        .number("before", this->state.config == nullptr ? 0 : this->state.config->version)
        .number("revision", found->second.mod_revision.number)
        .number("routes", static_cast<std::int64_t>(read.value().routes.size()))
        .number("teams", static_cast<std::int64_t>(read.value().teams.size()));
    set_config(this->state,
               std::make_shared<const routes::operators_config>(std::move(read.value())));
    this->cache_spaces.log_spaces();
    this->update_retry_budgets();
    quota::set_limits(this->state.quotas, this->state.config->teams, this->context.now(),
                      quota_rules_of(this->settings));
    shares::set_teams(this->state.shares, this->state.config->teams);
    this->prune_prompt_sizes();
}

void proxy::update_quota_entries() {
    const auto rules = quota_rules_of(this->settings);
    const base::instant now = this->context.now();
    quota::set_entries(this->state.quotas, this->peer_entries.listed_entries(), now, rules);
    const auto changes = quota::silence_changes(this->state.quotas, now, rules);
    if (this->state.quotas.teams.empty()) {
        return;
    }
    for (const auto& change : changes) {
        this->log.line(importance::keep, change.silent ? "quota_entry_silent" : "quota_entry_heard")
            .text("entry", change.entry.value)
            .number("entries", static_cast<std::int64_t>(this->state.quotas.peers.size()) + 1)
            .number("heard", static_cast<std::int64_t>(this->state.quotas.reachable.size()) + 1);
    }
}

void proxy::update_share_entries() {
    if (!this->settings.features.team_shares) {
        if (this->state.shares.started_at) {
            // The feature was turned off.
            this->state.shares = {};
        }
        return;
    }
    const base::instant now = this->context.now();
    auto& shares = this->state.shares;
    if (shares.weights.empty() && this->state.config != nullptr) {
        shares::set_teams(shares, this->state.config->teams);
    }
    shares::set_entries(shares, this->peer_entries.listed_entries().others, now, {});
    const bool partitioned = shares::is_partitioned(shares, now, {});
    if (partitioned != this->was_partitioned) {
        this->was_partitioned = partitioned;
        this->log.line(importance::keep, partitioned ? "shares_alone" : "shares_together")
            .number("listed", static_cast<std::int64_t>(shares.listed.size()) + 1)
            .number("heard", static_cast<std::int64_t>(shares::heard_entries(shares)) + 1);
    }
}

void proxy::prune_prompt_sizes() {
    std::set<std::string> names;
    for (const auto& route : this->state.config->routes) {
        names.insert(route.name);
    }
    std::erase_if(this->state.prompt_sizes,
                  [&names](const auto& each) { return names.count(each.first) == 0; });
    keep_routes(this->state.runs, names);
    for (auto& [pool, queue] : this->state.queueing) {
        std::erase_if(queue.times.routes,
                      [&names](const auto& each) { return names.count(each.first) == 0; });
    }
}

void proxy::update_retry_budgets() {
    update_retry_shares(this->context,
                        {this->peer_entries.count(), this->context.now() - this->started_at,
                         this->retries_at_start.is_claimed()});
}

void proxy::apply_upstream_list(const char* source) {
    const auto list = read_upstream_list(this->state.store, this->platform.codec);
    const auto change = fleet::apply_list(this->state.fleet, list.upstreams, this->context.now());
    for (const auto& [id, revision] : list.unreadable) {
        fleet::mark_replaced(this->state.fleet, id);
        // Logged once per malformed item and revision, however often the list is read again.
        if (const auto logged = this->unreadable_upstreams.find(id);
            logged == this->unreadable_upstreams.end() || logged->second != revision) {
            this->log.line(importance::keep, "upstream_unreadable")
                .text("upstream", id.value)
                .number("revision", revision.number);
        }
    }
    this->unreadable_upstreams = list.unreadable;
    for (const auto& [id, by] : list.replaced) {
        fleet::mark_replaced(this->state.fleet, id);
        this->connections.close_idle(id);
        if (this->replaced_upstreams.count(id) == 0) {
            this->log.line(importance::keep, "upstream_replaced")
                .text("upstream", id.value)
                .text("by", by.value);
            this->crashes.record_replaced(id);
        }
    }
    this->replaced_upstreams = list.replaced;
    update_upstream_speeds(this->context);
    kvcache::assign_lanes(this->state.fleet, this->state.lanes, this->context.now(), {});
    const auto log_each = [this, source](const char* event,
                                         const std::vector<base::upstream_id>& ids) {
        for (const auto& id : ids) {
            const auto& member = this->state.fleet.members.at(id);
            this->log.line(importance::keep, event)
                .text("upstream", id.value)
                .text("pool", member.listed.pool.value)
                .text("address", member.listed.address)
                .flag("leaving", member.listed.draining)
                .number("incarnation", member.listed.incarnation.value)
                .text("software", member.listed.software.value)
                .number("weights",
                        member.listed.models.empty() ? 0 : member.listed.models[0].second)
                .number("revision", this->state.store.revision.number)
                .text("told_by", source);
        }
    };
    if (!change.added.empty() || !change.restarted.empty()) {
        this->limits.divide_limits();
    }
    log_each("upstream_added", change.added);
    log_each("upstream_changed", change.changed);
    log_each("upstream_unlisted", change.removed);
    for (const auto& id : change.restarted) {
        const auto& member = this->state.fleet.members.at(id);
        this->crashes.record_ended({id, member.previous_incarnations.back()});
        discard_previous_incarnation(this->context, fleet::instance_of(member));
    }
    for (const auto& id : change.weights_changed) {
        kvcache::forget_engine(this->state.cache, id);
    }
    for (const auto& id : change.removed) {
        this->connections.close_idle(id);
        kvcache::forget_engine(this->state.cache, id);
    }
}

} // namespace camphorrail::proxy
