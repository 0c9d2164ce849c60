#include "config/delta.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace camphorrail::config {

namespace {

using nlohmann::json;

// The document's lists, and the field that names an item of each.
struct keyed_list {
    const char* field;
    const char* name;
};
constexpr std::array<keyed_list, 4> lists{
    {{"teams", "id"}, {"models", "id"}, {"upstreams", "id"}, {"presets", "name"}}};
constexpr const char* preset_field = "preset_in_force";

std::map<std::string, json> by_name(const json& document, const keyed_list& list) {
    std::map<std::string, json> items;
    for (const auto& item : document.value(list.field, json::array())) {
        items[item.at(list.name).get<std::string>()] = item;
    }
    return items;
}

json changes_of(const std::map<std::string, json>& before,
                const std::map<std::string, json>& after) {
    json set = json::array();
    json drop = json::array();
    for (const auto& [name, item] : after) {
        const auto known = before.find(name);
        if (known == before.end() || known->second != item) {
            set.push_back(item);
        }
    }
    for (const auto& [name, item] : before) {
        if (after.count(name) == 0) {
            drop.push_back(name);
        }
    }
    return {{"set", set}, {"drop", drop}};
}

void apply_to_list(json& document, const keyed_list& list, const json& changes) {
    auto items = by_name(document, list);
    for (const auto& item : changes.at("set")) {
        items[item.at(list.name).get<std::string>()] = item;
    }
    for (const auto& name : changes.at("drop")) {
        items.erase(name.get<std::string>());
    }
    json& made = document[list.field] = json::array();
    for (auto& [name, item] : items) {
        made.push_back(std::move(item));
    }
}

} // namespace

std::string make_changes(const std::string& before, const std::string& after) {
    const json old_document = json::parse(before);
    const json new_document = json::parse(after);
    json changes = json::object();
    for (const auto& list : lists) {
        json of_list = changes_of(by_name(old_document, list), by_name(new_document, list));
        if (!of_list["set"].empty() || !of_list["drop"].empty()) {
            changes[list.field] = std::move(of_list);
        }
    }
    changes[preset_field] = new_document.value(preset_field, "");
    return changes.dump();
}

base::result<std::string> apply_changes(const std::string& document, const std::string& changes) {
    try {
        json made = json::parse(document);
        const json todo = json::parse(changes);
        for (const auto& list : lists) {
            if (todo.contains(list.field)) {
                apply_to_list(made, list, todo.at(list.field));
            }
        }
        made[preset_field] = todo.at(preset_field);
        return made.dump();
    } catch (const json::exception&) {
        return base::code::config_malformed;
    }
}

void append(delta_log& log, delta next) {
    log.newest.push_back(std::move(next));
    const auto bytes = [&log] {
        std::size_t sum = 0;
        for (const auto& item : log.newest) {
            sum += item.changes.size();
        }
        return sum;
    };
    while (log.newest.size() > most_deltas || bytes() > most_delta_bytes) {
        log.newest.erase(log.newest.begin());
    }
}

base::result<std::string> catch_up(const std::string& document, base::config_version have,
                                   const delta_log& log) {
    auto next = std::find_if(log.newest.begin(), log.newest.end(),
                             [have](const delta& item) { return item.from == have; });
    if (next == log.newest.end()) {
        return base::code::config_not_found;
    }
    std::string made = document;
    for (; next != log.newest.end(); ++next) {
        auto applied = apply_changes(made, next->changes);
        if (!applied.has_value()) {
            return applied;
        }
        made = std::move(applied.value());
    }
    return made;
}

std::string to_text(const delta_log& log) {
    json list = json::array();
    for (const auto& item : log.newest) {
        list.push_back({{"from", item.from.value}, {"changes", item.changes}});
    }
    return list.dump();
}

base::result<delta_log> parse_deltas(const std::string& text) {
    try {
        delta_log log;
        for (const auto& item : json::parse(text)) {
            log.newest.push_back(
                {{item.at("from").get<std::int64_t>()}, item.at("changes").get<std::string>()});
        }
        return log;
    } catch (const json::exception&) {
        return base::code::config_malformed;
    }
}

} // namespace camphorrail::config
