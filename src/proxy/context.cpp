#include "proxy/context.h"

#include <utility>

namespace camphorrail::proxy {

const weights_history& history_of(const entry_state& state, const base::model_id& model) {
    static const weights_history none;
    const auto found = state.weights.find(model);
    return found == state.weights.end() ? none : found->second;
}

void set_config(entry_state& state, std::shared_ptr<const routes::operators_config> config) {
    state.ranks = make_rank_table(*config);
    state.has_had_teams = state.has_had_teams || routes::requires_keys(*config);
    state.config = std::move(config);
    update_cache_spaces(state);
}

std::set<base::team_id> isolated_teams(const entry_state& state) {
    std::set<base::team_id> found;
    if (state.config == nullptr) {
        return found;
    }
    for (const auto& team : state.config->teams) {
        if (team.isolated) {
            found.insert(team.id);
        }
    }
    return found;
}

void update_cache_spaces(entry_state& state) {
    state.cache_spaces =
        kvcache::choose_cache_spaces(isolated_teams(state), state.recorded_exclusions);
}

std::string registration_prefix(const entry_context& context) {
    return context.codec.own_prefix + "entries/";
}

bool is_registered_entry(const entry_context& context) {
    const std::string key = registration_prefix(context) + context.settings.id.value;
    const auto& store = context.state.store;
    const auto found = store.items.find(key);
    return found != store.items.end() && found->second.value == context.settings.peer_listen &&
           store.retained.count(key) == 0;
}

bool is_config_fresh(const entry_context& context) {
    const auto age = mirror::age(context.state.store, context.now());
    return context.state.config != nullptr && age && *age <= max_config_age(context.settings);
}

base::micros logged_config_age(const entry_context& context) {
    return mirror::age(context.state.store, context.now()).value_or(base::micros(-1));
}

void log_store_restored(const entry_context& context, base::revision before, const char* source) {
    const auto& store = context.state.store;
    if (before == base::revision{} || before.era == store.revision.era) {
        return;
    }
    context.log.line(adapters::importance::keep, "store_restored")
        .number("era_before", before.era)
        .number("revision_before", before.number)
        .number("era", store.revision.era)
        .number("revision", store.revision.number)
        .number("retained", static_cast<std::int64_t>(store.retained.size()))
        .span("config_age_ms", logged_config_age(context))
        .text("told_by", source);
}

base::micros max_config_age(const settings::proxy_settings& settings) {
    // Covers a request's transit to the upstream and one event loop iteration of a loaded machine.
    constexpr base::milliseconds margin{400};
    return std::max<base::milliseconds>(settings.bounds.revoke - margin, margin);
}

quota::quota_rules quota_rules_of(const settings::proxy_settings& settings) {
    quota::quota_rules rules;
    rules.window_tolerance = {settings.bounds.quota_window, settings.bounds.quota_excess,
                              settings.bounds.quota_slack};
    rules.unlisted_timeout = max_config_age(settings);
    return rules;
}

base::micros max_outdated_weights_age(const settings::proxy_settings& settings) {
    // Covers the transit to the upstream and the longest event loop iteration on a loaded VM,
    // before which a request may not be sent. The time at which weights were set is never estimated
    // too late.
    constexpr base::milliseconds margin{1000};
    return std::max<base::milliseconds>(settings.bounds.outdated_weights - margin, margin);
}

fleet::fleet_rules fleet_rules_of(const settings::proxy_settings& settings) {
    fleet::fleet_rules rules;
    // Two consecutive failures are rare on a healthy upstream, and a crashed one fails every call;
    // with three, one more request of each entry would be lost to it.
    rules.health.failures_to_eject = 2;
    rules.health.ejection_failure_rate = 0.4;
    rules.health.base_ejection = base::milliseconds(1000);
    // A crashed engine is back within seconds; a longer ejection would cost more than the one call
    // that finds it still down.
    rules.health.max_ejection = base::seconds(4);
    rules.unlisted_grace = settings.bounds.drain * 7 / 10;
    return rules;
}

std::int64_t engine_capacity_tokens(const entry_state& state,
                                    const base::upstream_instance& upstream) {
    const auto found = state.fleet.members.find(upstream.id);
    if (found == state.fleet.members.end() || state.config == nullptr) {
        return 0;
    }
    const auto pool = state.config->pools.find(found->second.listed.pool);
    return pool == state.config->pools.end() ? 0 : pool->second.kv_capacity_tokens;
}

void record_prompt_read(entry_context& context, const kvcache::prompt_prefill& read) {
    auto* member = fleet::find_instance(context.state.fleet, read.engine);
    if (member == nullptr) {
        return;
    }
    const base::instant now = context.now();
    kvcache::record_prefill(context.state.cache, read,
                            engine_capacity_tokens(context.state, read.engine), now);
    if (read.first_byte.ms > 0.0) {
        speed::record_first_byte(member->speed, context.state.latency[member->listed.pool],
                                 read.first_byte, now, {});
    }
}

void record_weights(entry_context& context, const base::upstream_instance& upstream,
                    const base::model_id& model, std::int64_t version) {
    auto* member = fleet::find_instance(context.state.fleet, upstream);
    if (member == nullptr) {
        return;
    }
    for (auto& [name, held] : member->listed.models) {
        if (name == model && held < version) {
            held = version;
            member->busy_until = context.now();
            kvcache::forget_engine(context.state.cache, upstream.id);
            context.log.line(adapters::importance::keep, "upstream_weights")
                .text("upstream", upstream.id.value)
                .number("version", version);
        }
    }
}

void discard_previous_incarnation(entry_context& context, const base::upstream_instance& now_in) {
    context.connections.close_idle(now_in.id);
    kvcache::forget_engine(context.state.cache, now_in.id);
    std::erase_if(context.state.unreported_reads,
                  [&](const auto& read) { return read.engine.id == now_in.id; });
    context.log.line(adapters::importance::keep, "upstream_restarted")
        .text("upstream", now_in.id.value)
        .number("incarnation", now_in.incarnation.value);
    context.metrics.count("camphorrail_upstream_restarts_total");
}

bool record_drain_report(entry_context& context, const base::upstream_instance& upstream,
                         const std::string& reported_by, base::instant reported_at) {
    if (!fleet::record_drain_report(context.state.fleet, upstream, reported_at)) {
        return false;
    }
    context.log.line(adapters::importance::keep, "upstream_leaves")
        .text("upstream", upstream.id.value)
        .number("incarnation", upstream.incarnation.value)
        .text("told_by", reported_by)
        .span("age_ms", context.now() - reported_at);
    context.metrics.count("camphorrail_upstreams_leaving_by_their_word_total");
    return true;
}

namespace {

// Returns the duration of the ejection if this update ejected the upstream.
template <class Update>
std::optional<base::micros> update_health(entry_context& context,
                                          const base::upstream_instance& upstream, const char* why,
                                          Update apply) {
    auto* member = fleet::find_instance(context.state.fleet, upstream);
    if (member == nullptr) {
        return std::nullopt;
    }
    const base::instant now = context.now();
    const bool was_usable = membership::is_usable(member->health, now);
    apply(member->health, now, fleet_rules_of(context.settings).health);
    const bool ejected = was_usable && !membership::is_usable(member->health, now);
    if (!ejected) {
        return std::nullopt;
    }
    context.connections.close_idle(upstream.id);
    const base::micros span = member->health.ejected_until - now;
    context.log.line(adapters::importance::keep, "upstream_ejected")
        .text("upstream", upstream.id.value)
        .text("why", why)
        .span("for_ms", span);
    context.metrics.count("camphorrail_ejections_total", {{"why", why}});
    return span;
}

} // namespace

void record_upstream_failure(entry_context& context, const base::upstream_instance& upstream,
                             const char* why) {
    const auto span = update_health(context, upstream, why, membership::record_failure);
    context.broadcast_suspicion(upstream, span.value_or(base::micros(0)), why);
}

void record_upstream_error(entry_context& context, const base::upstream_instance& upstream) {
    // Other entries are not notified: some services fail one call in seven, and among many entries
    // there is always one that sees several failures in a row.
    update_health(context, upstream, "error_answers", membership::record_error);
}

void record_upstream_success(entry_context& context, const base::upstream_instance& upstream) {
    if (auto* member = fleet::find_instance(context.state.fleet, upstream)) {
        membership::record_success(member->health, fleet_rules_of(context.settings).health);
    }
}

} // namespace camphorrail::proxy
