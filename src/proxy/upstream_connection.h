#pragma once

#include "adapters/timer.h"
#include "base/ids.h"
#include "base/units.h"
#include "http/readers.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct event_base;

namespace camphorrail::proxy {

// Why a request on a connection got no complete response.
enum class call_failure {
    // No byte of the request was sent, so it cannot have been executed.
    never_sent,
    // As `never_sent`, but through no fault of the upstream: the request was withdrawn before it
    // was sent.
    withdrawn,
    // The connection broke or stopped responding.
    broken,
    // The bytes received are not a valid response.
    malformed,
    // The response has ended, but not the stream that it carries.
    incomplete,
    // The response has no length, and the upstream was gone when its connection ended.
    end_unverified,
};

// Callbacks for the response to one request. Nothing is called after `on_failure` or `on_end`.
struct call_handlers {
    // Returns false if the response belongs to an earlier request and came late. It is then read to
    // its end and dropped, and the next response is awaited.
    std::function<bool(const http::response_head&)> on_head;
    std::function<void(std::string bytes)> on_body;
    std::function<void()> on_end;
    std::function<void(call_failure)> on_failure;
    // Called when a new connection is established, before the first byte is sent; false withdraws
    // the request.
    std::function<bool()> still_wanted;
};

// A connection to an upstream that handles one request at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(event_base* base, std::string address);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    // Sends a request, connecting first if necessary.
    void call(std::string bytes, call_handlers handlers);
    // Aborts the current request by closing the connection; most upstreams then stop working on it.
    void cancel();
    // Bytes of the current request that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsent() const;
    void pause_reading();
    void resume_reading();

    // Whether the connection can carry another request: it is established, the last response was
    // complete, and no bytes have followed it.
    [[nodiscard]] bool reusable() const { return this->is_reusable; }
    // Whether a byte of the current request may have been sent.
    [[nodiscard]] bool may_have_sent() const { return this->sent; }

    // Called when an idle connection closes or the upstream sends on it unasked.
    std::function<void()> on_idle_closed;
    // The incarnation that the upstream has stated on this connection, which ends with it; 0 if it
    // was not asked.
    base::upstream_incarnation stated_incarnation;

private:
    static void on_read(bufferevent* socket, void* raw);
    static void on_event(bufferevent* socket, short what, void* raw);

    void connect();
    void on_connected();
    void read_response();
    void on_connection_closed(bool orderly);
    void deliver();
    void complete();
    void fail(call_failure reason);
    void release();

    event_base* base;
    std::string address;
    bufferevent* socket = nullptr;
    std::unique_ptr<adapters::timer> connect_timer;
    http::response_reader reader;
    std::string pending_request;
    call_handlers handlers;
    bool is_connected = false;
    bool sent = false;
    bool busy = false;
    bool head_delivered = false;
    bool dropping_response = false;
    bool is_reusable = false;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

} // namespace camphorrail::proxy
