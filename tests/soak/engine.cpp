#include "soak/engine.h"

#include "adapters/sockets.h"
#include "base/hash.h"
#include "own_address.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorrail::soak {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_conflict = 409;
constexpr int status_wrong = 421;
constexpr int status_failed = 500;
constexpr int status_unavailable = 503;
constexpr base::milliseconds work_time{15};
constexpr base::milliseconds event_pause{25};
// It has begun to run a fatal request when it ends.
constexpr base::milliseconds crash_after{20};
// An engine whose answers have no length breaks off one stream in so many.
constexpr std::uint64_t streams_a_break = 4;
constexpr int first_port = 11000;
constexpr int ports = 20000;
constexpr double percent = 100.0;

} // namespace

int free_port() {
    static int next = getpid() * 37 % ports;
    while (true) {
        next = (next + 1) % ports;
        const int port = first_port + next;
        const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        auto address = adapters::parse_address(tests::own_address(port));
        const bool is_free =
            bind(descriptor, reinterpret_cast<sockaddr*>(&*address), sizeof *address) == 0;
        close(descriptor);
        if (is_free) {
            return port;
        }
    }
}

engine::engine(adapters::event_loop& loop, history& seen, std::string pool, int number)
    : loop(&loop), seen(&seen), pool(std::move(pool)), number(number) {}

void engine::start() {
    ++this->starts;
    this->id =
        "i-" + this->pool + "-" + std::to_string(this->number) + "-" + std::to_string(this->starts);
    this->installed = this->next_software;
    this->orders = 0;
    this->fails = false;
    this->loses_answers = false;
    this->says_leaving = false;
    this->omits_length = false;
    this->rate_limit.reset();
    this->pauses_until = {};
    this->server = std::make_unique<adapters::http_server>(
        this->loop->base(), adapters::http_limits{},
        [this](const adapters::exchange_ptr& exchange) { this->handle(exchange); });
    do {
        this->listens_at = tests::own_address(free_port());
    } while (!this->server->listen(this->listens_at));
}

void engine::crash() {
    this->server.reset();
}

void engine::handle(const adapters::exchange_ptr& exchange) {
    if (exchange->path() == "/report") {
        const json report{{"models", {{{"name", "m0"}, {"version", this->version}}}},
                          {"busy", false},
                          {"seq", this->orders}};
        exchange->reply(status_ok, {{"Content-Type", "application/json"}}, report.dump());
    } else if (exchange->path() == "/order") {
        this->order(*exchange);
    } else if (this->refuses(*exchange)) {
        exchange->reply(status_wrong,
                        {{"Request-Id", exchange->header("Request-Id")}, {"Not-Executed", "1"}},
                        "");
    } else if (adapters::boot_now() < this->pauses_until) {
        this->ask_for_pause(*exchange);
    } else {
        this->run(exchange);
    }
}

void engine::ask_for_pause(adapters::http_exchange& exchange) {
    const base::instant now = adapters::boot_now();
    const std::string call = exchange.header("Request-Id");
    this->seen->pauses.push_back({call, this->id, now, this->pauses_until});
    const std::chrono::duration<double> left = this->pauses_until - now;
    exchange.reply(status_unavailable,
                   {{"Request-Id", call},
                    {"Not-Executed", "1"},
                    {"Retry-After", std::to_string(left.count())}},
                   "");
}

bool engine::refuses(const adapters::http_exchange& exchange) const {
    const std::string weights = exchange.header("Expect-Version");
    return exchange.header("Expect-Instance") != this->id ||
           (!weights.empty() && weights != std::to_string(this->version));
}

void engine::order(adapters::http_exchange& exchange) {
    const json wanted = json::parse(exchange.body(), nullptr, false);
    this->seen->orders.push_back({this->id, wanted.value("holder", ""),
                                  wanted.value("fence", std::int64_t{0}), adapters::boot_now()});
    const bool turned_away = adapters::boot_now() < this->refuses_orders_until;
    if (turned_away || wanted.value("expected", this->orders) != this->orders) {
        exchange.reply(status_conflict, {}, "");
        return;
    }
    ++this->orders;
    this->version = wanted.at("version").get<std::int64_t>();
    this->mode = wanted.value("mode", "wait");
    exchange.reply(status_accepted, {}, "");
    this->changed();
}

// Engines are uneven by kind, and take 2.5 times as long in 15 % of their periods of 600 ms.
double engine::slowdown() const {
    constexpr std::array kinds{0.6, 1.0, 1.6};
    constexpr base::milliseconds period{600};
    constexpr std::uint64_t slow_percent = 15;
    const auto number_of_period =
        static_cast<std::uint64_t>(adapters::boot_now().time_since_epoch() / period);
    const auto draw = base::combine_hashes(base::stable_hash(this->id), number_of_period);
    return kinds.at(static_cast<std::size_t>(this->number) % kinds.size()) *
           (draw % 100 < slow_percent ? 2.5 : 1.0);
}

