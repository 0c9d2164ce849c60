#pragma once

#include "base/units.h"
#include "ports/upstream.h"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;
struct event_base;

namespace camphorrail::adapters {

class http_server;

// One request of a caller and its answer. It outlives the caller's connection: once the caller has
// gone, everything sent to it is dropped.
class http_exchange : public std::enable_shared_from_this<http_exchange> {
public:
    http_exchange(http_server& server, evhttp_request* request);

    [[nodiscard]] const std::string& method() const { return this->request_method; }
    // The path with its query.
    [[nodiscard]] const std::string& target() const { return this->request_target; }
    [[nodiscard]] const std::string& path() const { return this->request_path; }
    // A header's value; empty where there is none.
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] const std::string& body() const { return this->request_body; }
    [[nodiscard]] bool open() const { return this->request != nullptr; }

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
    static void on_closed(evhttp_connection* connection, void* self);
    static void on_drained(evhttp_connection* connection, void* self);
    void add_headers(const ports::headers& fields);
    void finish();

    http_server* server;
    evhttp_request* request;
    bufferevent* socket;
    std::string request_method;
    std::string request_target;
    std::string request_path;
    std::string request_body;
    ports::headers request_headers;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

struct http_limits {
    std::int64_t max_header_bytes = 16 << 10;
    std::int64_t max_body_bytes = 4 << 20;
    int idle_timeout_s = 75;
    // From the first byte of a request to its last.
    base::milliseconds receive_timeout{60000};
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

private:
    friend class http_exchange;
    // What a connection receives.
    struct reception {
        http_server* server = nullptr;
        // The request that was received awaits the end of its answer.
        bool in_exchange = false;
        // When the first byte of a request arrived that is not complete.
        std::optional<base::instant> began_at;
    };
    using receptions = std::unordered_map<bufferevent*, reception>;

    static void on_request(evhttp_request* request, void* self);
    static bufferevent* make_socket(event_base* base, void* self);
    static void on_input(evbuffer* input, const evbuffer_cb_info* change, void* socket_reception);
    [[nodiscard]] bool is_beyond_limits(reception& receiving, std::size_t unread_bytes) const;

    evhttp* handle;
    // The most that a connection may receive of a request that is not complete.
    std::size_t max_input_bytes;
    base::milliseconds receive_timeout;
    // By the connections' sockets. The entry of a connection that has ended is replaced when its
    // memory serves another one.
    receptions sockets;
    evhttp_bound_socket* bound = nullptr;
    std::function<void(exchange_ptr)> handler;
    std::unordered_map<http_exchange*, exchange_ptr> exchanges;
};

} // namespace camphorrail::adapters
