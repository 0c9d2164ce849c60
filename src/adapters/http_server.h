#pragma once

#include "adapters/client_memory.h"
#include "adapters/frontend_server.h"
#include "base/units.h"
#include "buffers/memory_plan.h"
#include "ports/upstream.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct event_base;

namespace camphorrail::adapters {

class http_server;

// One request of a caller and its answer. It outlives the caller's connection: once the caller has
// gone, everything sent to it is dropped.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(http_server& server, client_exchange_ptr request);

    [[nodiscard]] const std::string& method() const { return this->request->head.method; }
    // The path with its query.
    [[nodiscard]] const std::string& target() const { return this->request->head.target; }
    [[nodiscard]] const std::string& path() const { return this->request_path; }
    // A header's value; empty where there is none.
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] const std::string& body() const { return this->request->body; }
    // The body, which the exchange does not hold any more.
    std::string take_body() { return std::move(this->request->body); }
    [[nodiscard]] bool open() const { return this->is_open; }

    // Whether the request may make its process hold so many bytes more. If not, it is to be
    // refused.
    [[nodiscard]] bool may_hold(std::size_t bytes);
    // Counts bytes that the request makes its process hold, beside its body and its answer.
    void set_held(std::size_t bytes);

    // The whole answer at once.
    void reply(int status, const ports::headers& fields, const std::string& body);
    // An answer in pieces: `start`, any number of `send`, `end`.
    void start(int status, const ports::headers& fields);
    // The same, but without a length or chunks: the answer ends where its connection does.
    void start_until_close(int status, const ports::headers& fields);
    void send(const std::string& bytes);
    void end();
    // Closes the connection under an answer that can't be completed, so that its end is not taken
    // for a whole answer's.
    void abort();
    // Bytes sent and not yet taken by the kernel: how far the caller lags in reading.
    [[nodiscard]] std::size_t unread_bytes() const;

    // The caller closed its connection before the answer was whole.
    sigc::signal<void()> gone;
    // All bytes sent so far were taken by the kernel.
    sigc::signal<void()> drained;

private:
    friend class http_server;
    void on_disconnected();
    void finish();
    [[nodiscard]] buffers::holding measure() const;

    http_server* server;
    client_exchange_ptr request;
    std::string request_path;
    std::size_t held_bytes = 0;
    bool has_started = false;
    bool is_open = true;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

struct http_limits {
    std::int64_t max_header_bytes = 16 << 10;
    std::int64_t max_body_bytes = 4 << 20;
    int idle_timeout_s = 75;
    // From the first byte of a request to its last.
    base::milliseconds receive_timeout{60000};
    // On what connections and requests hold together; no bounds by default.
    buffers::budget memory{};
    std::size_t max_connections = unbounded_connections;
    // Whether that is lowered when the process runs out of file descriptors.
    bool lowers_max_connections = true;
};

// HTTP towards callers or operators.
class http_server {
public:
    http_server(event_base* base, http_limits limits, std::function<void(exchange_ptr)> handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // False when the address ("IP:PORT") can't be listened on.
    bool listen(const std::string& address);
    // Takes no more connections; answers under way go on.
    void stop_listening();
    [[nodiscard]] std::size_t open_exchanges() const { return this->exchanges.size(); }
    [[nodiscard]] std::size_t open_connections() const { return this->frontend.open_connections(); }
    // Bytes that connections and requests hold.
    [[nodiscard]] std::int64_t held_bytes() const {
        return buffers::total(this->memory.held().held);
    }

    // What a request that the server itself refuses is answered with, by its status; may be empty.
    std::function<refusal(int status)> make_refusal;
    // A connection or request gives up so many bytes, since too many are held; may be empty.
    std::function<void(std::int64_t bytes)> on_yield;

private:
    friend class http_exchange;
    void on_request(const client_exchange_ptr& request);
    void yield(buffers::holder_id holder);
    void regularly();
    [[nodiscard]] refusal refusal_of(int status) const;
    [[nodiscard]] std::shared_ptr<http_exchange> exchange_of(buffers::holder_id holder) const;

    http_limits limits;
    std::function<void(exchange_ptr)> handler;
    client_memory memory;
    frontend_server frontend;
    timer memory_timer;
    // Requests that are not answered, by their connections.
    std::map<std::int64_t, exchange_ptr> exchanges;
};

} // namespace camphorrail::adapters
