#include "adapters/frontend_server.h"

#include "adapters/sockets.h"
#include "adapters/timer.h"
#include "buffers/memory_plan.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace camphorrail::adapters {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_head_too_large = 431;
// Bytes that are read beyond a head of the largest size, such as the line of a chunk. As many of
// the next request are read while a response is in progress, so that a client that disconnects is
// noticed.
constexpr std::size_t read_ahead_bytes = 8U << 10U;
// A client that leaves more than this of its responses unread has its next request read later.
constexpr std::size_t max_unread_responses = 64U << 10U;
// Time for which the connection is kept after its final response, and read unless it was idle.
// Closing a socket with unread bytes resets the connection, and the client could lose the response.
constexpr base::milliseconds linger_time{1000};
// Bounds on what is read and dropped after the final response, such as the rest of a large body
// that was refused.
constexpr base::milliseconds max_drain_time{5000};
constexpr std::size_t max_drained_bytes = 8U << 20U;
// Connections whose request was refused before it was complete are kept for their refusal to be
// read, but only so many: their clients may send on, and connect again.
constexpr std::size_t max_refused_connections = 16;
// Empty lines that are accepted in front of a request, in bytes.
constexpr std::size_t max_blank_bytes = 8;
// Keepalive settings for clients, whose links may be slow. A client that exceeds these limits is
// considered gone.
constexpr silence_limits client_keepalive{base::milliseconds(8000), base::seconds(3), 3};

// A connection that was accepted or answered more recently than this is not closed as idle, since
// the client is likely to use it.
constexpr base::milliseconds min_idle_time{200};
// Connections accepted before the others are served again. Otherwise clients that connect anew as
// soon as they are refused use up the descriptors faster than ended connections are closed.
constexpr std::size_t max_accepts_per_turn = 16;
// While accepting is paused, idle connections are searched for at this interval.
constexpr base::milliseconds accept_retry_period{20};
// One in this many connections is kept free for new clients.
constexpr std::size_t spare_divisor = 16;
constexpr std::size_t max_spare_connections = 64;

int status_of(http::read_fault fault) {
    switch (fault) {
    case http::read_fault::head_too_large:
        return status_head_too_large;
    case http::read_fault::body_too_large:
        return status_too_large;
    default:
        return status_bad_request;
    }
}

std::string_view contents(evbuffer* input) {
    const auto length = evbuffer_get_length(input);
    return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
}

} // namespace

