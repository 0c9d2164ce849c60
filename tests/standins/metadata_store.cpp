#include "standins/metadata_store.h"

#include "base/base64.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace camphorrail::standins {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int gone = 410;
constexpr int conflict = 412;
// The platform's limit per transaction.
constexpr std::size_t max_entries = 32;
const std::string keep_path = "/kv-keep/";

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> query;
    const auto question = target.find('?');
    std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
    }
    return query;
}

} // namespace

metadata_store::metadata_store(adapters::event_loop& loop) : loop(&loop) {
    loop.every(base::milliseconds(20), [this] { this->expire(); });
}

void metadata_store::handle(const adapters::exchange_ptr& exchange, bool lose) {
    if (this->away) {
        this->unanswered.push_back(exchange);
        return;
    }
    const auto query = query_of(exchange->target());
    if (exchange->path() == "/kv-watch") {
        this->watch(exchange, query);
        return;
    }
    const auto made = this->answer(exchange->path(), query, exchange->body());
    if (lose) {
        exchange->abort();
    } else {
        this->send(*exchange, made);
    }
    this->tell_all();
}

void metadata_store::send(adapters::http_exchange& exchange, const reply& made) const {
    exchange.reply(made.status,
                   {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
                   made.body);
}

metadata_store::reply metadata_store::answer(const std::string& path,
                                             const std::map<std::string, std::string>& query,
                                             const std::string& body) {
    const json asked = json::parse(body, nullptr, false);
    if (path == "/kv-key") {
        return this->one_key(query.at("key"));
    }
    if (path == "/kv-range") {
        return this->range(query.at("prefix"));
    }
    if (path == "/kv-txn") {
        return this->transact(asked);
    }
    if (path == "/kv-lease") {
        return this->grant(asked);
    }
    if (path.rfind(keep_path, 0) == 0) {
        return this->keep(std::stoll(path.substr(keep_path.size())));
    }
    return {not_found, "{}"};
}

base::instant metadata_store::now() {
    return this->loop->clock().now();
}

json metadata_store::to_json(const std::string& key, const item& held) {
    return {{"key", key},
            {"value", base::to_base64(held.value)},
            {"revision", held.revision},
            {"created", held.created},
            {"lease", held.lease}};
}

metadata_store::reply metadata_store::one_key(const std::string& key) const {
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
        return {not_found, "{}"};
    }
    return {ok, to_json(key, found->second).dump()};
}

metadata_store::reply metadata_store::range(const std::string& prefix) const {
    json found = json::array();
    for (const auto& [key, held] : this->items) {
        if (key.rfind(prefix, 0) == 0) {
            found.push_back(to_json(key, held));
        }
    }
    return {ok, json{{"items", found}, {"morePages", false}, {"asOf", this->revision}}.dump()};
}

bool metadata_store::has_history_since(std::int64_t after) const {
    return after >= this->history_start && after <= this->revision;
}

void metadata_store::watch(const adapters::exchange_ptr& exchange,
                           const std::map<std::string, std::string>& query) {
    watcher made{exchange, query.at("prefix"), std::stoll(query.at("after")), this->now()};
    made.until += base::milliseconds(std::stoll(query.at("waitMs")));
    if (!this->has_history_since(made.after)) {
        this->send(*exchange, {gone, "{}"});
        return;
    }
    if (!this->tell(made)) {
        this->watchers.push_back(std::move(made));
    }
}

bool metadata_store::tell(watcher& waiting) {
    json events = json::array();
    for (const auto& each : this->history) {
        if (each.revision > waiting.after && each.key.rfind(waiting.prefix, 0) == 0) {
            events.push_back(json::parse(each.told));
        }
    }
    if (events.empty() && this->now() < waiting.until) {
        return false;
    }
    this->send(*waiting.exchange, {ok, json{{"events", events}, {"asOf", this->revision}}.dump()});
    return true;
}

