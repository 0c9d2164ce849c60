#pragma once

#include "adapters/frontend_server.h"
#include "platform/dialect.h"
#include "proxy/crash_detector.h"
#include "proxy/limit_exchange.h"
#include "proxy/request_buffers.h"
#include "proxy/request_flow.h"
#include "proxy/suspicion_exchange.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace camphorrail::tests {

// What a scripted engine does with one request, in order.
struct engine_step {
    // After `hold`, the rest waits until the test lets the engine go on. `repeat` sends the bytes
    // again and again until the connection is closed, `trickle` does so a byte at a time.
    enum class kind { send, close, reset, hang, hold, crash, repeat, trickle };
    kind what = kind::hang;
    std::string bytes;
};

using engine_script = std::vector<engine_step>;

// A request as an engine got it.
struct engine_request {
    http::request_head head;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const {
        return std::string(http::value_of(this->head.all, name));
    }
};

// An engine on loopback that does as each request's script says, and keeps what it got.
class scripted_engine {
public:
    scripted_engine(event_base* base, std::function<engine_script(const engine_request&)> answer);
    ~scripted_engine();
    scripted_engine(const scripted_engine&) = delete;
    scripted_engine& operator=(const scripted_engine&) = delete;

    [[nodiscard]] std::string address() const;
    // Refuses connections from now on.
    void stop_listening();
    // Its process ends: all connections break, and nobody listens any more.
    void crash();
    void set_answer(std::function<engine_script(const engine_request&)> wanted) {
        this->answer = std::move(wanted);
    }
    // Does the rest of the scripts that are held.
    void go_on();
    // Answers requests whose body has not arrived completely, and takes no more of it.
    void answer_early() { this->is_early = true; }
    // What it does with the next request, in place of what it is asked.
    void answer_next_with(engine_script script) { this->next_script = std::move(script); }
    [[nodiscard]] bool crashed() const { return this->listener == nullptr; }

    std::vector<engine_request> requests;
    int connections = 0;
    int closed_by_peer = 0;
    // Open connections on which bytes are repeated, and how many bytes were on all of them.
    int repeating = 0;
    std::size_t repeated_bytes = 0;

private:
    struct connection;
    event_base* base;
    std::function<engine_script(const engine_request&)> answer;
    engine_script next_script;
    bool is_early = false;
    evconnlistener* listener = nullptr;
    std::vector<std::shared_ptr<connection>> open;
    std::string bound;
};

// What a caller has got on its connection.
struct caller_view {
    std::vector<http::response_head> heads;
    std::vector<std::string> bodies;
    // The end of the connection, and whether it was a reset.
    bool ended = false;
    bool reset = false;
    // The answer under way is whole.
    bool whole = true;
};

// An entry's request path in one process: real sockets on loopback, a clock that the test moves, a
// configuration and engines that it sets. No store and no other entries.
class proxy_world {
public:
    proxy_world();
    ~proxy_world();
    proxy_world(const proxy_world&) = delete;
    proxy_world& operator=(const proxy_world&) = delete;

