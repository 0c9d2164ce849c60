#include "base/base64.h"
#include "standins/standins.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <list>
#include <map>

namespace camphorrail::standins {

namespace {

using nlohmann::json;

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int conflict = 412;

struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
};

struct change {
    std::string key;
    json told;
    std::int64_t revision = 0;
};

struct watcher {
    adapters::exchange_ptr exchange;
    std::string prefix;
    std::int64_t after = 0;
    base::instant until;
};

struct lease {
    base::milliseconds ttl;
    base::instant until;
};

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

// The platform's metadata store, kept in memory: whole ranges in one page, watches, conditional
// writes and leases.
class metadata_store {
public:
    explicit metadata_store(adapters::event_loop& loop) : loop(&loop) {
        loop.every(base::milliseconds(20), [this] { this->expire(); });
    }

    void handle(const adapters::exchange_ptr& exchange) {
        const std::string& path = exchange->path();
        const auto query = query_of(exchange->target());
        const json body = json::parse(exchange->body(), nullptr, false);
        if (path == "/kv-range") {
            this->range(*exchange, query.at("prefix"));
        } else if (path == "/kv-watch") {
            this->watch(exchange, query);
        } else if (path == "/kv-txn") {
            this->transact(*exchange, body);
        } else if (path == "/kv-lease") {
            const std::int64_t made = ++this->last_lease;
            const base::milliseconds ttl(body.at("ttlMs").get<std::int64_t>());
            this->leases[made] = {ttl, this->now() + ttl};
            reply_json(*exchange, json{{"lease", made}, {"ttlMs", ttl.count()}}.dump());
        } else if (path.rfind("/kv-keep/", 0) == 0) {
            this->keep(*exchange, std::stoll(path.substr(9)));
        } else {
            reply_json(*exchange, "{}", not_found);
        }
    }

private:
    base::instant now() { return this->loop->clock().now(); }

    static json to_json(const std::string& key, const item& held) {
        return {{"key", key},
                {"value", base::to_base64(held.value)},
                {"revision", held.revision},
                {"created", held.created},
                {"lease", held.lease}};
    }

    void range(adapters::http_exchange& exchange, const std::string& prefix) {
        json found = json::array();
        for (const auto& [key, held] : this->items) {
            if (key.rfind(prefix, 0) == 0) {
                found.push_back(to_json(key, held));
            }
        }
        reply_json(exchange,
                   json{{"items", found}, {"morePages", false}, {"asOf", this->revision}}.dump());
    }

    void watch(const adapters::exchange_ptr& exchange,
               const std::map<std::string, std::string>& query) {
        watcher made{exchange, query.at("prefix"), std::stoll(query.at("after")), this->now()};
        made.until += base::milliseconds(std::stoll(query.at("waitMs")));
        if (!this->tell(made)) {
            this->watchers.push_back(std::move(made));
        }
    }

    bool tell(watcher& waiting) {
        json events = json::array();
        for (const auto& each : this->history) {
            if (each.revision > waiting.after && each.key.rfind(waiting.prefix, 0) == 0) {
                events.push_back(each.told);
            }
        }
        if (events.empty() && this->now() < waiting.until) {
            return false;
        }
        reply_json(*waiting.exchange, json{{"events", events}, {"asOf", this->revision}}.dump());
        return true;
    }

    void tell_all() {
        this->watchers.remove_if([this](watcher& each) { return this->tell(each); });
    }

    void transact(adapters::http_exchange& exchange, const json& body) {
        for (const auto& expected : body.at("expected")) {
            const auto held = this->items.find(expected.at("key").get<std::string>());
            const std::int64_t is = held == this->items.end() ? 0 : held->second.revision;
            if (is != expected.at("revision").get<std::int64_t>()) {
                reply_json(exchange, R"({"items":[]})", conflict);
                return;
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
        reply_json(exchange, json{{"revision", this->revision}}.dump());
        this->tell_all();
    }

    void put(const std::string& key, const std::string& value, std::int64_t of_lease) {
        auto& held = this->items[key];
        ++this->revision;
        held = {value, this->revision, held.created == 0 ? this->revision : held.created, of_lease};
        this->history.push_back({key, to_json(key, held), this->revision});
    }

    void erase(const std::string& key) {
        if (this->items.erase(key) == 0) {
            return;
        }
        ++this->revision;
        this->history.push_back(
            {key, {{"key", key}, {"revision", this->revision}, {"deleted", true}}, this->revision});
    }

    void keep(adapters::http_exchange& exchange, std::int64_t number) {
        const auto found = this->leases.find(number);
        if (found == this->leases.end()) {
            reply_json(exchange, "{}", not_found);
            return;
        }
        found->second.until = this->now() + found->second.ttl;
        reply_json(exchange, json{{"ttlMs", found->second.ttl.count()}}.dump(), ok);
    }

    void expire() {
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

    adapters::event_loop* loop;
    std::map<std::string, item> items;
    std::deque<change> history;
    std::list<watcher> watchers;
    std::map<std::int64_t, lease> leases;
    std::int64_t revision = 1;
    std::int64_t last_lease = 0;
};

} // namespace

int run_metadata_store(adapters::event_loop& loop, const options& given) {
    metadata_store store(loop);
    return serve(loop, given,
                 [&store](const adapters::exchange_ptr& exchange) { store.handle(exchange); });
}

} // namespace camphorrail::standins
