#pragma once

// A stand-in of the platform's metadata store, by the page "The platform's metadata store".

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>

namespace review {

using nlohmann::json;

inline std::string to_base64(const std::string& bytes) {
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t each = 0; each < 3; ++each) {
            group = group << 8U |
                    (at + each < bytes.size() ? static_cast<unsigned char>(bytes[at + each]) : 0U);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            out += at + each > bytes.size() ? '=' : letters[group >> (18 - 6 * each) & 63U];
        }
    }
    return out;
}

inline std::string from_base64(const std::string& text) {
    std::string out;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = -1;
        if (letter >= 'A' && letter <= 'Z') {
            value = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            value = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            value = letter - '0' + 52;
        } else if (letter == '+') {
            value = 62;
        } else if (letter == '/') {
            value = 63;
        }
        if (value < 0) {
            continue;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

class store {
public:
    store() : listener([this](const message& got, channel& to) { return handle(got, to); }) {}

    [[nodiscard]] const std::string& address() const { return listener.address; }

    // Writes as the operator or an engine does. The return is the store's acknowledgement.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard held(mutex);
        write(key, value, 0);
    }
    void erase(const std::string& key) {
        const std::lock_guard held(mutex);
        remove(key);
    }
    [[nodiscard]] std::string value_of(const std::string& key) {
        const std::lock_guard held(mutex);
        const auto found = items.find(key);
        return found == items.end() ? "" : found->second.value;
    }

    // Called before each call; the call is not carried out if it returns false. May be empty.
    std::function<bool(const message&, channel&)> disturb;

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change {
        std::string key;
        std::int64_t revision = 0;
        json told;
    };
    struct lease {
        milliseconds ttl{0};
        clock::time_point until;
    };

    static json to_json(const std::string& key, const item& one) {
        return {{"key", key},
                {"value", to_base64(one.value)},
                {"revision", one.revision},
                {"created", one.created},
                {"lease", one.lease}};
    }

    void write(const std::string& key, const std::string& value, std::int64_t of) {
        auto& one = items[key];
        ++revision;
        one = {value, revision, one.created == 0 ? revision : one.created, of};
        history.push_back({key, revision, to_json(key, one)});
        changed.notify_all();
    }
    void remove(const std::string& key) {
        if (items.erase(key) > 0) {
            ++revision;
            history.push_back(
                {key, revision, {{"key", key}, {"revision", revision}, {"deleted", true}}});
            changed.notify_all();
        }
    }
    void expire() {
        const auto now = clock::now();
        for (auto each = leases.begin(); each != leases.end();) {
            if (now < each->second.until) {
                ++each;
                continue;
            }
            end_lease(each->first);
            each = leases.erase(each);
        }
    }
    void end_lease(std::int64_t number) {
        std::vector<std::string> gone;
        for (const auto& [key, one] : items) {
            if (one.lease == number) {
                gone.push_back(key);
            }
        }
        for (const auto& key : gone) {
            remove(key);
        }
    }

    bool handle(const message& got, channel& to) {
        if (disturb && !disturb(got, to)) {
            return false;
        }
        int status = 200;
        json answer = json::object();
        {
            std::unique_lock held(mutex);
            expire();
            if (got.path() == "/kv-watch") {
                answer = watch(got, held);
            } else {
                status = answer_call(got, answer);
            }
        }
        return to.write(reply(status, {{"Content-Type", "application/json"}}, answer.dump()));
    }

    int answer_call(const message& got, json& answer) {
        const auto path = got.path();
        if (path == "/kv-key") {
            const auto found = items.find(got.query("key"));
            if (found == items.end()) {
                return 404;
            }
            answer = to_json(found->first, found->second);
            answer["asOf"] = revision;
        } else if (path == "/kv-range") {
            answer = {{"items", json::array()}, {"morePages", false}, {"asOf", revision}};
            for (const auto& [key, one] : items) {
                if (key.rfind(got.query("prefix"), 0) != 0 || key <= got.query("after")) {
                    continue;
                }
                if (answer["items"].size() == 500) {
                    answer["morePages"] = true;
                    break;
                }
                answer["items"].push_back(to_json(key, one));
            }
        } else if (path == "/kv-txn") {
            return transact(json::parse(got.body), answer);
        } else if (path == "/kv-lease") {
            const milliseconds ttl(json::parse(got.body).at("ttlMs").get<std::int64_t>());
            leases[++last_lease] = {ttl, clock::now() + ttl};
            answer = {{"lease", last_lease}, {"ttlMs", ttl.count()}};
        } else if (path.rfind("/kv-keep/", 0) == 0) {
            const auto found = leases.find(std::stoll(path.substr(9)));
            if (found == leases.end()) {
                return 404;
            }
            found->second.until = clock::now() + found->second.ttl;
            answer = {{"ttlMs", found->second.ttl.count()}};
        } else if (path.rfind("/kv-lease-end/", 0) == 0) {
            end_lease(std::stoll(path.substr(14)));
            leases.erase(std::stoll(path.substr(14)));
        } else {
            return 404;
        }
        return 200;
    }

    int transact(const json& asked, json& answer) {
        for (const auto& row : asked.value("expected", json::array())) {
            const auto found = items.find(row.at("key").get<std::string>());
            const std::int64_t is = found == items.end() ? 0 : found->second.revision;
            if (is != row.at("revision").get<std::int64_t>()) {
                answer = {{"items", json::array()}};
                return 412;
            }
        }
        for (const auto& put : asked.value("puts", json::array())) {
            const auto of = put.value("lease", std::int64_t{0});
            if (of != 0 && leases.count(of) == 0) {
                return 404;
            }
        }
        for (const auto& put : asked.value("puts", json::array())) {
            write(put.at("key").get<std::string>(), from_base64(put.at("value").get<std::string>()),
                  put.value("lease", std::int64_t{0}));
        }
        for (const auto& key : asked.value("deletes", json::array())) {
            remove(key.get<std::string>());
        }
        answer = {{"revision", revision}};
        return 200;
    }

    json watch(const message& got, std::unique_lock<std::mutex>& held) {
        const auto prefix = got.query("prefix");
        const std::int64_t after = std::stoll(got.query("after"));
        const auto until = clock::now() + milliseconds(std::stoll(got.query("waitMs")));
        while (true) {
            json events = json::array();
            for (const auto& each : history) {
                if (each.revision > after && each.key.rfind(prefix, 0) == 0) {
                    events.push_back(each.told);
                }
            }
            if (!events.empty() || clock::now() >= until) {
                return {{"events", events}, {"asOf", revision}};
            }
            changed.wait_until(held, std::min(until, clock::now() + milliseconds(50)));
            expire();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::deque<change> history;
    std::map<std::int64_t, lease> leases;
    std::int64_t revision = 1;
    std::int64_t last_lease = 0;
    server listener;
};

} // namespace review