void metadata_store::tell_all() {
    if (this->away) {
        return;
    }
    this->watchers.remove_if([this](watcher& each) { return this->tell(each); });
}

metadata_store::reply metadata_store::transact(const json& body) {
    const std::size_t entries =
        body.at("expected").size() + body.at("puts").size() + body.at("deletes").size();
    if (entries > max_entries) {
        return {bad_request, "{}"};
    }
    for (const auto& expected : body.at("expected")) {
        const auto held = this->items.find(expected.at("key").get<std::string>());
        const std::int64_t is = held == this->items.end() ? 0 : held->second.revision;
        if (is != expected.at("revision").get<std::int64_t>()) {
            return {conflict, R"({"items":[]})"};
        }
    }
    for (const auto& put : body.at("puts")) {
        this->put(put.at("key").get<std::string>(),
                  base::from_base64(put.at("value").get<std::string>()).value_or(""),
                  put.value("lease", std::int64_t{0}));
    }
    for (const auto& key : body.at("deletes")) {
        this->erase(key.get<std::string>());
    }
    return {ok, json{{"revision", this->revision}}.dump()};
}

metadata_store::reply metadata_store::grant(const json& body) {
    const std::int64_t made = ++this->last_lease;
    const base::milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
    this->leases[made] = {ttl, this->now() + ttl};
    return {ok, json{{"lease", made}, {"ttlMs", ttl.count()}}.dump()};
}

void metadata_store::put(const std::string& key, const std::string& value, std::int64_t of_lease) {
    auto& held = this->items[key];
    ++this->revision;
    held = {value, this->revision, held.created == 0 ? this->revision : held.created, of_lease};
    this->history.push_back({key, to_json(key, held).dump(), this->revision});
}

void metadata_store::erase(const std::string& key) {
    if (this->items.erase(key) == 0) {
        return;
    }
    ++this->revision;
    this->history.push_back(
        {key, json{{"key", key}, {"revision", this->revision}, {"deleted", true}}.dump(),
         this->revision});
}

std::string metadata_store::value_of(const std::string& key) const {
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::string() : found->second.value;
}

void metadata_store::save_copy() {
    this->copy = saved_state{this->items, this->leases, this->revision, this->last_lease};
}

void metadata_store::go_away() {
    this->away = true;
}

bool metadata_store::return_from_copy(open_watches watches) {
    if (!this->copy) {
        return false;
    }
    this->items = this->copy->items;
    this->leases = this->copy->leases;
    this->revision = this->copy->revision;
    this->last_lease = this->copy->last_lease;
    for (auto& [number, held] : this->leases) {
        held.until = this->now() + held.ttl;
    }
    this->history.clear();
    this->history_start = this->revision;
    ++this->era;
    this->away = false;
    for (auto& each : this->watchers) {
        this->unanswered.push_back(std::move(each.exchange));
    }
    this->watchers.clear();
    if (watches == open_watches::cut) {
        for (const auto& each : std::exchange(this->unanswered, {})) {
            each->abort();
        }
    }
    return true;
}

metadata_store::reply metadata_store::keep(std::int64_t number) {
    const auto found = this->leases.find(number);
    if (found == this->leases.end()) {
        return {not_found, "{}"};
    }
    found->second.until = this->now() + found->second.ttl;
    return {ok, json{{"ttlMs", found->second.ttl.count()}}.dump()};
}

void metadata_store::expire() {
    if (this->away) {
        return;
    }
    const base::instant at = this->now();
    for (auto it = this->leases.begin(); it != this->leases.end();) {
        if (at < it->second.until) {
            ++it;
            continue;
        }
        std::vector<std::string> gone;
        for (const auto& [key, held] : this->items) {
            if (held.lease == it->first) {
                gone.push_back(key);
            }
        }
        for (const auto& key : gone) {
            this->erase(key);
        }
        it = this->leases.erase(it);
    }
    this->tell_all();
}

} // namespace camphorrail::standins
