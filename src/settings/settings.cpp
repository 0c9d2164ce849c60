#include "settings/settings.h"

#include "settings/yaml_reader.h"

#include <fstream>
#include <sstream>

namespace camphorrail::settings {

namespace {

// Agents are many and hear of changes from entries as well.
constexpr base::milliseconds entry_poll{1000};
constexpr base::milliseconds agent_poll{5000};
constexpr number_range poll_range{100, 600000};
constexpr number_range timeout_range{10, 600000};
constexpr number_range body_range{1024, 64 << 20};
constexpr number_range header_range{1024, 1 << 20};
constexpr number_range buffer_range{4096, 16 << 20};
constexpr number_range idle_range{1, 3600};
constexpr number_range events_range{0, 1000000};
constexpr number_range slots_range{1, 10000};
constexpr number_range memory_range{0, 1 << 20};
constexpr double most_slack = 1e6;
constexpr double most_quota_slack = 1e12;

platform_settings parse_platform(yaml_reader reader, base::milliseconds poll) {
    platform_settings parsed;
    parsed.poll = poll;
    parsed.endpoint = reader.address("endpoint");
    parsed.poll = base::milliseconds(reader.number("poll_ms", parsed.poll.count(), poll_range));
    parsed.timeout =
        base::milliseconds(reader.number("timeout_ms", parsed.timeout.count(), timeout_range));
    parsed.agreements = reader.words("agreements");
    reader.finish();
    return parsed;
}

limit_settings parse_limits(yaml_reader reader) {
    limit_settings parsed;
    parsed.max_body_bytes = reader.number("max_body_bytes", parsed.max_body_bytes, body_range);
    parsed.max_header_bytes =
        reader.number("max_header_bytes", parsed.max_header_bytes, header_range);
    parsed.caller_buffer_bytes =
        reader.number("caller_buffer_bytes", parsed.caller_buffer_bytes, buffer_range);
    parsed.request_timeout = base::milliseconds(
        reader.number("request_timeout_ms", parsed.request_timeout.count(), timeout_range));
    parsed.idle_timeout =
        base::seconds(reader.number("idle_timeout_s", parsed.idle_timeout.count(), idle_range));
    parsed.memory_mb = reader.number("memory_mb", parsed.memory_mb, memory_range);
    reader.finish();
    return parsed;
}

timeline_settings parse_timeline(yaml_reader reader) {
    timeline_settings parsed;
    parsed.events = reader.number("events", parsed.events, events_range);
    reader.finish();
    return parsed;
}

entry_settings parse_entry(yaml_reader& reader) {
    entry_settings parsed;
    parsed.id.value = reader.text("id");
    parsed.zone.value = reader.text("availability_zone");
    parsed.listen = reader.address("listen");
    parsed.operators_listen = reader.address("operators_listen");
    parsed.vm_list = reader.address("vm_list", "");
    parsed.bootstrap = reader.addresses("bootstrap");
    parsed.platform = parse_platform(reader.section("platform"), entry_poll);
    parsed.limits = parse_limits(reader.section("limits"));
    parsed.timeline = parse_timeline(reader.section("timeline"));
    return parsed;
}

agent_settings parse_agent(yaml_reader& reader) {
    agent_settings parsed;
    parsed.id.value = reader.text("id");
    parsed.zone.value = reader.text("availability_zone");
    parsed.listen = reader.address("listen");
    parsed.operators_listen = reader.address("operators_listen");
    parsed.upstream = reader.address("upstream");
    parsed.vm = reader.text("vm", parsed.id.value);
    parsed.max_running = reader.number("max_running", parsed.max_running, slots_range);
    parsed.max_prefilling = reader.number("max_prefilling", parsed.max_prefilling, slots_range);
    parsed.max_waiting = reader.number("max_waiting", parsed.max_waiting, slots_range);
    parsed.platform = parse_platform(reader.section("platform"), agent_poll);
    parsed.limits = parse_limits(reader.section("limits"));
    parsed.timeline = parse_timeline(reader.section("timeline"));
    return parsed;
}

base::milliseconds read_span(yaml_reader& reader, const std::string& key,
                             base::milliseconds fallback) {
    return base::milliseconds(reader.number(key, fallback.count(), timeout_range));
}

bound_settings parse_bounds(yaml_reader reader) {
    bound_settings parsed;
    parsed.revoke = read_span(reader, "revoke_ms", parsed.revoke);
    parsed.drain = read_span(reader, "drain_ms", parsed.drain);
    parsed.grace = base::seconds(reader.number("grace_s", parsed.grace.count(), idle_range));
    parsed.retry_ratio = reader.fraction("retry_ratio", parsed.retry_ratio, 1.0);
    parsed.retry_slack = reader.fraction("retry_slack", parsed.retry_slack, most_slack);
    parsed.retry_window =
        base::seconds(reader.number("retry_window_s", parsed.retry_window.count(), idle_range));
    parsed.quota_window =
        base::seconds(reader.number("quota_window_s", parsed.quota_window.count(), idle_range));
    parsed.quota_excess = reader.fraction("quota_excess", parsed.quota_excess, 1.0);
    parsed.quota_slack = reader.fraction("quota_slack", parsed.quota_slack, most_quota_slack);
    parsed.lease = read_span(reader, "lease_ms", parsed.lease);
    parsed.outdated_weights = read_span(reader, "outdated_weights_ms", parsed.outdated_weights);
    reader.finish();
    return parsed;
}

feature_settings parse_features(yaml_reader reader) {
    feature_settings parsed;
    parsed.team_shares = reader.flag("team_shares", parsed.team_shares);
    parsed.rank_queueing = reader.flag("rank_queueing", parsed.rank_queueing);
    parsed.shared_suspicion = reader.flag("shared_suspicion", parsed.shared_suspicion);
    parsed.memory_budget = reader.flag("memory_budget", parsed.memory_budget);
    reader.finish();
    return parsed;
}

std::int64_t parse_memory(yaml_reader reader) {
    const std::int64_t memory_mb = reader.number("memory_mb", default_memory_mb, memory_range);
    reader.finish();
    return memory_mb;
}

proxy_settings parse_proxy(yaml_reader& reader) {
    proxy_settings parsed;
    parsed.id.value = reader.text("id");
    parsed.zone.value = reader.text("availability_zone");
    parsed.listen = reader.address("listen");
    parsed.ready_listen = reader.address("ready_listen");
    parsed.operators_listen = reader.address("operators_listen");
    parsed.peer_listen = reader.address("peer_listen");
    parsed.platform = parse_platform(reader.section("platform"), entry_poll);
    parsed.bounds = parse_bounds(reader.section("bounds"));
    parsed.features = parse_features(reader.section("features"));
    parsed.memory_mb = parse_memory(reader.section("limits"));
    parsed.timeline = parse_timeline(reader.section("timeline"));
    return parsed;
}

} // namespace

feature_settings combine(const feature_settings& left, const feature_settings& right) {
    return {left.team_shares || right.team_shares, left.rank_queueing || right.rank_queueing,
            left.shared_suspicion || right.shared_suspicion,
            left.memory_budget || right.memory_budget};
}

parsed_settings parse_settings(const std::string& text) {
    parsed_settings parsed;
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception& error) {
        parsed.faults.push_back({base::code::settings_syntax, error.mark.line + 1, error.msg});
        return parsed;
    }
    yaml_reader reader(root, "", parsed.faults);
    const std::string role = reader.text("role");
    if (role == "entry") {
        parsed.settings = parse_entry(reader);
    } else if (role == "agent") {
        parsed.settings = parse_agent(reader);
    } else if (role == "proxy") {
        parsed.settings = parse_proxy(reader);
    } else {
        parsed.faults.push_back(
            {base::code::settings_bad_value, 1, "'role' must be entry, agent or proxy"});
        return parsed;
    }
    reader.finish();
    return parsed;
}

parsed_settings load_settings(const std::string& file) {
    std::ifstream input(file);
    if (!input) {
        parsed_settings parsed;
        parsed.faults.push_back({base::code::settings_unreadable, 0, "the file can't be read"});
        return parsed;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parse_settings(text.str());
}

} // namespace camphorrail::settings
