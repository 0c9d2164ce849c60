#include "kvcache/lanes.h"
#include "proxy/proxy.h"
#include "proxy/upstream_list.h"
#include "proxy/weights_news.h"

#include <algorithm>
#include <set>

// What an entry makes of news of the platform's store.
namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Part of the shared retry budget that the entries use together. The rest is for entries that start
// or vanish meanwhile, and for calls that are counted late.
constexpr double retry_share = 0.7;

} // namespace

void proxy::on_store_change(const std::set<std::string>& keys, const char* told_by) {
    this->leader.note_store_change();
    bool upstreams = false;
    for (const auto& key : keys) {
        upstreams = upstreams || key.starts_with(this->platform.words.upstreams_prefix);
    }
    if (keys.count(this->platform.words.operators_config_key) > 0) {
        this->take_config();
    }
    if (take_named_weights(this->context, told_by)) {
        this->renew_begin_deadlines();
    }
    for (const auto& held : this->quarantined.read(keys)) {
        this->crashes.take_written(held);
    }
    if (upstreams) {
        this->take_upstreams(told_by);
    }
    this->follow_entries();
    this->note_readiness();
}

void proxy::renew_begin_deadlines() {
    for (const auto& [number, flow] : this->flows) {
        flow->renew_begin_deadline();
    }
}

void proxy::take_config() {
    const auto found = this->state.store.items.find(this->platform.words.operators_config_key);
    if (found == this->state.store.items.end()) {
        return;
    }
    auto read = this->platform.words.parse_config(found->second.value);
    if (!read.has_value()) {
        // The one in force stays: half a configuration would refuse callers that are allowed.
        this->log.line(importance::keep, "config_unreadable")
            .text("code", base::describe(base::to_code(read.error())).name)
            .number("revision", found->second.mod_revision);
        return;
    }
    if (this->state.config != nullptr && read.value().version <= this->state.config->version) {
        return;
    }
    this->log.line(importance::keep, "config_in_force")
        .number("version", read.value().version)
        .number("before", this->state.config == nullptr ? 0 : this->state.config->version)
        .number("revision", found->second.mod_revision)
        .number("routes", static_cast<std::int64_t>(read.value().routes.size()))
        .number("teams", static_cast<std::int64_t>(read.value().teams.size()));
    this->state.config = std::make_shared<const routes::operators_config>(std::move(read.value()));
    this->set_retry_budgets();
    quota::set_limits(this->state.quotas, this->state.config->teams, this->context.now(),
                      quota_rules_of(this->settings));
    this->forget_dropped_routes();
}

void proxy::follow_entries() {
    const auto rules = quota_rules_of(this->settings);
    const base::instant now = this->context.now();
    quota::set_entries(this->state.quotas, this->others.listed_entries(), now, rules);
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

void proxy::forget_dropped_routes() {
    std::set<std::string> names;
    for (const auto& route : this->state.config->routes) {
        names.insert(route.name);
    }
    std::erase_if(this->state.prompt_sizes,
                  [&names](const auto& each) { return names.count(each.first) == 0; });
}

void proxy::set_retry_budgets() {
    if (this->state.config == nullptr) {
        return;
    }
    const auto entries = static_cast<double>(std::max<std::int64_t>(this->state.entry_count, 1));
    for (const auto& [id, pool] : this->state.config->pools) {
        auto& window = this->state.retries[id];
        window.extra_retries =
            std::max(1.0, this->settings.bounds.retry_slack * retry_share / entries);
        window.retries_per_request = this->settings.bounds.retry_ratio * retry_share;
    }
}

void proxy::take_upstreams(const char* told_by) {
    const auto list = read_upstream_list(this->state.store, this->platform.words);
    const auto change = fleet::apply_list(this->state.fleet, list.upstreams, this->context.now());
    for (const auto& [id, revision] : list.unreadable) {
        fleet::mark_replaced(this->state.fleet, id);
        // Said once for each entry that can't be read, however often the list is read again.
        if (const auto said = this->unreadable.find(id);
            said == this->unreadable.end() || said->second != revision) {
            this->log.line(importance::keep, "upstream_unreadable")
                .text("upstream", id.value)
                .number("revision", revision);
        }
    }
    this->unreadable = list.unreadable;
    for (const auto& [id, by] : list.replaced) {
        fleet::mark_replaced(this->state.fleet, id);
        this->connections.close_idle(id);
        if (this->replaced.count(id) == 0) {
            this->log.line(importance::keep, "upstream_replaced")
                .text("upstream", id.value)
                .text("by", by.value);
            this->crashes.note_replaced(id);
        }
    }
    this->replaced = list.replaced;
    kvcache::assign_lanes(this->state.fleet, this->state.lanes, this->context.now(), {});
    const auto tell = [this, told_by](const char* event,
                                      const std::vector<base::upstream_id>& ids) {
        for (const auto& id : ids) {
            const auto& one = this->state.fleet.members.at(id);
            this->log.line(importance::keep, event)
                .text("upstream", id.value)
                .text("pool", one.listed.pool.value)
                .text("address", one.listed.address)
                .flag("leaving", one.listed.draining)
                .number("incarnation", one.listed.incarnation.value)
                .number("weights", one.listed.models.empty() ? 0 : one.listed.models[0].second)
                .number("revision", this->state.store.revision)
                .text("told_by", told_by);
        }
    };
    tell("upstream_added", change.added);
    tell("upstream_changed", change.changed);
    tell("upstream_unlisted", change.removed);
    for (const auto& id : change.restarted) {
        const auto& one = this->state.fleet.members.at(id);
        this->crashes.note_ended({id, one.previous_incarnations.back()});
        discard_previous_incarnation(this->context, fleet::instance_of(one));
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
