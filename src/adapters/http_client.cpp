#include "adapters/http_client.h"

#include "adapters/event_loop.h"
#include "adapters/sockets.h"
#include "adapters/timer.h"
#include "http/readers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <memory>
#include <netinet/in.h>
#include <utility>

namespace camphorrail::adapters {

namespace {

constexpr base::milliseconds connect_timeout{2000};
// An answer's head.
constexpr std::size_t max_head_bytes = 64U << 10U;
// Bytes that arrived and are part of no complete chunk yet, such as the size of a chunk that never
// ends. evhttp keeps them without a bound of its own.
constexpr std::size_t max_unread_bytes = 16U << 20U;
// What chunks may add to an answer, as a part of its body.
constexpr std::size_t framing_divisor = 4;
// A fifth of the slowest links, which carry other traffic as well.
constexpr std::int64_t slow_link_bytes_per_ms = 250;

evhttp_cmd_type to_command(const std::string& method) {
    if (method == "GET") {
        return EVHTTP_REQ_GET;
    }
    if (method == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    return EVHTTP_REQ_POST;
}

ports::headers copy_fields(const evkeyvalq* all) {
    ports::headers copied;
    for (const evkeyval* each = all->tqh_first; each != nullptr; each = each->next.tqe_next) {
        copied.emplace_back(each->key, each->value);
    }
    return copied;
}

// One call from its first byte to its end. It holds itself until then.
class running_call : public std::enable_shared_from_this<running_call> {
public:
    running_call(event_base* base, std::string address, ports::upstream_call call,
                 ports::response_handler handler, http_call_options options)
        : base(base), address(std::move(address)), call(std::move(call)),
          handler(std::move(handler)), options(options),
          end_timer(base, [this] { this->on_end_timer(); }), began_at(boot_now()) {}

    ~running_call() { this->release(); }

    running_call(const running_call&) = delete;
    running_call& operator=(const running_call&) = delete;

    void start() {
        this->self = this->shared_from_this();
        if (this->options.max_body_bytes > 0) {
            this->end_timer.set(this->options.timeout);
        }
        if (this->options.probe_first) {
            this->probe();
        } else {
            this->send();
        }
    }

    void cancel() {
        this->handler = {};
        this->finish();
    }

    void set_reading(bool on) {
        if (this->connection == nullptr) {
            return;
        }
        bufferevent* socket = evhttp_connection_get_bufferevent(this->connection);
        if (on) {
            bufferevent_enable(socket, EV_READ);
        } else {
            bufferevent_disable(socket, EV_READ);
        }
    }

private:
    void probe() {
        sockaddr_storage storage{};
        int length = sizeof storage;
        evutil_parse_sockaddr_port(this->address.c_str(), reinterpret_cast<sockaddr*>(&storage),
                                   &length);
        this->probe_socket = bufferevent_socket_new(this->base, -1, BEV_OPT_CLOSE_ON_FREE);
        const timeval limit = to_timeval(connect_timeout);
        bufferevent_set_timeouts(this->probe_socket, &limit, &limit);
        bufferevent_setcb(this->probe_socket, nullptr, nullptr, on_probe, this);
        bufferevent_enable(this->probe_socket, EV_READ | EV_WRITE);
        bufferevent_socket_connect(this->probe_socket, reinterpret_cast<sockaddr*>(&storage),
                                   length);
    }

    static void on_probe(bufferevent* /*socket*/, short what, void* raw) {
        const auto held = static_cast<running_call*>(raw)->shared_from_this();
        bufferevent_free(held->probe_socket);
        held->probe_socket = nullptr;
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            held->send();
        } else {
            held->fail(base::code::upstream_unreachable);
        }
    }

    void send() {
        const auto colon = this->address.rfind(':');
        const std::string host = this->address.substr(0, colon);
        const auto port = static_cast<std::uint16_t>(std::stoi(this->address.substr(colon + 1)));
        this->connection = evhttp_connection_base_bufferevent_new(this->base, nullptr, nullptr,
                                                                  host.c_str(), port);
        evhttp_connection_set_retries(this->connection, 0);
        const timeval limit = to_timeval(this->options.timeout);
        evhttp_connection_set_timeout_tv(this->connection, &limit);
        evhttp_connection_set_max_headers_size(this->connection,
                                               static_cast<ev_ssize_t>(max_head_bytes));
        if (this->options.max_body_bytes > 0) {
            evhttp_connection_set_max_body_size(
                this->connection, static_cast<ev_ssize_t>(this->options.max_body_bytes));
        }
        evbuffer_add_cb(
            bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)),
            [](evbuffer* input, const evbuffer_cb_info* change, void* raw) {
                static_cast<running_call*>(raw)->on_input(evbuffer_get_length(input),
                                                          change->n_added);
            },
            this);
        evhttp_request* request = evhttp_request_new(on_done, this);
        evhttp_request_set_header_cb(request, on_header);
        evhttp_request_set_chunked_cb(request, on_piece);
        evhttp_request_set_error_cb(request, on_error);
        evkeyvalq* fields = evhttp_request_get_output_headers(request);
        evhttp_add_header(fields, "Host", this->address.c_str());
        evhttp_add_header(fields, "Connection", "close");
        for (const auto& [name, value] : this->call.fields) {
            evhttp_add_header(fields, name.c_str(), value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), this->call.body.data(),
                     this->call.body.size());
        if (evhttp_make_request(this->connection, request, to_command(this->call.method),
                                this->call.path.c_str()) != 0) {
            this->fail(base::code::upstream_failed);
        }
    }

