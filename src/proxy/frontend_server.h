#pragma once

#include "adapters/timer.h"
#include "base/units.h"
#include "http/readers.h"
#include "http/writers.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;
struct evconnlistener;

namespace camphorrail::proxy {

class client_connection;

// One request of a caller and its answer. It outlives the caller's connection; what is sent after
// the caller has gone is dropped.
class client_exchange {
public:
    client_exchange(std::weak_ptr<client_connection> connection, http::request_head head,
                    std::string body, base::instant arrived);

    http::request_head head;
    std::string body;
    base::instant arrived;

    [[nodiscard]] bool is_open() const;
    // The whole answer at once.
    void respond(int status, const http::fields& all, const std::string& body);
    // An answer in pieces: `start`, any number of `send`, `finish`.
    void start(int status, const http::fields& all);
    void send(const std::string& bytes);
    void finish();
    // Breaks the connection under an answer that can't be completed, so that it can't be taken for
    // a whole one.
    void abort();
    // Bytes that the kernel has not taken yet: how far the caller lags in reading.
    [[nodiscard]] std::size_t unsent() const;

    // The caller closed its connection before the answer was whole.
    sigc::signal<void()> disconnected;
    // All bytes sent so far were taken by the kernel.
    sigc::signal<void()> drained;

private:
    std::weak_ptr<client_connection> connection;
};

using exchange_ptr = std::shared_ptr<client_exchange>;

// Bounds on what a caller may send, and how long it may take.
struct client_limits {
    http::read_limits read;
    base::milliseconds head_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

// What the server asks of its owner.
struct frontend_callbacks {
    std::function<void(const exchange_ptr&)> on_request;
    std::function<client_limits()> limits;
    std::function<base::instant()> now;
    // A request was refused before it was read whole, with this status.
    std::function<void(int status)> on_refused;
};

// More than any process can have.
constexpr std::size_t unbounded_connections = std::size_t{1} << 30U;

// HTTP/1.1 towards callers, over bufferevents: evhttp reads a whole body before its handler runs,
// takes ambiguous heads, and can't tell a caller who leaves from one who sends the next request.
class frontend_server {
public:
    frontend_server(event_base* base, frontend_callbacks callbacks);
    ~frontend_server();
    frontend_server(const frontend_server&) = delete;
    frontend_server& operator=(const frontend_server&) = delete;

    bool listen(const std::string& address);
    // The port that is listened on; 0 before `listen`.
    [[nodiscard]] std::uint16_t port() const;
    // From now on each answer is the last on its connection.
    void close_after_responses();
    // Takes no more connections, and closes each as soon as it is idle.
    void stop();
    // Bytes of answers that have not left yet.
    [[nodiscard]] std::size_t unsent() const;
    [[nodiscard]] std::size_t open_connections() const { return this->connections.size(); }
    // Has at most so many connections open. Those that have been idle longest are closed to make
    // room; where all are at work, nothing is accepted until one has ended.
    void limit_connections(std::size_t count);
    // Lower than what was asked for where the process ran out of descriptors before it.
    [[nodiscard]] std::size_t max_connections() const { return this->connection_limit; }
    [[nodiscard]] bool paused() const { return this->is_paused; }
    [[nodiscard]] std::int64_t pauses() const { return this->pause_count; }
    [[nodiscard]] std::size_t idle_connections() const { return this->idle.size(); }
    [[nodiscard]] std::int64_t idle_closed() const { return this->idle_closed_count; }

private:
    friend class client_connection;

    void accept(int descriptor);
    void accept_failed();
    void remove(std::int64_t number);
    void close_idle_connections();
    void retry_accepting();
    void pause_accepting();
    void resume_accepting();

    event_base* base;
    frontend_callbacks callbacks;
    evconnlistener* listener = nullptr;
    // By number, so that they are gone through in the order in which they came.
    std::map<std::int64_t, std::shared_ptr<client_connection>> connections;
    std::int64_t last_connection = 0;
    // Those that wait for a request, in the order in which they began to.
    std::map<std::int64_t, client_connection*> idle;
    std::int64_t last_idle_key = 0;
    // Connections that we have closed and their callers have not yet.
    std::size_t closing_count = 0;
    std::size_t connection_limit = unbounded_connections;
    adapters::timer accept_retry_timer;
    bool is_paused = false;
    std::int64_t pause_count = 0;
    std::int64_t idle_closed_count = 0;
    bool close_after_response = false;
    bool stopped = false;
};

} // namespace camphorrail::proxy
