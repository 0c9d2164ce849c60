#include "adapters/http_client.h"
#include "base/base64.h"
#include "standins/standins.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>

namespace camphorrail::standins {

namespace {

using nlohmann::json;

constexpr int accepted = 202;
constexpr int conflict = 409;
constexpr int internal_error = 500;
constexpr int unavailable = 503;
constexpr base::milliseconds store_timeout{1000};
constexpr base::milliseconds event_pause{50};
// It has begun to run a call that crashes it when it ends.
constexpr base::milliseconds crash_after{50};
// The part of a prompt that crashes it.
constexpr const char* fatal_part = "fa7a1";

// An engine as the users' platform runs it: it lists itself in the metadata store, streams events
// that may be resumed, answers plain calls, and takes orders to load weights.
class platform_engine {
public:
    platform_engine(adapters::event_loop& loop, const options& given)
        : loop(&loop), born(loop.clock().wall_ms()), id(option(given, "id", "i-1")),
          pool(option(given, "pool", "pool")), address(option(given, "listen", "")),
          store(option(given, "store", "")), events(number(given, "events", 10)),
          event_bytes(number(given, "event-bytes", 0)),
          loses_answers(option(given, "loses", "") == "yes"),
          says_leaving(option(given, "leaving", "") == "yes"), pause(option(given, "pause", "")),
          software(option(given, "software", "v1")), breaks_after(number(given, "breaks", 0)),
          breaks_by(option(given, "breaks-by", "close")),
          ends_by_close(option(given, "ends-by", "") == "close"),
          fails(option(given, "fails", "") == "yes"),
          shows_arrivals(option(given, "arrivals", "") == "yes") {
        this->list();
    }

    void handle(const adapters::exchange_ptr& exchange) {
        if (exchange->path() == "/report") {
            reply_json(*exchange, json{{"born", this->born},
                                       {"models", this->models()},
                                       {"busy", false},
                                       {"seq", this->orders},
                                       {"queued", 0},
                                       {"running", 0}}
                                      .dump());
        } else if (exchange->path() == "/order") {
            this->order(*exchange);
        } else if (exchange->path() == "/admin/limit") {
            this->limit = exchange->body();
            reply_json(*exchange, "{}");
        } else {
            this->take_call(exchange);
        }
    }

private:
    void take_call(const adapters::exchange_ptr& exchange) {
        if (this->shows_arrivals) {
            std::cout << "arrived " << exchange->header("Request-Id") << " at "
                      << this->loop->clock().wall_ms() << std::endl;
        }
        const bool is_fatal =
            exchange->body().find("fatal") != std::string::npos ||
            exchange->header("Prompt-Prefix").find(fatal_part) != std::string::npos;
        this->cache_prompt(*exchange);
        if (is_fatal) {
            std::cout << "ran " << exchange->header("Request-Id") << std::endl;
            this->loop->after(crash_after, [] { std::_Exit(1); });
        } else if (this->fails) {
            exchange->reply(internal_error, this->fields(*exchange, "application/json"), "{}");
        } else if (!this->pause.empty()) {
            std::cout << "turned away " << exchange->header("Request-Id") << std::endl;
            auto all = this->fields(*exchange, "application/json");
            all.emplace_back("Not-Executed", "1");
            all.emplace_back("Retry-After", this->pause);
            exchange->reply(unavailable, all, "");
        } else if (exchange->path().rfind("/stream/", 0) == 0) {
            this->stream(exchange);
        } else if (this->loses_answers) {
            std::cout << "ran " << exchange->header("Request-Id") << std::endl;
            exchange->abort();
        } else {
            std::cout << "ran " << exchange->header("Request-Id") << std::endl;
            this->loop->after(run_time(exchange->body()),
                              [this, exchange] { this->answer(*exchange); });
        }
    }

    // How long a plain call runs, which its body may say.
    static base::milliseconds run_time(const std::string& body) {
        const json wanted = json::parse(body, nullptr, false);
        return base::milliseconds(wanted.is_object() ? wanted.value("run_ms", 0) : 0);
    }

    // Prints whose requests made the parts of the prompt that are found in the cache, and caches
    // the others. A part is found only behind the same parts and under the same text.
    void cache_prompt(const adapters::http_exchange& exchange) {
        std::istringstream parts(exchange.header("Prompt-Prefix"));
        const std::string team = exchange.header("Tenant-Id");
        std::string place = exchange.header("Cache-Salt");
        bool found = true;
        for (std::string part; std::getline(parts, part, ',');) {
            place += "|" + part;
            const auto [cached, is_new] = this->makers.try_emplace(place, team);
            found = found && !is_new;
            if (found) {
                std::cout << "prompt " << exchange.header("Request-Id") << " of " << team
                          << " found " << part << " of " << cached->second << std::endl;
            }
        }
    }

    void answer(adapters::http_exchange& exchange) const {
        const std::string body = R"({"done":true})";
        const auto all = this->fields(exchange, "application/json");
        if (!this->ends_by_close) {
            exchange.reply(200, all, body);
            return;
        }
        exchange.start_until_close(200, all);
        exchange.send(body);
        exchange.end();
    }

