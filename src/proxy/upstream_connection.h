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
    taken_back,
    // The connection broke or fell silent.
    broken,
    // What came back was no answer to it.
    malformed,
};

// How the answer to one call arrives. After `failed` or `ended` nothing more comes.
struct call_events {
    // False when the head is no answer to this call, but one that comes late to an earlier call: it
    // is read to its end and dropped, and the next answer awaited.
    std::function<bool(const http::response_head&)> started;
    std::function<void(std::string bytes)> received;
    std::function<void()> ended;
    std::function<void(call_failure)> failed;
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
    void call(std::string bytes, call_events events);
    // Ends the call under way and the connection with it: most upstreams then stop the work.
    void cancel();
    void pause_reading();
    void resume_reading();

    // Whether it can take a further call: it stands, the last answer was whole, and nothing has
    // come since.
    [[nodiscard]] bool reusable() const { return this->usable_again; }
    // Whether a byte of the call under way may have left.
    [[nodiscard]] bool may_have_sent() const { return this->sent; }

    // Told when an idle connection closes or an upstream sends on it unasked.
    std::function<void()> on_idle_end;

private:
    static void on_read(bufferevent* socket, void* raw);
    static void on_event(bufferevent* socket, short what, void* raw);

    void connect();
    void connected();
    void read_answer();
    void connection_ended(bool orderly);
    void deliver();
    void complete();
    void fail(call_failure why);
    void release();

    event_base* base;
    std::string address;
    bufferevent* socket = nullptr;
    std::unique_ptr<adapters::timer> connect_limit;
    http::response_reader reader;
    std::string waiting;
    call_events events;
    bool stands = false;
    bool sent = false;
    bool busy = false;
    bool head_told = false;
    bool dropping = false;
    bool usable_again = false;
};

using connection_ptr = std::shared_ptr<upstream_connection>;

} // namespace camphorrail::proxy
