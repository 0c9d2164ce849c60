#include "base/base64.h"
#include "standins/standins.h"

#include <nlohmann/json.hpp>

#include <map>

namespace camphorrail::standins {

namespace {

using nlohmann::json;

std::int64_t whole(const json& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

std::string decoded(const std::string& text) {
    return base::from_base64(text).value_or("");
}

struct value {
    std::string text;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
};

struct lease {
    std::int64_t seconds = 0;
    base::instant until;
};

struct store {
    std::map<std::string, value> values;
    std::map<std::int64_t, lease> leases;
    std::int64_t revision = 1;
    std::int64_t next_lease = 1;
    std::int64_t calls = 0;
    std::string mode = "up";

    void expire(base::instant now) {
        for (auto found = this->leases.begin(); found != this->leases.end();) {
            if (now < found->second.until) {
                ++found;
                continue;
            }
            const std::int64_t gone = found->first;
            std::erase_if(this->values,
                          [gone](const auto& item) { return item.second.lease == gone; });
            ++this->revision;
            found = this->leases.erase(found);
        }
    }

    [[nodiscard]] json header() const { return {{"revision", std::to_string(this->revision)}}; }

    [[nodiscard]] json range(const json& ask) const {
        const std::string from = decoded(ask.at("key").get<std::string>());
        const std::string to = decoded(ask.value("range_end", ""));
        json found = json::array();
        for (auto item = this->values.lower_bound(from);
             item != this->values.end() && (item->first == from || item->first < to); ++item) {
            const bool keys_only = ask.value("keys_only", false);
            found.push_back({{"key", base::to_base64(item->first)},
                             {"value", keys_only ? "" : base::to_base64(item->second.text)},
                             {"mod_revision", std::to_string(item->second.revision)}});
        }
        return {{"header", this->header()}, {"kvs", found}};
    }

    json commit(const json& ask) {
        for (const auto& compare : ask.value("compare", json::array())) {
            const auto found = this->values.find(decoded(compare.at("key").get<std::string>()));
            const std::int64_t present = found == this->values.end() ? 0 : found->second.revision;
            if (present != whole(compare, "mod_revision")) {
                return {{"header", this->header()}};
            }
        }
        ++this->revision;
        for (const auto& change : ask.value("success", json::array())) {
            if (change.contains("requestPut")) {
                const auto& put = change["requestPut"];
                this->values[decoded(put.at("key").get<std::string>())] = {
                    decoded(put.value("value", "")), this->revision, whole(put, "lease")};
            } else {
                this->values.erase(
                    decoded(change.at("requestDeleteRange").at("key").get<std::string>()));
            }
        }
        return {{"header", this->header()}, {"succeeded", true}};
    }

    json grant(const json& ask, base::instant now) {
        const std::int64_t id = this->next_lease++;
        const std::int64_t seconds = whole(ask, "TTL");
        this->leases[id] = {seconds, now + base::seconds(seconds)};
        return {{"ID", std::to_string(id)}, {"TTL", std::to_string(seconds)}};
    }

    json keep(const json& ask, base::instant now) {
        const auto found = this->leases.find(whole(ask, "ID"));
        if (found == this->leases.end()) {
            return {{"result", {{"ID", "0"}}}};
        }
        found->second.until = now + base::seconds(found->second.seconds);
        return {{"result", {{"TTL", std::to_string(found->second.seconds)}}}};
    }
};

json answer(store& held, const std::string& path, const json& ask, base::instant now) {
    ++held.calls;
    held.expire(now);
    if (path == "/v3/kv/range") {
        return held.range(ask);
    }
    if (path == "/v3/kv/txn") {
        return held.commit(ask);
    }
    if (path == "/v3/lease/grant") {
        return held.grant(ask, now);
    }
    return held.keep(ask, now);
}

} // namespace

int run_key_value(adapters::event_loop& loop, const options& given) {
    store held;
    return serve(loop, given, [&held, &loop](const adapters::exchange_ptr& exchange) {
        if (exchange->path() == "/admin/mode") {
            held.mode = exchange->body();
            reply_json(*exchange, "{}");
            return;
        }
        if (exchange->path() == "/admin/calls") {
            reply_json(*exchange, std::to_string(held.calls));
            return;
        }
        if (held.mode == "down") {
            return; // the caller's own timeout ends this
        }
        const json ask = json::parse(exchange->body(), nullptr, false);
        const json done = answer(held, exchange->path(), ask, loop.clock().now());
        if (held.mode != "lose") {
            reply_json(*exchange, done.dump());
        }
    });
}

} // namespace camphorrail::standins