base::milliseconds engine::slowed(base::milliseconds usual) const {
    return std::chrono::round<base::milliseconds>(usual * this->slowdown());
}

ports::headers engine::fields(const adapters::http_exchange& exchange,
                              const std::string& stamp) const {
    ports::headers all{
        {"Request-Id", exchange.header("Request-Id")},
        {"Response-Stamp", stamp},
        {"Server-Load", "1,0,32," + std::to_string(std::lround(percent * this->slowdown()))}};
    if (this->says_leaving) {
        all.emplace_back("Server-Leaving", "1");
    }
    if (this->rate_limit) {
        all.emplace_back("Server-Limit", std::to_string(*this->rate_limit));
    }
    if (!exchange.header("Model-Name").empty()) {
        all.emplace_back("Weight-Versions", std::to_string(this->version));
    }
    return all;
}

void engine::run(const adapters::exchange_ptr& exchange) {
    const std::string call = exchange->header("Request-Id");
    const std::string stamp = this->id + "/" + std::to_string(++this->runs);
    this->seen->runs.push_back(
        {call, this->id, stamp, exchange->header("Tenant-Id"), adapters::boot_now()});
    this->seen->runs.back().model = exchange->header("Model-Name");
    this->seen->runs.back().weights = this->version;
    const bool has_fatal_part =
        exchange->header("Prompt-Prefix").find(fatal_prompt_part) != std::string::npos;
    if (has_fatal_part || is_fatal(exchange->body())) {
        this->seen->runs.back().fatal = has_fatal_part ? std::string(fatal_prompt_part)
                                                       : exchange->path() + " " + exchange->body();
        this->loop->after(crash_after, [this, of_start = this->starts] {
            if (this->starts == of_start && this->server != nullptr) {
                this->crashes();
            }
        });
        return;
    }
    const bool streams =
        exchange->path().rfind("/stream/", 0) == 0 || exchange->path().rfind("/resume/", 0) == 0;
    if (this->fails) {
        exchange->reply(status_failed, this->fields(*exchange, stamp), "failed");
        return;
    }
    if (streams) {
        const std::string after = exchange->header("Last-Event-Id");
        stream_run stream{exchange, call, after.empty() ? 1 : std::stoi(after) + 1, this->starts,
                          this->version};
        stream.ends_by_close = this->omits_length;
        const auto all = this->fields(*exchange, stamp);
        if (stream.ends_by_close) {
            exchange->start_until_close(status_ok, all);
        } else {
            exchange->start(status_ok, all);
        }
        this->send_event(stream);
        return;
    }
    const auto time = this->slowed(work_time);
    this->loop->after(time, [this, exchange, call, stamp, of_start = this->starts] {
        if (this->starts != of_start || this->server == nullptr || !exchange->open()) {
            return;
        }
        if (this->loses_answers) {
            exchange->abort();
        } else if (this->omits_length) {
            exchange->start_until_close(status_ok, this->fields(*exchange, stamp));
            exchange->send("done " + call);
            exchange->end();
        } else {
            exchange->reply(status_ok, this->fields(*exchange, stamp), "done " + call);
        }
    });
}

bool engine::breaks_off(const stream_run& stream) const {
    const bool reweighted = this->version != stream.version;
    const bool loses = this->loses_answers && stream.next > stream_events / 2;
    const std::uint64_t draw = base::stable_hash(stream.call);
    const bool is_drawn = stream.ends_by_close && draw % streams_a_break == 0;
    const bool is_due =
        static_cast<std::uint64_t>(stream.next) > draw / streams_a_break % stream_events;
    return loses || (reweighted && this->mode == "cut") || (is_drawn && is_due);
}

void engine::break_off(const stream_run& stream) {
    if (!stream.ends_by_close) {
        stream.exchange->abort();
        return;
    }
    // Between two events, nothing would tell the end from that of a whole stream.
    stream.exchange->send("id: " + std::to_string(stream.next));
    stream.exchange->end();
}

void engine::send_event(stream_run stream) {
    const auto& exchange = stream.exchange;
    if (this->starts != stream.of_start || this->server == nullptr || !exchange->open()) {
        return;
    }
    if (stream.next > stream_events) {
        exchange->end();
        return;
    }
    if (this->breaks_off(stream)) {
        break_off(stream);
        return;
    }
    const std::string first_line = this->version != stream.version && this->mode == "keep"
                                       ? "weight-versions: " + std::to_string(this->version) + "\n"
                                       : "";
    exchange->send(first_line + "software: " + this->installed +
                   "\nid: " + std::to_string(stream.next) + "\ndata: " + stream.call + "\n\n");
    ++stream.next;
    stream.version = this->version;
    this->loop->after(this->slowed(event_pause), [this, stream] { this->send_event(stream); });
}

} // namespace camphorrail::soak
