#include "proxy/target_weights.h"

#include <algorithm>

namespace camphorrail::proxy {

namespace {

using adapters::importance;

// Logged in place of an unknown duration.
constexpr base::milliseconds unknown_span{-1};

base::micros logged_age(const std::optional<base::instant>& moment, base::instant now) {
    return moment ? now - *moment : unknown_span;
}

std::optional<base::instant> known_set_after(const weights_history& history, std::int64_t version) {
    const auto found = history.targets.find(version);
    return found == history.targets.end() ? std::nullopt : latest_set_after(found->second);
}

// Whether a version was learned of so recently that its date still matters.
bool has_recent_target(const entry_context& context, const weights_history& history) {
    return any_learned_within(history, context.now(), max_outdated_weights_age(context.settings));
}

// The oldest version of a model held by an available upstream; empty if none holds any.
std::optional<std::int64_t> oldest_held(const entry_context& context, const base::model_id& model) {
    std::optional<std::int64_t> oldest;
    for (const auto& [id, member] : context.state.fleet.members) {
        const auto held = fleet::weights_version_of(member, model);
        if (fleet::is_available(member) && held > 0) {
            oldest = std::min(oldest.value_or(held), held);
        }
    }
    return oldest;
}

} // namespace

bool read_target_weights(entry_context& context, const char* source) {
    auto& state = context.state;
    const base::instant now = context.now();
    bool any_new = false;
    for (const auto& item :
         mirror::items_with_prefix(state.store, context.codec.target_weights_prefix)) {
        const auto read = context.codec.parse_target_weights(item.value);
        if (!read.has_value()) {
            context.log.line(importance::keep, "weights_unreadable").text("key", item.key);
            continue;
        }
        const auto& target = read.value();
        auto& history = state.weights[target.model];
        const auto after = mirror::written_after(state.store, item.key);
        if (!record_target(history, target.version, {after, {}, now})) {
            continue;
        }
        any_new = true;
        prune_superseded(history, now, max_outdated_weights_age(context.settings));
        context.log.line(importance::keep, "weights_named")
            .text("model", target.model.value)
            .number("version", target.version)
            .number("revision", item.mod_revision.number)
            .flag("dated", after.has_value())
            .text("told_by", source)
            .span("named_within_ms", logged_age(after, now));
    }
    return any_new;
}

bool apply_reported_targets(entry_context& context, const base::entry_id& from,
                            const std::vector<peering::target_weights>& reports,
                            base::instant queried_at) {
    const base::instant now = context.now();
    bool any_improved = false;
    for (const auto& each : reports) {
        auto& history = context.state.weights[each.model];
        const auto before = known_set_after(history, each.version);
        const auto after = each.age ? std::optional(queried_at - *each.age) : std::nullopt;
        if (!record_reported_target(history, each.version, after, now)) {
            continue;
        }
        any_improved = true;
        context.log.line(importance::keep, "weights_dated")
            .text("model", each.model.value)
            .number("version", each.version)
            .text("entry", from.value)
            .span("named_within_ms", logged_age(known_set_after(history, each.version), now))
            .span("before_ms", logged_age(before, now));
    }
    return any_improved;
}

std::vector<peering::target_weights> target_weights_to_report(const entry_context& context) {
    const base::instant now = context.now();
    std::vector<peering::target_weights> reports;
    for (const auto& [model, history] : context.state.weights) {
        if (!has_recent_target(context, history)) {
            continue;
        }
        // All versions are reported: a peer that learned only of the second of two newer versions
        // would take the version before them to be outdated since the second.
        for (const auto& [version, seen] : history.targets) {
            const auto after = latest_set_after(seen);
            const auto age = after ? std::optional(now - *after) : std::nullopt;
            reports.push_back({model, version, age});
        }
    }
    return reports;
}

bool needs_target_dates(const entry_context& context) {
    for (const auto& [model, history] : context.state.weights) {
        if (!has_recent_target(context, history)) {
            continue;
        }
        const auto held = oldest_held(context, model);
        if (held && is_imprecise(history, *held)) {
            return true;
        }
    }
    return false;
}

} // namespace camphorrail::proxy
