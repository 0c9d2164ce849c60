#include "config/configuration.h"

#include "config/json_reader.h"

#include <algorithm>
#include <set>

namespace camphorrail::config {

namespace {

constexpr double highest_priority = 9;
constexpr double largest_share = 1e6;
constexpr double longest_target_ms = 600000;
constexpr double longest_grace_s = 3600;

application parse_application(json_reader& reader) {
    application parsed;
    parsed.name = reader.name("name");
    parsed.priority = static_cast<int>(reader.number("priority", 5, 0, highest_priority));
    parsed.first_token_target = base::milliseconds(
        static_cast<std::int64_t>(reader.number("first_token_ms", 2000, 1, longest_target_ms)));
    parsed.key_hashes = reader.texts("key_hashes");
    reader.finish();
    return parsed;
}

team parse_team(json_reader& reader) {
    team parsed;
    parsed.id.value = reader.name("id");
    parsed.share = reader.number("share", 1.0, 0.0, largest_share);
    for (json_reader& item : reader.items("applications")) {
        parsed.applications.push_back(parse_application(item));
    }
    reader.finish();
    return parsed;
}

model parse_model(json_reader& reader) {
    model parsed{{reader.name("id")}, reader.text("weights", "")};
    reader.finish();
    return parsed;
}

upstream_kind parse_kind(json_reader& reader) {
    const std::string kind = reader.text("kind", "engine");
    if (kind != "engine" && kind != "service") {
        reader.report(base::code::config_bad_value, "kind", "must be engine or service");
    }
    return kind == "service" ? upstream_kind::service : upstream_kind::engine;
}

upstream_state parse_state(json_reader& reader) {
    const std::string state = reader.text("state", "serving");
    if (state != "serving" && state != "draining") {
        reader.report(base::code::config_bad_value, "state", "must be serving or draining");
    }
    return state == "draining" ? upstream_state::draining : upstream_state::serving;
}

upstream parse_upstream(json_reader& reader) {
    upstream parsed;
    parsed.id.value = reader.name("id");
    parsed.kind = parse_kind(reader);
    parsed.state = parse_state(reader);
    parsed.link = reader.text("link", "");
    if (parsed.link.empty()) {
        reader.report(base::code::config_bad_value, "link", "must be IP:PORT of the agent");
    }
    parsed.zone.value = reader.text("availability_zone", "");
    parsed.serves = reader.texts("serves");
    parsed.adapters = reader.texts("adapters");
    parsed.checks_fencing = reader.flag("checks_fencing", false);
    parsed.repeatable = reader.flag("repeatable", parsed.kind == upstream_kind::engine);
    reader.finish();
    return parsed;
}

preset parse_preset(json_reader& reader) {
    preset parsed;
    parsed.name = reader.name("name");
    parsed.lowest_priority =
        static_cast<int>(reader.number("lowest_priority", 0, 0, highest_priority));
    parsed.wait_to_target = reader.number("wait_to_target", 1.0, 0.1, 100.0);
    parsed.shares = reader.weights("shares");
    parsed.outage_grace = base::seconds(
        static_cast<std::int64_t>(reader.number("outage_grace_s", 0, 0, longest_grace_s)));
    reader.finish();
    return parsed;
}

template <class Item, class Name>
void check_unique(const std::vector<Item>& items, Name name, const std::string& field,
                  std::vector<config_fault>& faults) {
    std::set<std::string> seen;
    for (const Item& item : items) {
        if (!seen.insert(name(item)).second) {
            faults.push_back(
                {base::code::config_duplicate, field, "'" + name(item) + "' stands twice"});
        }
    }
}

void check_keys(const configuration& config, std::vector<config_fault>& faults) {
    std::vector<std::string> hashes;
    for (const team& owner : config.teams) {
        for (const application& app : owner.applications) {
            hashes.insert(hashes.end(), app.key_hashes.begin(), app.key_hashes.end());
        }
    }
    check_unique(
        hashes, [](const std::string& hash) { return hash; }, "key_hashes", faults);
}

void check_whole(const configuration& config, std::vector<config_fault>& faults) {
    check_unique(
        config.teams, [](const team& item) { return item.id.value; }, "teams", faults);
    check_unique(
        config.models, [](const model& item) { return item.id.value; }, "models", faults);
    check_unique(
        config.upstreams, [](const upstream& item) { return item.id.value; }, "upstreams", faults);
    check_unique(
        config.presets, [](const preset& item) { return item.name; }, "presets", faults);
    check_keys(config, faults);
    const bool in_force =
        std::any_of(config.presets.begin(), config.presets.end(),
                    [&config](const preset& item) { return item.name == config.preset_in_force; });
    if (!in_force) {
        faults.push_back(
            {base::code::config_bad_value, "preset_in_force", "must name one of the presets"});
    }
}

nlohmann::ordered_json to_json(const team& item) {
    nlohmann::ordered_json applications = nlohmann::ordered_json::array();
    for (const application& app : item.applications) {
        applications.push_back({{"name", app.name},
                                {"priority", app.priority},
                                {"first_token_ms", app.first_token_target.count()},
                                {"key_hashes", app.key_hashes}});
    }
    return {{"id", item.id.value}, {"share", item.share}, {"applications", applications}};
}

nlohmann::ordered_json to_json(const upstream& item) {
    return {{"id", item.id.value},
            {"kind", item.kind == upstream_kind::service ? "service" : "engine"},
            {"state", item.state == upstream_state::draining ? "draining" : "serving"},
            {"link", item.link},
            {"availability_zone", item.zone.value},
            {"serves", item.serves},
            {"adapters", item.adapters},
            {"checks_fencing", item.checks_fencing},
            {"repeatable", item.repeatable}};
}

nlohmann::ordered_json to_json(const preset& item) {
    nlohmann::ordered_json shares = nlohmann::ordered_json::object();
    for (const auto& [name, share] : item.shares) {
        shares[name] = share;
    }
    return {{"name", item.name},
            {"lowest_priority", item.lowest_priority},
            {"wait_to_target", item.wait_to_target},
            {"shares", shares},
            {"outage_grace_s", item.outage_grace.count()}};
}

template <class Item>
nlohmann::ordered_json to_json_list(const std::vector<Item>& items) {
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const Item& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

} // namespace

parsed_configuration parse_configuration(const std::string& text, base::config_version version) {
    parsed_configuration parsed;
    parsed.config.version = version;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        parsed.faults.push_back({base::code::config_malformed, "", "is not JSON"});
        return parsed;
    }
    json_reader reader(document, "", parsed.faults);
    for (json_reader& item : reader.items("teams")) {
        parsed.config.teams.push_back(parse_team(item));
    }
    for (json_reader& item : reader.items("models")) {
        parsed.config.models.push_back(parse_model(item));
    }
    for (json_reader& item : reader.items("upstreams")) {
        parsed.config.upstreams.push_back(parse_upstream(item));
    }
    for (json_reader& item : reader.items("presets")) {
        parsed.config.presets.push_back(parse_preset(item));
    }
    parsed.config.preset_in_force = reader.text("preset_in_force", "");
    reader.finish();
    check_whole(parsed.config, parsed.faults);
    return parsed;
}

std::string to_document(const configuration& config) {
    nlohmann::ordered_json models = nlohmann::ordered_json::array();
    for (const model& item : config.models) {
        models.push_back({{"id", item.id.value}, {"weights", item.weights}});
    }
    const nlohmann::ordered_json document{{"teams", to_json_list(config.teams)},
                                          {"models", models},
                                          {"upstreams", to_json_list(config.upstreams)},
                                          {"presets", to_json_list(config.presets)},
                                          {"preset_in_force", config.preset_in_force}};
    return document.dump(1);
}

configuration initial_configuration() {
    configuration config;
    config.presets.push_back({"ordinary"});
    config.preset_in_force = "ordinary";
    return config;
}

const preset& current_preset(const configuration& config) {
    for (const preset& item : config.presets) {
        if (item.name == config.preset_in_force) {
            return item;
        }
    }
    static const preset fallback{"ordinary"};
    return fallback;
}

} // namespace camphorrail::config
