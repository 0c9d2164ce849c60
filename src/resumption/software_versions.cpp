#include "resumption/software_versions.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace camphorrail::resumption {

namespace {

using nlohmann::json;

constexpr const char* active_name = "active";
constexpr const char* announced_name = "announced";

std::optional<introduction> parse_state(const json& value) {
    if (value == active_name) {
        return introduction::active;
    }
    return value == announced_name ? std::optional(introduction::announced) : std::nullopt;
}

// Whether a version that the store no longer has was dropped since nothing runs it, and not lost.
bool may_be_retired(const known_version& version, base::instant now, const version_rules& rules) {
    // Entries learn at different times that an engine has ended.
    return now - version.last_running_at >= rules.retirement_time / 2;
}

} // namespace

std::string encode(const version_record& record) {
    json document = json::object();
    for (const auto& [version, state] : record) {
        document[version.value] = state == introduction::active ? active_name : announced_name;
    }
    return document.dump();
}

std::optional<version_record> parse_record(const std::string& text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || document.empty()) {
        return std::nullopt;
    }
    version_record record;
    for (const auto& [version, value] : document.items()) {
        const auto state = parse_state(value);
        if (!state || version.empty()) {
            return std::nullopt;
        }
        record[{version}] = *state;
    }
    return record;
}

void apply_record(pool_versions& state, const std::optional<version_record>& record,
                  base::instant now, const version_rules& rules) {
    state.recorded = record.has_value();
    const version_record& stored = record ? *record : version_record{};
    for (auto it = state.known.begin(); it != state.known.end();) {
        const bool is_stored = stored.count(it->first) > 0;
        if (!is_stored && may_be_retired(it->second, now, rules)) {
            it = state.known.erase(it);
            continue;
        }
        if (!is_stored) {
            it->second.state = introduction::announced;
            it->second.announced_at = now;
        }
        ++it;
    }
    for (const auto& [version, introduced] : stored) {
        const auto [found, is_new] = state.known.try_emplace(version);
        if (is_new) {
            found->second.last_running_at = now;
        }
        if (is_new || found->second.state != introduced) {
            found->second.announced_at = now;
        }
        found->second.state = introduced;
    }
}

void record_running(pool_versions& state, const std::set<base::software_version>& running,
                    base::instant now) {
    for (auto& [version, known] : state.known) {
        if (running.count(version) > 0) {
            known.last_running_at = now;
        }
    }
}

std::optional<version_record> next_record(const pool_versions& state, const stored_record& stored,
                                          const std::set<base::software_version>& running,
                                          base::instant now, const version_rules& rules) {
    version_record wanted;
    // Nothing has begun a stream yet, so no entry can take one version for the only one.
    const bool is_first = !stored.versions && state.known.empty();
    for (const auto& version : running) {
        wanted[version] = is_first ? introduction::active : introduction::announced;
    }
    for (const auto& [version, known] : state.known) {
        const bool is_running = running.count(version) > 0;
        if (!is_running && now - known.last_running_at >= rules.retirement_time) {
            continue;
        }
        const bool is_announced = stored.versions && stored.versions->count(version) > 0;
        const bool is_known_everywhere =
            stored.seen_by_all || now - known.announced_at >= rules.introduction_time;
        const bool is_active =
            known.state == introduction::active || (is_announced && is_known_everywhere);
        wanted[version] = is_active ? introduction::active : introduction::announced;
    }
    if (wanted.empty() || wanted == stored.versions) {
        return std::nullopt;
    }
    return wanted;
}

bool may_begin_streams(const pool_versions& state, const base::software_version& version) {
    const auto found = state.known.find(version);
    return state.recorded && found != state.known.end() &&
           found->second.state == introduction::active;
}

bool has_announced_version(const pool_versions& state) {
    return std::any_of(state.known.begin(), state.known.end(), [](const auto& each) {
        return each.second.state == introduction::announced;
    });
}

bool has_several_versions(const pool_versions& state) {
    return state.known.size() > 1;
}

std::optional<base::software_version> only_version(const pool_versions& state) {
    if (!state.recorded || state.known.size() != 1) {
        return std::nullopt;
    }
    return state.known.begin()->first;
}

} // namespace camphorrail::resumption