    static int on_header(evhttp_request* request, void* raw) {
        const auto held = static_cast<running_call*>(raw)->shared_from_this();
        const int status = evhttp_request_get_response_code(request);
        if (!http::is_status(status)) {
            // evhttp takes any number. The call fails.
            return -1;
        }
        const evkeyvalq* all = evhttp_request_get_input_headers(request);
        if (held->handler.fields) {
            held->handler.fields(copy_fields(all));
        }
        const char* type = evhttp_find_header(all, "Content-Type");
        if (held->handler.started) {
            held->handler.started(status, type == nullptr ? "" : type);
        }
        return 0;
    }

    static void on_piece(evhttp_request* request, void* raw) {
        const auto held = static_cast<running_call*>(raw)->shared_from_this();
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        if (held->handler.received && !bytes.empty()) {
            held->handler.received(std::move(bytes));
        }
    }

    static void on_error(evhttp_request_error /*kind*/, void* raw) {
        static_cast<running_call*>(raw)->errored = true;
    }

    // evhttp calls this with no request, or with code 0, when the connection failed at any point.
    // It can't be told from here whether the request had left, so the code says it may have run.
    static void on_done(evhttp_request* request, void* raw) {
        const auto held = static_cast<running_call*>(raw)->shared_from_this();
        const bool whole =
            request != nullptr && !held->errored && evhttp_request_get_response_code(request) != 0;
        if (!whole) {
            held->fail(base::code::upstream_failed);
            return;
        }
        on_piece(request, raw);
        const auto ended = held->handler.ended;
        held->handler = {};
        held->finish_later();
        if (ended) {
            ended();
        }
    }

    void on_input(std::size_t unread, std::size_t added) {
        this->received += added;
        const std::size_t body = this->options.max_body_bytes;
        const bool too_much =
            body > 0 && this->received > body + body / framing_divisor + max_head_bytes;
        if ((too_much || unread > max_unread_bytes) && !std::exchange(this->is_given_up, true)) {
            this->end_timer.set(base::micros(0));
        }
    }

    void on_end_timer() {
        const auto held = this->shared_from_this();
        const auto left =
            allowed_time(this->options.timeout, this->received) - (boot_now() - this->began_at);
        if (this->is_given_up || left <= base::micros(0)) {
            this->fail(base::code::upstream_failed);
        } else {
            this->end_timer.set(std::chrono::duration_cast<base::micros>(left));
        }
    }

