#pragma once

#include "adapters/event_loop.h"
#include "adapters/http_server.h"
#include "soak/history.h"

#include <memory>
#include <optional>
#include <string>

namespace camphorrail::soak {

// A back end that keeps what it ran. It lives in the soak's own process, so that what it saw
// outlasts its crashes.
class engine {
public:
    engine(adapters::event_loop& loop, history& seen, std::string pool, int number);

    // Starts it as a new instance, with what the one before held of weights.
    void start();
    // All its connections end, and what ran there with them.
    void crash();
    [[nodiscard]] const std::string& instance() const { return this->id; }
    [[nodiscard]] const std::string& address() const { return this->listens_at; }
    [[nodiscard]] std::int64_t weights() const { return this->version; }

    // The version of its software, and the one that it runs from its next start on.
    [[nodiscard]] const std::string& software() const { return this->installed; }
    std::string next_software = "v1";
    // It fails calls, or runs them and loses their answers.
    bool fails = false;
    bool loses_answers = false;
    // It says in its answers that it leaves.
    bool says_leaving = false;
    // Its answers have neither a length nor chunks, and it breaks off some streams within an event.
    bool omits_length = false;
    // The rate limit that it states in its answers, in requests per second.
    std::optional<double> rate_limit;
    // Until then it turns orders away.
    base::instant refuses_orders_until{};
    // It turns calls away and asks for a pause until then.
    base::instant pauses_until{};
    // Told when a request is to crash it.
    std::function<void()> crashes;
    // Told when its weights have changed.
    std::function<void()> changed;

private:
    void handle(const adapters::exchange_ptr& exchange);
    void order(adapters::http_exchange& exchange);
    void run(const adapters::exchange_ptr& exchange);
    // A stream under way.
    struct stream_run {
        adapters::exchange_ptr exchange;
        std::string call;
        int next = 1;
        std::int64_t of_start = 0;
        // The weights that its last event was made by.
        std::int64_t version = 0;
        // Its answer has no length.
        bool ends_by_close = false;
    };
    [[nodiscard]] bool breaks_off(const stream_run& stream) const;
    static void break_off(const stream_run& stream);
    void send_event(stream_run stream);
    // How long its work takes at the moment, relative to the usual time.
    [[nodiscard]] double slowdown() const;
    [[nodiscard]] base::milliseconds slowed(base::milliseconds usual) const;
    void ask_for_pause(adapters::http_exchange& exchange);
    [[nodiscard]] bool refuses(const adapters::http_exchange& exchange) const;
    [[nodiscard]] ports::headers fields(const adapters::http_exchange& exchange,
                                        const std::string& stamp) const;

    adapters::event_loop* loop;
    history* seen;
    std::string pool;
    int number;
    std::int64_t starts = 0;
    std::string id;
    std::string listens_at;
    std::string installed;
    std::int64_t version = 1;
    // What became of the streams under way when the weights changed: "wait", "cut" or "keep".
    std::string mode;
    std::int64_t orders = 0;
    std::int64_t runs = 0;
    std::unique_ptr<adapters::http_server> server;
};

// A port that is free now at the address of this process, below those that the kernel gives to
// outgoing connections. No other process takes it while the one that listens on it is down.
int free_port();

} // namespace camphorrail::soak