    [[nodiscard]] json models() const {
        return json::array({{{"name", "m0"}, {"version", this->version}}});
    }

    [[nodiscard]] ports::headers fields(const adapters::http_exchange& exchange,
                                        const std::string& type) const {
        ports::headers all{{"Request-Id", exchange.header("Request-Id")},
                           {"Response-Stamp", "stamp-" + this->id},
                           {"Content-Type", type},
                           {"Weight-Versions", std::to_string(this->version)},
                           {"Server-Load", "1,0,8"}};
        if (this->says_leaving) {
            all.emplace_back("Server-Leaving", "1");
        }
        if (!this->limit.empty()) {
            all.emplace_back("Server-Limit", this->limit);
        }
        return all;
    }

    void list() {
        const json entry{{"service", this->pool},
                         {"address", this->address},
                         {"zone", "a"},
                         {"version", this->software},
                         {"slots", 8},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"seq", 1},
                         {"born", this->born},
                         {"models", this->models()}};
        const json change{{"expected", json::array()},
                          {"puts",
                           {{{"key", "servers/" + this->id},
                             {"value", base::to_base64(entry.dump())},
                             {"lease", 0}}}},
                          {"deletes", json::array()}};
        adapters::http_fetch(this->loop->base(), this->store,
                             {"POST", "/kv-txn", {}, change.dump()}, {store_timeout, false},
                             1U << 20U, [this](const base::result<adapters::http_answer>& done) {
                                 if (!done.has_value()) {
                                     this->loop->after(event_pause, [this] { this->list(); });
                                 }
                             });
    }

    void order(adapters::http_exchange& exchange) {
        const json wanted = json::parse(exchange.body(), nullptr, false);
        if (wanted.value("expected", this->orders) != this->orders) {
            reply_json(exchange, "{}", conflict);
            return;
        }
        ++this->orders;
        this->version = wanted.at("version").get<std::int64_t>();
        reply_json(exchange, "{}", accepted);
        this->list();
    }

    void stream(const adapters::exchange_ptr& exchange) {
        const std::string after = exchange->header("Last-Event-Id");
        const auto all = this->fields(*exchange, "text/event-stream");
        if (this->ends_by_close) {
            exchange->start_until_close(200, all);
        } else {
            exchange->start(200, all);
        }
        const std::int64_t breaks_at =
            after.empty() && this->breaks_after > 0 ? this->breaks_after : this->events + 1;
        this->send_event(exchange, after.empty() ? 1 : std::stoll(after) + 1, breaks_at);
    }

    void send_event(const adapters::exchange_ptr& exchange, std::int64_t next,
                    std::int64_t breaks_at) {
        if (!exchange->open()) {
            return;
        }
        if (next > breaks_at) {
            this->break_off(*exchange, next);
            return;
        }
        if (next > this->events) {
            exchange->end();
            return;
        }
        exchange->send("id: " + std::to_string(next) + "\ndata: " + this->software + " word" +
                       std::to_string(next) + this->padding() + "\n\n");
        this->loop->after(event_pause, [this, exchange, next, breaks_at] {
            this->send_event(exchange, next + 1, breaks_at);
        });
    }

    [[nodiscard]] std::string padding() const {
        return this->event_bytes == 0
                   ? ""
                   : " " + std::string(static_cast<std::size_t>(this->event_bytes), 'x');
    }

    void break_off(adapters::http_exchange& exchange, std::int64_t next) const {
        if (this->breaks_by == "end") {
            std::_Exit(1);
        }
        if (this->breaks_by != "event") {
            exchange.abort();
            return;
        }
        exchange.send("id: " + std::to_string(next) + "\nda");
        exchange.end();
    }

    adapters::event_loop* loop;
    std::int64_t born;
    std::string id;
    std::string pool;
    std::string address;
    std::string store;
    std::int64_t events;
    // Each event has so many bytes more than usual.
    std::int64_t event_bytes;
    bool loses_answers;
    bool says_leaving;
    // What it asks for in place of running a call, in seconds; empty for nothing.
    std::string pause;
    std::string software;
    // It breaks off each run that begins a stream after so many events; 0 for none.
    std::int64_t breaks_after;
    // How: "close" of the connection, within an "event", or by the "end" of its own process.
    std::string breaks_by;
    // Its answers have neither a length nor chunks.
    bool ends_by_close;
    // It answers each call with an error.
    bool fails;
    // It prints when each call arrives.
    bool shows_arrivals;
    // The rate limit that it states in its answers; empty for none.
    std::string limit;
    std::int64_t version = 1;
    std::int64_t orders = 0;
    // The team whose request made each cached part, by the part's place.
    std::map<std::string, std::string> makers;
};

} // namespace

int run_platform_engine(adapters::event_loop& loop, const options& given) {
    platform_engine engine(loop, given);
    return serve(loop, given,
                 [&engine](const adapters::exchange_ptr& exchange) { engine.handle(exchange); });
}

} // namespace camphorrail::standins