// A client's connection. It reads one request at a time and writes the response.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(frontend_server& server, std::int64_t number, int descriptor)
        : server(&server), number(number), limits(server.callbacks.limits()),
          reader(this->limits.read),
          next_request_timer(server.base, [this] { this->read_request(); }),
          linger_timer(server.base, [this] { this->close(); }) {
        watch_for_silence(descriptor, client_keepalive);
        this->socket = bufferevent_socket_new(server.base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(this->socket, on_read, on_write, on_event, this);
        this->wait_for_request();
        bufferevent_enable(this->socket, EV_READ | EV_WRITE);
    }

    ~client_connection() { this->release(); }
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    [[nodiscard]] bool is_open() const {
        return this->socket != nullptr && !this->final_response_written;
    }
    // Whether the connection can be closed without dropping a request that has arrived.
    [[nodiscard]] bool may_close() const { return this->idle() && !this->has_unread(); }
    // Whether a request has arrived, at least in part, that has not been handed over.
    [[nodiscard]] bool has_pending_request() const {
        return this->socket != nullptr && this->exchange == nullptr &&
               !this->final_response_written && (this->reading || this->has_unread());
    }
    [[nodiscard]] base::instant idle_since() const { return this->idle_start; }
    [[nodiscard]] bool idle() const {
        return this->exchange == nullptr && !this->reading && !this->final_response_written;
    }

    void respond(int status, const http::fields& fields, const std::string& body) {
        const bool keep = this->keep_alive();
        this->write(
            http::write_response_head(status, fields, {http::framing::length, body.size()}, keep));
        this->write(body);
        this->end_exchange(keep);
    }

    void start(int status, const http::fields& fields, response_end end) {
        this->chunked = this->exchange->head.chunks_allowed && end == response_end::marked;
        this->keep_alive_after = this->keep_alive() && this->chunked;
        if (!this->chunked && end == response_end::marked) {
            // The response ends with its connection, which the kernel would end in an orderly way
            // if this process were killed before the response is complete.
            this->set_reset_on_close(true);
        }
        const auto kind = this->chunked ? http::framing::chunks : http::framing::close;
        this->write(http::write_response_head(status, fields, {kind, 0}, this->keep_alive_after));
    }

    void send(const std::string& bytes) {
        this->write(this->chunked ? http::write_chunk(bytes) : bytes);
    }

    void finish() {
        if (this->chunked) {
            this->write(std::string(http::last_chunk));
        } else {
            this->set_reset_on_close(false);
        }
        this->end_exchange(this->keep_alive_after);
    }

    void abort() {
        if (this->socket != nullptr && this->chunked) {
            // The missing last chunk shows that the response is incomplete. Data sent before is
            // still delivered, so that the client can resume after it.
            this->end_exchange(false);
            return;
        }
        this->reset();
    }

    void reset() {
        this->set_reset_on_close(true);
        this->exchange.reset();
        this->close();
    }

    [[nodiscard]] connection_buffers buffered() {
        const std::size_t input =
            this->socket == nullptr ? 0 : evbuffer_get_length(bufferevent_get_input(this->socket));
        const bool has_head = this->reading && this->reader.has_head();
        connection_buffers now;
        now.received = this->reader.memory() + input;
        now.unsent = this->unsent();
        now.is_receiving = this->reading;
        if (has_head) {
            now.announced = this->reader.announced_bytes();
            now.head = &this->reader.head();
        }
        now.is_stalled = this->stalled(this->server->callbacks.now());
        return now;
    }
    [[nodiscard]] bool stalled(base::instant now) const {
        return this->reading && now - this->last_received >= buffers::stall_time;
    }

    // Refuses a request that is still being received. What follows of it is read and dropped.
    void refuse(int status, const http::fields& fields, const std::string& body) {
        this->reader = http::request_reader(this->limits.read);
        this->reading = false;
        this->late_input_is_known = true;
        this->write(
            http::write_response_head(status, fields, {http::framing::length, body.size()}, false));
        this->write(body);
        this->end_exchange(false);
        this->server->keep_refused(this->number);
    }

    // Stops reading requests and closes the connection once all output is sent: a response may be
    // complete for the server while part of it still waits for the client's link.
    void close_gracefully() {
        this->remove_from_idle();
        this->reading = false;
        if (this->socket == nullptr) {
            this->final_response_written = true;
            return;
        }
        if (!std::exchange(this->final_response_written, true)) {
            ++this->server->closing_count;
            this->closed_at = this->server->callbacks.now();
            this->closed_with_input = this->has_unread();
        }
        bufferevent_setwatermark(this->socket, EV_READ, 0, 0);
        // A read timeout disables reading; it is enabled again until the client closes.
        bufferevent_enable(this->socket, EV_READ);
        if (this->unsent() == 0) {
            this->on_output_drained();
        }
    }

    // Closes a connection that carries no request. A request that crosses the close stays unread:
    // its client learns that the connection was closed without taking it.
    void close_idle() {
        this->leaves_input_unread = true;
        this->close_gracefully();
        if (this->socket == nullptr) {
            return;
        }
        bufferevent_disable(this->socket, EV_READ);
        this->end_watch = event_new(this->server->base, bufferevent_getfd(this->socket), EV_READ,
                                    on_readable_after_close, this);
        event_add(this->end_watch, nullptr);
    }

    [[nodiscard]] std::size_t unsent() const {
        return this->socket == nullptr ? 0
                                       : evbuffer_get_length(bufferevent_get_output(this->socket));
    }

    void refuse(int status) {
        const auto& callbacks = this->server->callbacks;
        callbacks.on_refused(status);
        const auto text = callbacks.make_refusal ? callbacks.make_refusal(status) : refusal{};
        this->refuse(status, text.fields, text.body);
    }

    void close() {
        const auto self = this->shared_from_this();
        this->server->closing_count -=
            this->final_response_written && this->socket != nullptr ? 1 : 0;
        this->remove_from_idle();
        this->release();
        this->server->remove(this->number);
        if (const auto ended_exchange = std::exchange(this->exchange, nullptr)) {
            ended_exchange->disconnected.emit();
        }
    }

private:
    static std::shared_ptr<client_connection> self_of(void* raw) {
        return static_cast<client_connection*>(raw)->shared_from_this();
    }
    static void on_read(bufferevent* /*socket*/, void* raw) { self_of(raw)->read_request(); }
    static void on_write(bufferevent* /*socket*/, void* raw) { self_of(raw)->on_output_drained(); }
    static void on_readable_after_close(evutil_socket_t /*socket*/, short /*what*/, void* raw) {
        const auto self = self_of(raw);
        const std::size_t waiting = self->input_in_kernel();
        if (waiting == 0) {
            self->close();
        } else {
            self->report_late_input(waiting, true);
        }
    }
    static void on_event(bufferevent* /*socket*/, short what, void* raw) {
        const auto self = self_of(raw);
        if ((what & BEV_EVENT_TIMEOUT) != 0 && !self->final_response_written) {
            self->on_read_timeout();
            return;
        }
        self->close();
    }

    // After a long turn of the event loop, the time limit may have passed although the client has
    // sent something. libevent reports only the timeout then, and disables reading.
    void on_read_timeout() {
        if (this->input_in_kernel() > 0) {
            bufferevent_enable(this->socket, EV_READ);
        } else if (this->reading) {
            this->refuse(status_timeout);
        } else if (const auto left = this->idle_time_left(); left > base::milliseconds(0)) {
            // The limit was raised after the connection became idle.
            this->set_read_timeout(left);
            bufferevent_enable(this->socket, EV_READ);
        } else {
            this->close();
        }
    }

    // How much longer the connection may stay idle by the limits in force now.
    [[nodiscard]] base::milliseconds idle_time_left() const {
        const base::micros idle_for = this->server->callbacks.now() - this->idle_start;
        return std::chrono::ceil<base::milliseconds>(this->server->callbacks.limits().idle_timeout -
                                                     idle_for);
    }

    [[nodiscard]] std::size_t input_in_kernel() const {
        int waiting = 0;
        ioctl(bufferevent_getfd(this->socket), FIONREAD, &waiting);
        return static_cast<std::size_t>(std::max(waiting, 0));
    }

    // Whether bytes wait in the buffer or in the kernel, such as a request that has just arrived.
    [[nodiscard]] bool has_unread() const {
        return this->input_in_kernel() > 0 ||
               evbuffer_get_length(bufferevent_get_input(this->socket)) > 0;
    }

    // Whether the connection ends by a reset, so that its client does not take the end of a
    // response without a length for its completion.
    void set_reset_on_close(bool reset) {
        if (this->socket != nullptr) {
            const struct linger how { reset ? 1 : 0, 0 };
            setsockopt(bufferevent_getfd(this->socket), SOL_SOCKET, SO_LINGER, &how, sizeof how);
        }
    }

    void remove_from_idle() { this->server->idle.erase(std::exchange(this->idle_key, 0)); }

    void release() {
        this->linger_timer.clear();
        if (this->end_watch != nullptr) {
            event_free(std::exchange(this->end_watch, nullptr));
        }
        if (this->socket != nullptr) {
            bufferevent_free(std::exchange(this->socket, nullptr));
        }
    }

    void write(const std::string& bytes) {
        if (this->socket != nullptr) {
            bufferevent_write(this->socket, bytes.data(), bytes.size());
        }
    }

    [[nodiscard]] bool keep_alive() const {
        return this->exchange->head.keep_alive && !this->server->close_after_response;
    }

    void set_read_timeout(base::milliseconds limit) {
        const timeval wait = to_timeval(limit);
        bufferevent_set_timeouts(this->socket, limit.count() == 0 ? nullptr : &wait, nullptr);
    }

    [[nodiscard]] std::size_t max_input_bytes() const {
        return this->limits.read.head_bytes + read_ahead_bytes;
    }

    void wait_for_request() {
        this->reading = false;
        this->remove_from_idle();
        this->idle_start = this->server->callbacks.now();
        this->idle_key = ++this->server->last_idle_key;
        this->server->idle.emplace(this->idle_key, this);
        this->apply_limits();
        this->blank_bytes = 0;
        this->set_read_timeout(this->limits.idle_timeout);
    }

    // Takes the limits in force for the next request. They may change while the connection is idle.
    void apply_limits() {
        this->limits = this->server->callbacks.limits();
        this->reader = http::request_reader(this->limits.read);
        bufferevent_setwatermark(this->socket, EV_READ, 0, this->max_input_bytes());
    }

    void read_request() {
        if (this->socket == nullptr) {
            return;
        }
        this->last_received = this->server->callbacks.now();
        if (this->exchange != nullptr) {
            this->report_received();
            return;
        }
        evbuffer* input = bufferevent_get_input(this->socket);
        if (this->final_response_written) {
            this->drop_late_input(input);
            return;
        }
        if (!this->reading && this->unsent() > max_unread_responses) {
            return;
        }
        if (!this->skip_blank_lines(input)) {
            this->refuse(status_bad_request);
            return;
        }
        if (evbuffer_get_length(input) == 0) {
            this->close_if_stopped();
            return;
        }
        this->begin_reading();
        evbuffer_drain(input, this->reader.feed(contents(input)));
        const base::micros taken = this->last_received - this->request_start;
        if (this->reader.fault() != http::read_fault::none) {
            this->refuse(status_of(this->reader.fault()));
        } else if (this->reader.complete()) {
            this->begin_exchange();
        } else if (taken > this->limits.receive_timeout ||
                   (!this->reader.has_head() && taken > this->limits.head_timeout)) {
            this->refuse(status_timeout);
        } else if (this->reader.has_head()) {
            this->on_head_received();
        }
        if (this->reading) {
            this->report_received();
        }
    }

    void report_received() {
        if (this->server->callbacks.on_received) {
            this->server->callbacks.on_received(this->number);
        }
    }

    void report_late_input(std::size_t bytes, bool left_unread) {
        const auto& callbacks = this->server->callbacks;
        if (callbacks.on_late_input && !std::exchange(this->late_input_is_known, true)) {
            callbacks.on_late_input({this->number, bytes, callbacks.now() - this->closed_at,
                                     this->closed_with_input, left_unread});
        }
    }

    void drop_late_input(evbuffer* input) {
        const std::size_t bytes = evbuffer_get_length(input);
        evbuffer_drain(input, bytes);
        this->report_late_input(bytes, false);
        this->drained_bytes += bytes;
        const base::micros since = this->server->callbacks.now() - this->closed_at;
        if (this->unsent() == 0 &&
            (this->drained_bytes > max_drained_bytes || since > max_drain_time)) {
            this->close();
        }
    }

    // Some clients send an empty line after a body; it belongs to no request. Returns false if
    // there are too many of them, or if one is incomplete.
    bool skip_blank_lines(evbuffer* input) {
        while (!this->reading && evbuffer_get_length(input) > 0) {
            char next = 0;
            evbuffer_copyout(input, &next, 1);
            if (next != (this->in_blank_line ? '\n' : '\r')) {
                return !this->in_blank_line;
            }
            evbuffer_drain(input, 1);
            this->in_blank_line = !this->in_blank_line;
            if (++this->blank_bytes > max_blank_bytes) {
                return false;
            }
        }
        return true;
    }

    void begin_reading() {
        if (this->reading) {
            return;
        }
        this->remove_from_idle();
        this->reading = true;
        this->head_reported = false;
        this->request_start = this->last_received;
        this->apply_limits();
        this->set_read_timeout(this->limits.head_timeout);
    }

    void on_head_received() {
        if (std::exchange(this->head_reported, true)) {
            return;
        }
        if (this->server->callbacks.on_head) {
            this->server->callbacks.on_head(this->number);
        }
        if (this->reading &&
            http::same_name(http::value_of(this->reader.head().all, "Expect"), "100-continue")) {
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void begin_exchange() {
        this->set_read_timeout(base::milliseconds(0));
        this->reading = false;
        const std::size_t head_memory = this->reader.head_memory();
        this->exchange = std::make_shared<client_exchange>(
            this->weak_from_this(), this->number, std::move(this->reader.head()),
            this->reader.take_body(), this->request_start);
        this->exchange->head_memory = head_memory;
        const auto held = this->exchange;
        this->server->callbacks.on_request(held);
    }

    void end_exchange(bool keep) {
        this->exchange.reset();
        if (this->socket == nullptr) {
            return;
        }
        if (!keep) {
            this->close_gracefully();
            return;
        }
        this->wait_for_request();
        if (evbuffer_get_length(bufferevent_get_input(this->socket)) > 0) {
            this->next_request_timer.set(base::micros(0));
        }
        this->close_if_stopped();
    }

    // During shutdown connections are not kept alive: the client must not send another request on
    // one that the end of the process will cut. One that has arrived is still served.
    void close_if_stopped() {
        if (this->server->stopped && this->may_close()) {
            this->close_idle();
        }
    }

    void on_output_drained() {
        if (this->exchange != nullptr) {
            const auto held = this->exchange;
            held->drained.emit();
            return;
        }
        if (!this->final_response_written && this->socket != nullptr &&
            evbuffer_get_length(bufferevent_get_input(this->socket)) > 0) {
            // The next request may have waited for this.
            this->next_request_timer.set(base::micros(0));
        }
        if (this->final_response_written && this->socket != nullptr) {
            shutdown(bufferevent_getfd(this->socket), SHUT_WR);
            this->linger();
        }
    }

    // Waits for the client to close its side as well.
    void linger() {
        if (this->leaves_input_unread) {
            this->linger_timer.set(linger_time);
        } else {
            this->set_read_timeout(linger_time);
        }
    }

    frontend_server* server;
    std::int64_t number;
    bufferevent* socket = nullptr;
    client_limits limits;
    http::request_reader reader;
    timer next_request_timer;
    // Ends a connection that is not read any more and that its client has not closed.
    timer linger_timer;
    // Waits for the client to close it.
    event* end_watch = nullptr;
    client_exchange_ptr exchange;
    base::instant request_start{};
    base::instant last_received{};
    base::instant idle_start{};
    // Key in the server's idle list; 0 if the connection is not idle.
    std::int64_t idle_key = 0;
    // Bytes of empty lines in front of the next request.
    std::size_t blank_bytes = 0;
    // Only the first half of an empty line has arrived.
    bool in_blank_line = false;
    std::size_t drained_bytes = 0;
    // A request has been received in part.
    bool reading = false;
    bool head_reported = false;
    bool chunked = true;
    bool keep_alive_after = true;
    // The final response on this connection has been written.
    bool final_response_written = false;
    // When that was, and whether bytes waited to be read then.
    base::instant closed_at{};
    bool closed_with_input = false;
    bool leaves_input_unread = false;
    // Late input has been reported, or is the rest of a request that was refused.
    bool late_input_is_known = false;
};

client_exchange::client_exchange(std::weak_ptr<client_connection> connection,
                                 std::int64_t connection_number, http::request_head head,
                                 std::string body, base::instant arrived)
    : head(std::move(head)), body(std::move(body)), arrived(arrived),
      connection_number(connection_number), connection(std::move(connection)) {}

bool client_exchange::is_open() const {
    const auto held = this->connection.lock();
    return held != nullptr && held->is_open();
}

void client_exchange::respond(int status, const http::fields& fields, const std::string& text) {
    if (const auto held = this->connection.lock(); held != nullptr && held->is_open()) {
        held->respond(status, fields, text);
    }
}

void client_exchange::start(int status, const http::fields& fields, response_end end) {
    if (const auto held = this->connection.lock(); held != nullptr && held->is_open()) {
        held->start(status, fields, end);
    }
}

void client_exchange::send(const std::string& bytes) {
    if (const auto held = this->connection.lock(); held != nullptr && !bytes.empty()) {
        held->send(bytes);
    }
}

void client_exchange::finish() {
    if (const auto held = this->connection.lock(); held != nullptr && held->is_open()) {
        held->finish();
    }
}

void client_exchange::abort() {
    if (const auto held = this->connection.lock()) {
        held->abort();
    }
}

void client_exchange::reset() {
    if (const auto held = this->connection.lock()) {
        held->reset();
    }
}

void client_exchange::close() {
    if (const auto held = this->connection.lock()) {
        held->close();
    }
}

std::size_t client_exchange::unsent() const {
    const auto held = this->connection.lock();
    return held == nullptr ? 0 : held->unsent();
}

frontend_server::frontend_server(event_base* base, frontend_callbacks callbacks)
    : base(base), callbacks(std::move(callbacks)),
      accept_retry_timer(base, [this] { this->retry_accepting(); }),
      accept_turn_timer(base, [this] { this->continue_accepting(); }) {}

frontend_server::~frontend_server() {
    if (this->listener != nullptr) {
        evconnlistener_free(this->listener);
    }
}

bool frontend_server::listen(const std::string& address) {
    auto parsed = parse_address(address);
    if (!parsed) {
        return false;
    }
    this->listener = evconnlistener_new_bind(
        this->base,
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
            static_cast<frontend_server*>(raw)->accept(descriptor);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, buffers::listen_backlog,
        reinterpret_cast<sockaddr*>(&*parsed), sizeof *parsed);
    if (this->listener == nullptr) {
        return false;
    }
    const int receive_buffer = buffers::receive_buffer_bytes;
    setsockopt(evconnlistener_get_fd(this->listener), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
    evconnlistener_set_error_cb(this->listener, [](evconnlistener*, void* raw) {
        static_cast<frontend_server*>(raw)->accept_failed();
    });
    return true;
}

void frontend_server::limit_connections(std::size_t count) {
    this->connection_limit = count;
    this->close_idle_connections();
}

void frontend_server::accept(int descriptor) {
    const std::int64_t number = ++this->last_connection;
    this->connections.emplace(number,
                              std::make_shared<client_connection>(*this, number, descriptor));
    this->close_idle_connections();
    if (this->connections.size() >= this->connection_limit) {
        this->pause_accepting();
    } else if (++this->accepts_this_turn >= max_accepts_per_turn && this->listener != nullptr) {
        evconnlistener_disable(this->listener);
        this->accept_turn_timer.set(base::micros(0));
    }
}

void frontend_server::continue_accepting() {
    this->accepts_this_turn = 0;
    if (!this->is_paused && this->listener != nullptr) {
        evconnlistener_enable(this->listener);
    }
}

// Pauses accepting: otherwise the event loop would retry at once for as long as the process lacks
// descriptors.
void frontend_server::accept_failed() {
    if (errno == EMFILE && this->lowers_limit) {
        // Other parts of the process use more descriptors than planned, or the system limit is
        // lower: lower the connection limit permanently.
        constexpr std::size_t kept_quarters = 3;
        this->connection_limit =
            std::max<std::size_t>(1, this->connections.size() * kept_quarters / 4);
    }
    this->close_idle_connections();
    this->pause_accepting();
}

void frontend_server::remove(std::int64_t number) {
    this->connections.erase(number);
    this->refused.erase(number);
    if (this->is_paused && this->connections.size() < this->connection_limit) {
        this->resume_accepting();
    }
}

void frontend_server::keep_refused(std::int64_t number) {
    if (this->connections.count(number) == 0) {
        return;
    }
    this->refused.insert(number);
    if (this->refused.size() > max_refused_connections) {
        this->reset(*this->refused.begin());
    }
}

void frontend_server::close_idle_connections() {
    const base::instant now = this->callbacks.now();
    const std::size_t spare =
        std::clamp<std::size_t>(this->connection_limit / spare_divisor, 1, max_spare_connections);
    auto next = this->idle.begin();
    while (next != this->idle.end() &&
           this->connections.size() + spare > this->connection_limit + this->closing_count) {
        client_connection* oldest_idle = next->second;
        ++next;
        if (now - oldest_idle->idle_since() < min_idle_time) {
            return;
        }
        if (oldest_idle->may_close()) {
            ++this->idle_closed_count;
            oldest_idle->close_idle();
        }
    }
}

void frontend_server::refuse_stalled_requests() {
    const base::instant now = this->callbacks.now();
    const auto connections_copy = this->connections;
    for (const auto& [number, connection] : connections_copy) {
        if (connection->stalled(now)) {
            connection->refuse(status_timeout);
        }
    }
}

void frontend_server::retry_accepting() {
    if (!this->is_paused) {
        return;
    }
    this->close_idle_connections();
    this->refuse_stalled_requests();
    if (this->connections.size() < this->connection_limit) {
        this->resume_accepting();
        return;
    }
    this->accept_retry_timer.set(accept_retry_period);
}

void frontend_server::pause_accepting() {
    if (this->is_paused || this->listener == nullptr) {
        return;
    }
    this->is_paused = true;
    ++this->pause_count;
    evconnlistener_disable(this->listener);
    this->accept_retry_timer.set(accept_retry_period);
}

void frontend_server::resume_accepting() {
    this->is_paused = false;
    this->accept_retry_timer.clear();
    if (this->listener != nullptr) {
        evconnlistener_enable(this->listener);
    }
}

std::uint16_t frontend_server::port() const {
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    if (this->listener == nullptr ||
        getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr*>(&bound),
                    &length) != 0) {
        return 0;
    }
    return ntohs(bound.sin_port);
}

void frontend_server::close_after_responses() {
    this->close_after_response = true;
}

// The listener's queue holds connections that their clients already use, and freeing the listener
// would reset them.
void frontend_server::accept_waiting() {
    while (this->listener != nullptr && !this->is_paused) {
        const int accepted = accept4(evconnlistener_get_fd(this->listener), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        this->accept(accepted);
    }
}

stop_summary frontend_server::stop() {
    stop_summary found;
    this->close_after_response = true;
    this->accept_waiting();
    this->stopped = true;
    if (this->listener != nullptr) {
        evconnlistener_free(std::exchange(this->listener, nullptr));
    }
    const auto connections_copy = this->connections;
    for (const auto& [number, connection] : connections_copy) {
        if (!connection->idle()) {
            ++found.busy;
            continue;
        }
        ++found.idle;
        if (connection->may_close()) {
            connection->close_idle();
        } else {
            ++found.idle_with_input;
        }
    }
    return found;
}

std::size_t frontend_server::pending_requests() const {
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(),
                      [](const auto& each) { return each.second->has_pending_request(); }));
}

connection_buffers frontend_server::buffered(std::int64_t connection) const {
    const auto found = this->connections.find(connection);
    return found == this->connections.end() ? connection_buffers{} : found->second->buffered();
}

void frontend_server::refuse(std::int64_t connection, int status, const http::fields& fields,
                             const std::string& body) {
    const auto found = this->connections.find(connection);
    if (found != this->connections.end()) {
        const auto held = found->second;
        held->refuse(status, fields, body);
    }
}

void frontend_server::reset(std::int64_t connection) {
    const auto found = this->connections.find(connection);
    if (found != this->connections.end()) {
        const auto held = found->second;
        held->reset();
    }
}

std::size_t frontend_server::unsent() const {
    std::size_t bytes = 0;
    for (const auto& [number, connection] : this->connections) {
        bytes += connection->unsent();
    }
    return bytes;
}

} // namespace camphorrail::adapters
