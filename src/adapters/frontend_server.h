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
#include <set>
#include <string>

struct event_base;
struct evconnlistener;

namespace camphorrail::adapters {

class client_connection;

// How the client of a response that is sent in pieces learns that it is complete: by its last chunk
// if the client takes chunks, or by the end of its connection.
enum class response_end { marked, close };

// One client request and its response. The object may outlive the client's connection; whatever is
// sent after the client has disconnected is dropped.
class client_exchange {
public:
    client_exchange(std::weak_ptr<client_connection> connection, std::int64_t connection_number,
                    http::request_head head, std::string body, base::instant arrived);

    http::request_head head;
    std::string body;
    base::instant arrived;
    // Identifies the client's connection among those of the server.
    std::int64_t connection_number;
    // Memory that the head takes up, in bytes.
    std::size_t head_memory = 0;

    [[nodiscard]] bool is_open() const;
    // Sends a complete response.
    void respond(int status, const http::fields& fields, const std::string& body);
    // Sends a response in pieces: `start`, any number of `send`, `finish`.
    void start(int status, const http::fields& fields, response_end end = response_end::marked);
    void send(const std::string& bytes);
    void finish();
    // Breaks the connection during a response that cannot be completed, so that the client cannot
    // mistake it for a complete one.
    void abort();
    // The same at once: what the client has not received yet is dropped, which frees its memory.
    void reset();
    // Closes the connection at once, in an orderly way.
    void close();
    // Bytes of the response that the kernel has not accepted yet, which shows how far the client
    // lags in reading.
    [[nodiscard]] std::size_t unsent() const;

    // The client closed its connection before the response was complete.
    sigc::signal<void()> disconnected;
    // The kernel has accepted all bytes sent so far.
    sigc::signal<void()> drained;

private:
    std::weak_ptr<client_connection> connection;
};

using client_exchange_ptr = std::shared_ptr<client_exchange>;

// Limits on the size of a request, and on how long the client may take to send it.
struct client_limits {
    http::read_limits read;
    base::milliseconds head_timeout{3000};
    base::milliseconds idle_timeout{15000};
    // From the first byte of a request to its last.
    base::milliseconds receive_timeout{60000};
};

// Bytes that arrived on a connection after the server had closed its side. They may be a request
// that crossed the close.
struct late_input {
    std::int64_t connection = 0;
    std::size_t bytes = 0;
    // Time since the server closed its side.
    base::micros after_close{0};
    // Bytes waited to be read when the server closed its side.
    bool arrived_before_close = false;
    // The bytes stay unread, so that the client can tell that no request was taken. Otherwise they
    // are read and dropped.
    bool left_unread = false;
};

// The connections found when the server stopped.
struct stop_summary {
    // Connections without a request.
    std::size_t idle = 0;
    // Those of them on which bytes wait to be read. The others were closed.
    std::size_t idle_with_input = 0;
    // Connections with a request that was received in part or awaits its response.
    std::size_t busy = 0;
};

// The fields and the body of the response to a request that is refused.
struct refusal {
    http::fields fields;
    std::string body;
};

// Callbacks into the owner of the server.
struct frontend_callbacks {
    std::function<void(const client_exchange_ptr&)> on_request;
    std::function<client_limits()> limits;
    std::function<base::instant()> now;
    // A request was refused with this status before it was received completely.
    std::function<void(int status)> on_refused;
    // More of a request was received, also behind one that awaits its response; may be empty.
    std::function<void(std::int64_t connection)> on_received = {};
    // May be empty.
    std::function<void(const late_input&)> on_late_input = {};
    // The head of a request was received and not yet all of its body; may be empty. The request may
    // be refused then, before its client is asked to go on.
    std::function<void(std::int64_t connection)> on_head = {};
    // What a request that the server refuses is answered with; may be empty.
    std::function<refusal(int status)> make_refusal = {};
};

// What a client's connection buffers, in bytes.
struct connection_buffers {
    // The request that is being received, and what was received after it. Counted is the memory
    // that it takes up.
    std::size_t received = 0;
    // What is to come of the request's body, if its head states that.
    std::size_t announced = 0;
    // Responses that the kernel has not accepted yet.
    std::size_t unsent = 0;
    // A request has been received in part and no response to it has begun.
    bool is_receiving = false;
    // Its client has stopped sending it.
    bool is_stalled = false;
    // The head of that request; null before it is received completely.
    const http::request_head* head = nullptr;
};

// More connections than any process can have.
constexpr std::size_t unbounded_connections = std::size_t{1} << 30U;

// HTTP/1.1 server for clients, on libevent's bufferevents. evhttp is not used because it reads the
// whole body before its handler runs, accepts ambiguous heads, and cannot distinguish a client that
// disconnects from one that pipelines its next request.
class frontend_server {
public:
    frontend_server(event_base* base, frontend_callbacks callbacks);
    ~frontend_server();
    frontend_server(const frontend_server&) = delete;
    frontend_server& operator=(const frontend_server&) = delete;

