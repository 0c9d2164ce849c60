#include "adapters/http_platform.h"

#include "adapters/http_client.h"
#include "base/base64.h"

#include <nlohmann/json.hpp>

namespace camphorrail::adapters {

namespace {

using nlohmann::json;

constexpr std::size_t max_answer_bytes = 64U << 20U;
constexpr int http_ok = 200;

// The first key after all that start with the prefix.
std::string end_of(std::string prefix) {
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

// The gateway writes 64-bit numbers as texts and leaves out those that are 0.
std::int64_t whole(const json& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return 0;
    }
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

ports::snapshot read_snapshot(const json& answer) {
    ports::snapshot read;
    read.revision = whole(answer.at("header"), "revision");
    for (const auto& item : answer.value("kvs", json::array())) {
        read.values.push_back({base::from_base64(item.at("key").get<std::string>()).value_or(""),
                               base::from_base64(item.value("value", "")).value_or(""),
                               whole(item, "mod_revision")});
    }
    return read;
}

json to_json(const ports::transaction& change) {
    json compare = json::array();
    for (const auto& expected : change.preconditions) {
        compare.push_back({{"key", base::to_base64(expected.key)},
                           {"target", "MOD"},
                           {"result", "EQUAL"},
                           {"mod_revision", std::to_string(expected.mod_revision.number)}});
    }
    json success = json::array();
    for (const auto& item : change.writes) {
        if (item.erase) {
            success.push_back({{"requestDeleteRange", {{"key", base::to_base64(item.key)}}}});
        } else {
            success.push_back({{"requestPut",
                                {{"key", base::to_base64(item.key)},
                                 {"value", base::to_base64(item.value)},
                                 {"lease", std::to_string(item.lease)}}}});
        }
    }
    return {{"compare", compare}, {"success", success}};
}

struct gateway {
    event_base* base;
    std::string endpoint;
    base::milliseconds timeout;

    // Posts a request and reads the answer with `read`; any failure on the way is unreachable or
    // malformed, never an exception.
    template <class Value, class Read>
    void post(const std::string& path, const json& body, Read read,
              std::function<void(base::result<Value>)> done) const {
        http_fetch(this->base, this->endpoint,
                   {"POST", path, {{"Content-Type", "application/json"}}, body.dump()},
                   {this->timeout, false}, max_answer_bytes,
                   [read, done](base::result<http_answer> answer) {
                       base::result<Value> value = base::code::platform_unreachable;
                       if (answer.has_value() && answer.value().status == http_ok) {
                           try {
                               value = read(json::parse(answer.value().body));
                           } catch (const std::exception&) {
                               value = base::code::platform_answer_malformed;
                           }
                       }
                       done(std::move(value));
                   });
    }
};

} // namespace

ports::platform make_http_platform(event_base* base, const std::string& endpoint,
                                   base::milliseconds timeout) {
    const gateway at{base, endpoint, timeout};
    ports::platform made;
    made.read = [at](const std::string& prefix, auto done) {
        at.post<ports::snapshot>(
            "/v3/kv/range",
            {{"key", base::to_base64(prefix)}, {"range_end", base::to_base64(end_of(prefix))}},
            read_snapshot, std::move(done));
    };
    made.read_key = [at](const std::string& key, ports::read_consistency wanted, auto done) {
        at.post<std::optional<ports::stored_value>>(
            "/v3/kv/range",
            {{"key", base::to_base64(key)},
             {"serializable", wanted == ports::read_consistency::stale_allowed}},
            [](const json& answer) -> std::optional<ports::stored_value> {
                const auto read = read_snapshot(answer);
                return read.values.empty() ? std::nullopt : std::optional(read.values.front());
            },
            std::move(done));
    };
    made.revision = [at](const std::string& key, auto done) {
        at.post<std::int64_t>(
            "/v3/kv/range", {{"key", base::to_base64(key)}, {"keys_only", true}},
            [](const json& answer) {
                const auto found = answer.value("kvs", json::array());
                return found.empty() ? std::int64_t{0} : whole(found.front(), "mod_revision");
            },
            std::move(done));
    };
    made.commit = [at](const ports::transaction& change, auto done) {
        at.post<ports::commit_result>(
            "/v3/kv/txn", to_json(change),
            [](const json& answer) {
                return ports::commit_result{answer.value("succeeded", false),
                                            whole(answer.at("header"), "revision")};
            },
            std::move(done));
    };
    made.grant_lease = [at](std::int64_t seconds, auto done) {
        at.post<ports::lease>(
            "/v3/lease/grant", {{"TTL", std::to_string(seconds)}},
            [](const json& answer) { return ports::lease{whole(answer, "ID")}; }, std::move(done));
    };
    made.renew_lease = [at](const ports::lease& lease, auto done) {
        at.post<ports::lease_renewal>(
            "/v3/lease/keepalive", {{"ID", std::to_string(lease.id)}},
            [](const json& answer) {
                return ports::lease_renewal{whole(answer.at("result"), "TTL") > 0};
            },
            std::move(done));
    };
    return made;
}

} // namespace camphorrail::adapters