    void fail(base::code number) {
        const auto failed = this->handler.failed;
        this->handler = {};
        this->finish_later();
        if (failed) {
            failed(number);
        }
    }

    // evhttp still uses the connection while one of its callbacks runs.
    void finish_later() {
        if (std::exchange(this->is_finishing, true)) {
            return;
        }
        const timeval now{0, 0};
        event_base_once(
            this->base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void* raw) { static_cast<running_call*>(raw)->finish(); },
            this, &now);
    }

    void finish() {
        this->end_timer.clear();
        const auto held = std::move(this->self);
        this->release();
    }

    void release() {
        if (this->probe_socket != nullptr) {
            bufferevent_free(this->probe_socket);
            this->probe_socket = nullptr;
        }
        if (this->connection != nullptr) {
            evhttp_connection* closing = this->connection;
            this->connection = nullptr;
            evhttp_connection_free(closing);
        }
    }

    event_base* base;
    std::string address;
    ports::upstream_call call;
    ports::response_handler handler;
    http_call_options options;
    bufferevent* probe_socket = nullptr;
    evhttp_connection* connection = nullptr;
    bool errored = false;
    // Ends a call whose answer does not, and one that was given up.
    timer end_timer;
    base::instant began_at;
    std::size_t received = 0;
    bool is_given_up = false;
    bool is_finishing = false;
    std::shared_ptr<running_call> self;
};

} // namespace

base::milliseconds allowed_time(base::milliseconds timeout, std::size_t received_bytes) {
    return timeout +
           base::milliseconds(static_cast<std::int64_t>(received_bytes) / slow_link_bytes_per_ms);
}

ports::call_handle http_call(event_base* base, const std::string& address,
                             const ports::upstream_call& call, ports::response_handler handler,
                             http_call_options options) {
    const auto running =
        std::make_shared<running_call>(base, address, call, std::move(handler), options);
    running->start();
    const std::weak_ptr<running_call> weak = running;
    const auto with = [weak](auto action) {
        return [weak, action] {
            if (const auto held = weak.lock()) {
                action(*held);
            }
        };
    };
    return {with([base](running_call& held) {
                // The caller may be inside one of the call's own callbacks.
                const timeval now{0, 0};
                auto* kept = new std::shared_ptr<running_call>(held.shared_from_this());
                event_base_once(
                    base, -1, EV_TIMEOUT,
                    [](evutil_socket_t, short, void* raw) {
                        const std::unique_ptr<std::shared_ptr<running_call>> owned(
                            static_cast<std::shared_ptr<running_call>*>(raw));
                        (*owned)->cancel();
                    },
                    kept, &now);
            }),
            with([](running_call& held) { held.set_reading(false); }),
            with([](running_call& held) { held.set_reading(true); })};
}

void http_fetch(event_base* base, const std::string& address, const ports::upstream_call& call,
                http_call_options options, std::size_t max_bytes,
                std::function<void(base::result<http_answer>)> done) {
    struct state {
        http_answer answer;
        ports::call_handle handle;
        bool over = false;
    };
    const auto held = std::make_shared<state>();
    options.max_body_bytes = max_bytes;
    const auto fail = [held, done](base::code number) {
        if (!held->over) {
            held->over = true;
            done(number);
        }
    };
    held->handle = http_call(
        base, address, call,
        {[held](int status, const std::string&) { held->answer.status = status; },
         [held, fail, max_bytes](const std::string& bytes) {
             held->answer.body += bytes;
             if (held->answer.body.size() > max_bytes) {
                 held->handle.cancel();
                 fail(base::code::platform_answer_malformed);
             }
         },
         [held, done] {
             if (!held->over) {
                 held->over = true;
                 done(held->answer);
             }
         },
         fail, [held](ports::headers fields) { held->answer.fields = std::move(fields); }},
        options);
}

} // namespace camphorrail::adapters