    scripted_engine& add_engine(const std::string& id,
                                std::function<engine_script(const engine_request&)> answer,
                                const std::string& software = "v1");
    // Sends bytes on a connection of its own and runs until the answers are whole, the connection
    // has ended, or `until` holds.
    caller_view call(const std::string& bytes, std::size_t answers = 1);
    caller_view call_until(const std::string& bytes, const std::function<bool()>& until);
    // Closes all callers' connections.
    void leave();
    // Whether callers read what comes for them; their connections fill up meanwhile.
    void let_callers_read(bool may_read);
    // More is known of when weights were named.
    void renew_begin_deadlines();
    // The entry is about to end: it takes no more requests.
    void stop_server() { this->server.stop(); }
    // The server of callers, and the connections to engines.
    adapters::frontend_server& callers_port() { return this->server; }
    proxy::connection_pool& engine_connections() { return this->connections; }
    // What the caller that came as the given one has got so far; the first is 0.
    [[nodiscard]] const caller_view& seen_by(std::size_t caller) const;
    // The number of callers so far.
    [[nodiscard]] std::size_t call_count() const { return this->callers.size(); }
    // Sends more on the connection of a caller that came before; it lies with the kernel on return.
    // Returns how many bytes do.
    std::size_t send_at_once(std::size_t caller, const std::string& bytes);
    // A caller connects and sends, and the entry has not even accepted it when this returns.
    void connect_at_once(const std::string& bytes);
    // One caller closes its connection.
    void leave(std::size_t caller);
    // Requests that the entry has under way, and bytes of finished ones that have not left.
    [[nodiscard]] std::size_t open_requests() const { return this->flows.size(); }
    [[nodiscard]] std::size_t unsent() const { return this->server.unsent(); }
    // What the last caller has got so far.
    [[nodiscard]] const caller_view& last_seen() const;
    // Runs the loop until a condition holds; false when it does not within some seconds.
    bool run_until(const std::function<bool()>& condition);
    void move_clock(base::micros by) { this->moved += by; }
    // Has the entry's clock move by `move_clock` alone, so that a slow machine changes nothing.
    void stop_clock() { this->stopped_at = adapters::boot_now(); }
    void prove_config();
    void name_entry(const base::entry_id& id, const base::availability_zone& zone = {}) {
        this->settings.id = id;
        this->settings.zone = zone;
    }
    settings::feature_settings& features() { return this->settings.features; }
    void set_memory_budget(std::int64_t memory_mb) {
        this->settings.features.memory_budget = true;
        this->settings.memory_mb = memory_mb;
    }
    proxy::request_buffers& buffers() { return this->buffered; }
    proxy::entry_context& entry() { return this->context; }
    proxy::crash_detector& crash_detector() { return this->crashes; }
    proxy::limit_exchange& limit_exchange() { return this->limits; }
    proxy::suspicion_exchange& suspicion_exchange() { return this->suspicions; }
    // The entries that this one is linked to.
    std::vector<entries::linked_entry> linked;
    // What the entry has told others.
    std::vector<peering::message> told;
    // What other entries reply about the origins of streams, and the streams that they were asked
    // about.
    std::map<std::string, proxy::origin_answer> origins_elsewhere;
    std::vector<std::string> asked_origins;

    // What arrived on callers' connections after they were closed.
    std::vector<adapters::late_input> late_inputs;
    // The limits of callers' connections from their next request on.
    adapters::client_limits caller_limits;

    routes::operators_config config;
    proxy::entry_state state;
    // What was logged since the last call; to be asked only after something was.
    std::vector<std::string> log_lines();

private:
    struct caller;

    std::shared_ptr<caller> add_caller(bufferevent* socket);

    adapters::event_loop loop;
    settings::proxy_settings settings;
    ports::platform_codec words;
    std::array<int, 2> log_pipe{};
    adapters::event_log log;
    adapters::metrics metrics;
    proxy::connection_pool connections;
    proxy::entry_context context;
    proxy::crash_detector crashes;
    proxy::limit_exchange limits;
    proxy::suspicion_exchange suspicions;
    proxy::request_buffers buffered;
    adapters::frontend_server server;
    std::unordered_set<std::shared_ptr<proxy::request_flow>> flows;
    std::vector<std::unique_ptr<scripted_engine>> engines;
    std::vector<std::shared_ptr<caller>> callers;
    [[nodiscard]] base::instant now() const;

    base::micros moved{0};
    std::optional<base::instant> stopped_at;
};

// A request of the kind that the name of its route says: "/once/", "/safe/", "/stream/",
// "/resume/".
std::string request(const std::string& route, const std::string& id, const std::string& body = "");

// An engine's whole answer, and the head of one whose body comes in chunks.
std::string answer(const std::string& id, const std::string& body, int status = 200,
                   const std::string& more_fields = "");
std::string stream_head(const std::string& id);
std::string chunk(const std::string& bytes);
std::string event(int id);

} // namespace camphorrail::tests
