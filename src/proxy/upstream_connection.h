#pragma once

#include "adapters/timer.h"
#include "base/units.h"
#include "http/readers.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;
struct event_base;

namespace camphorrail::proxy {

// Why a call on a connection gave no whole answer.
enum class call_failure {
    // No byte of it has left: it can't have run.
    never_sent,
    // The same, and not for a fault of the upstream: it was taken back before it left.
    withdrawn,
    // The connection broke or fell silent.
    broken,
    // What came back was no answer to it.
    malformed,
};

// How the answer to one call arrives. After `failed` or `ended` nothing more comes.
struct call_handlers {
    // False when the head is no answer to this call, but one that comes late to an earlier call: it
    // is read to its end and dropped, and the next answer awaited.
    std::function<bool(const http::response_head&)> on_head;
    std::function<void(std::string bytes)> on_body;
    std::function<void()> on_end;
    std::function<void(call_failure)> on_failure;
    // Asked when a new connection stands, before the first byte leaves: false takes the call back.
    std::function<bool()> still_wanted;
};

// One connection to an upstream; one call at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(event_base* base, std::string address);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    // Sends a call; connects first where the connection does not stand yet.
    void call(std::string bytes, call_handlers handlers);
    // Ends the call under way and the connection with it: most upstreams then stop the work.
    void cancel();
    void pause_reading();
    void resume_reading();

    // Whether it can take a further call: it stands, the last answer was whole, and nothing has
    // come since.
    [[nodiscard]] bool reusable() const { return this->is_reusable; }
    // Whether a byte of the call under way may have left.
    [[nodiscard]] bool may_have_sent() const { return this->sent; }

    // Told when an idle connection closes or an upstream sends on it unasked.
    std::function<void()> on_idle_closed;

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
