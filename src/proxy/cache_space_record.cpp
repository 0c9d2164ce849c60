#include "proxy/cache_space_record.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace camphorrail::proxy {

namespace {

using adapters::importance;
using nlohmann::json;

constexpr base::milliseconds call_pause{1000};
constexpr const char* record_key = "cache_spaces";
constexpr const char* excluded_field = "excluded";

std::string encode_record(const std::set<base::team_id>& excluded) {
    json names = json::array();
    for (const auto& team : excluded) {
        names.push_back(team.value);
    }
    return json{{excluded_field, names}}.dump();
}

std::optional<std::set<base::team_id>> parse_record(const std::string& text) {
    const json read = json::parse(text, nullptr, false);
    if (!read.is_object() || !read.contains(excluded_field) || !read[excluded_field].is_array()) {
        return std::nullopt;
    }
    std::set<base::team_id> excluded;
    for (const auto& name : read[excluded_field]) {
        if (!name.is_string()) {
            return std::nullopt;
        }
        excluded.insert({name.get<std::string>()});
    }
    return excluded;
}

} // namespace

cache_space_record::cache_space_record(entry_context& context, ports::platform platform_calls,
                                       std::function<bool()> is_leader)
    : context(context), platform(std::move(platform_calls)), is_leader(std::move(is_leader)) {}

std::string cache_space_record::key() const {
    return this->context.codec.own_prefix + record_key;
}

void cache_space_record::apply(const std::set<std::string>& keys) {
    const std::string own_key = this->key();
    if (keys.count(own_key) == 0) {
        return;
    }
    auto& state = this->context.state;
    const auto item = state.store.items.find(own_key);
    const auto excluded =
        item == state.store.items.end() ? std::nullopt : parse_record(item->second.value);
    if (item != state.store.items.end() && !excluded) {
        this->context.log.line(importance::keep, "cache_spaces_unreadable")
            .number("revision", item->second.mod_revision.number);
    }
    state.recorded_exclusions = excluded.value_or(std::set<base::team_id>{});
    update_cache_spaces(state);
    this->log_spaces();
}

void cache_space_record::log_spaces() {
    const auto& state = this->context.state;
    if (state.config == nullptr || state.cache_spaces == this->logged) {
        return;
    }
    const bool is_new_space = state.cache_spaces.shared_space != this->logged.shared_space;
    this->logged = state.cache_spaces;
    this->context.log.line(importance::keep, "cache_spaces")
        .number("config_version", state.config->version)
        .number("isolated", static_cast<std::int64_t>(isolated_teams(state).size()))
        .number("excluded", static_cast<std::int64_t>(state.cache_spaces.excluded.size()))
        .number("recorded", static_cast<std::int64_t>(state.recorded_exclusions.size()))
        .flag("shared_space_is_new", is_new_space);
}

void cache_space_record::tick() {
    const auto& state = this->context.state;
    if (this->call_pending || this->context.now() < this->next_call || !this->is_leader()) {
        return;
    }
    const auto isolated = isolated_teams(state);
    if (kvcache::is_record_outdated(isolated, state.recorded_exclusions)) {
        this->write(isolated);
    }
}

void cache_space_record::write(const std::set<base::team_id>& excluded) {
    const std::string own_key = this->key();
    ports::transaction change;
    change.preconditions = {
        {own_key, mirror::store_revision_of(this->context.state.store, own_key)}};
    change.writes = {{own_key, encode_record(excluded), false, 0}};
    this->call_pending = true;
    this->platform.commit(change, [this](const base::result<ports::commit_result>& done) {
        this->call_pending = false;
        this->next_call = this->context.now() + call_pause;
        this->context.log.line(importance::keep, "cache_spaces_written")
            .flag("done", done.has_value() && done.value().applied);
    });
}

} // namespace camphorrail::proxy