    bool listen(const std::string& address);
    // The port the server listens on; 0 before `listen`.
    [[nodiscard]] std::uint16_t port() const;
    // From now on each connection is closed after its next response.
    void close_after_responses();
    // Stops accepting connections, and closes each connection as soon as it is idle. A request that
    // has arrived is still served, also on a connection that waits to be accepted.
    stop_summary stop();
    // Connections on which a request has arrived, at least in part, that has not been handed over.
    [[nodiscard]] std::size_t pending_requests() const;
    // Bytes of responses that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsent() const;
    // What a connection buffers; nothing if it has ended.
    [[nodiscard]] connection_buffers buffered(std::int64_t connection) const;
    // Refuses a request that is still being received, and closes its connection.
    void refuse(std::int64_t connection, int status, const http::fields& fields,
                const std::string& body);
    // Breaks a connection and drops what it buffers.
    void reset(std::int64_t connection);
    [[nodiscard]] std::size_t open_connections() const { return this->connections.size(); }
    // Limits the number of open connections. The connections that have been idle longest are closed
    // to make room; if none is idle, accepting pauses until a connection is closed, and requests
    // whose clients have stopped sending are refused.
    void limit_connections(std::size_t count);
    // Keeps the limit when the process runs out of file descriptors, because other listeners use
    // them. Otherwise it is lowered then.
    void keep_connection_limit() { this->lowers_limit = false; }
    // The connection limit in force. It is lower than the configured one if the process ran out of
    // file descriptors earlier.
    [[nodiscard]] std::size_t max_connections() const { return this->connection_limit; }
    [[nodiscard]] bool paused() const { return this->is_paused; }
    [[nodiscard]] std::int64_t pauses() const { return this->pause_count; }
    [[nodiscard]] std::size_t idle_connections() const { return this->idle.size(); }
    [[nodiscard]] std::int64_t idle_closed() const { return this->idle_closed_count; }

private:
    friend class client_connection;

    void accept(int descriptor);
    void accept_failed();
    void accept_waiting();
    void remove(std::int64_t number);
    void keep_refused(std::int64_t number);
    void close_idle_connections();
    void refuse_stalled_requests();
    void retry_accepting();
    void pause_accepting();
    void resume_accepting();
    void continue_accepting();

    event_base* base;
    frontend_callbacks callbacks;
    evconnlistener* listener = nullptr;
    // Ordered by connection number, so that iteration follows the order of arrival.
    std::map<std::int64_t, std::shared_ptr<client_connection>> connections;
    std::int64_t last_connection = 0;
    // Connections that wait for a request, ordered by the time since which they have been idle.
    std::map<std::int64_t, client_connection*> idle;
    std::int64_t last_idle_key = 0;
    // Connections that the server has finished sending on, but that the client has not closed yet.
    std::size_t closing_count = 0;
    // Those of them whose request was refused before it was complete.
    std::set<std::int64_t> refused;
    std::size_t connection_limit = unbounded_connections;
    bool lowers_limit = true;
    timer accept_retry_timer;
    timer accept_turn_timer;
    std::size_t accepts_this_turn = 0;
    bool is_paused = false;
    std::int64_t pause_count = 0;
    std::int64_t idle_closed_count = 0;
    bool close_after_response = false;
    bool stopped = false;
};

} // namespace camphorrail::adapters
