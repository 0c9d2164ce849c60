#include "adapters/http_server.h"

#include "adapters/event_loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace camphorrail::adapters {

namespace {

struct method_name {
    evhttp_cmd_type number;
    const char* name;
};

constexpr method_name methods[] = {{EVHTTP_REQ_GET, "GET"},        {EVHTTP_REQ_POST, "POST"},
                                   {EVHTTP_REQ_HEAD, "HEAD"},      {EVHTTP_REQ_PUT, "PUT"},
                                   {EVHTTP_REQ_DELETE, "DELETE"},  {EVHTTP_REQ_PATCH, "PATCH"},
                                   {EVHTTP_REQ_OPTIONS, "OPTIONS"}};

constexpr unsigned all_methods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                 EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                                 EVHTTP_REQ_OPTIONS;

std::string name_of(evhttp_cmd_type number) {
    for (const auto& method : methods) {
        if (method.number == number) {
            return method.name;
        }
    }
    return "OTHER";
}

std::string take_body(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

std::string path_of(const std::string& target) {
    return target.substr(0, target.find('?'));
}

bufferevent* socket_of(evhttp_request* request) {
    return evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
}

void remove_read_callback(bufferevent* socket) {
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(socket, nullptr, &on_write, &on_event, &argument);
    bufferevent_setcb(socket, nullptr, on_write, on_event, argument);
}

void disable_delay(bufferevent* socket) {
    int on = 1;
    setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

http_exchange::http_exchange(http_server& server, evhttp_request* request)
    : server(&server), request(request), socket(socket_of(request)),
      request_method(name_of(evhttp_request_get_command(request))),
      request_target(evhttp_request_get_uri(request)), request_path(path_of(this->request_target)),
      request_body(take_body(request)) {
    const evkeyvalq* fields = evhttp_request_get_input_headers(request);
    for (const evkeyval* field = fields->tqh_first; field != nullptr;
         field = field->next.tqe_next) {
        this->request_headers.emplace_back(field->key, field->value);
    }
    evhttp_connection* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, on_closed, this);
    // evhttp stops reading once the request is there, and would then not notice its caller leave
    // before the answer begins; the work would go on for nobody. Its read callback ends the process
    // if anything arrives before that, such as the next request.
    remove_read_callback(this->socket);
    bufferevent_enable(this->socket, EV_READ);
}

std::string http_exchange::header(const std::string& name) const {
    for (const auto& [key, value] : this->request_headers) {
        if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

void http_exchange::reply(int status, const ports::headers& fields, const std::string& body) {
    if (this->request == nullptr) {
        return;
    }
    this->add_headers(fields);
    evbuffer* output = evhttp_request_get_output_buffer(this->request);
    evbuffer_add(output, body.data(), body.size());
    evhttp_connection_set_closecb(evhttp_request_get_connection(this->request), nullptr, nullptr);
    evhttp_send_reply(this->request, status, nullptr, nullptr);
    this->finish();
}

void http_exchange::start(int status, const ports::headers& fields) {
    if (this->request == nullptr) {
        return;
    }
    this->add_headers(fields);
    evhttp_send_reply_start(this->request, status, nullptr);
}

void http_exchange::start_until_close(int status, const ports::headers& fields) {
    if (this->request == nullptr) {
        return;
    }
    // evhttp leaves chunks out for callers that speak HTTP/1.0.
    this->request->minor = 0;
    this->start(status, fields);
}

void http_exchange::send(const std::string& bytes) {
    if (this->request == nullptr || bytes.empty()) {
        return;
    }
    evbuffer* piece = evbuffer_new();
    evbuffer_add(piece, bytes.data(), bytes.size());
    evhttp_send_reply_chunk_with_cb(this->request, piece, on_drained, this);
    evbuffer_free(piece);
}

void http_exchange::end() {
    if (this->request == nullptr) {
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(this->request), nullptr, nullptr);
    evhttp_send_reply_end(this->request);
    this->finish();
}

void http_exchange::abort() {
    if (this->request == nullptr) {
        return;
    }
    evhttp_connection* connection = evhttp_request_get_connection(this->request);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    this->request = nullptr;
    evhttp_connection_free(connection);
    this->finish();
}

std::size_t http_exchange::unread_bytes() const {
    if (this->request == nullptr) {
        return 0;
    }
    return evbuffer_get_length(bufferevent_get_output(this->socket));
}

void http_exchange::on_closed(evhttp_connection* /*connection*/, void* self) {
    const exchange_ptr held = static_cast<http_exchange*>(self)->shared_from_this();
    held->request = nullptr; // evhttp frees it with its connection
    held->gone.emit();
    held->finish();
}

void http_exchange::on_drained(evhttp_connection* /*connection*/, void* self) {
    const exchange_ptr held = static_cast<http_exchange*>(self)->shared_from_this();
    held->drained.emit();
}

void http_exchange::add_headers(const ports::headers& fields) {
    evkeyvalq* output = evhttp_request_get_output_headers(this->request);
    for (const auto& [name, value] : fields) {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

void http_exchange::finish() {
    const exchange_ptr held = this->shared_from_this();
    this->request = nullptr;
    this->server->sockets[this->socket] = {this->server};
    this->server->exchanges.erase(this);
}

http_server::http_server(event_base* base, http_limits limits,
                         std::function<void(exchange_ptr)> handler)
    : handle(evhttp_new(base)), max_input_bytes(static_cast<std::size_t>(
                                    limits.max_header_bytes + 2 * limits.max_body_bytes)),
      receive_timeout(limits.receive_timeout), handler(std::move(handler)) {
    evhttp_set_bevcb(this->handle, make_socket, this);
    evhttp_set_max_headers_size(this->handle, limits.max_header_bytes);
    // Bodies a little above the limit still reach us, so that they get our numbered answer; far
    // larger ones are refused by evhttp before they take up memory.
    evhttp_set_max_body_size(this->handle, 2 * limits.max_body_bytes);
    evhttp_set_timeout(this->handle, limits.idle_timeout_s);
    evhttp_set_allowed_methods(this->handle, all_methods);
    evhttp_set_default_content_type(this->handle, nullptr);
    evhttp_set_gencb(this->handle, on_request, this);
}

http_server::~http_server() {
    for (auto& [raw, held] : this->exchanges) {
        held->request = nullptr;
    }
    evhttp_free(this->handle);
}

bool http_server::listen(const std::string& address) {
    const auto colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    this->bound = evhttp_bind_socket_with_handle(this->handle, host.c_str(), port);
    return this->bound != nullptr;
}

void http_server::stop_listening() {
    if (this->bound != nullptr) {
        evhttp_del_accept_socket(this->handle, this->bound);
        this->bound = nullptr;
    }
}

bufferevent* http_server::make_socket(event_base* base, void* self) {
    auto* owner = static_cast<http_server*>(self);
    bufferevent* made = bufferevent_socket_new(base, -1, 0);
    owner->sockets[made] = {owner};
    bufferevent_setwatermark(made, EV_READ, 0, owner->max_input_bytes);
    evbuffer_add_cb(bufferevent_get_input(made), on_input, &*owner->sockets.find(made));
    return made;
}

// evhttp does not bound some of what it keeps, such as the size of a chunk that never ends, nor the
// time of a request whose bytes arrive one by one.
void http_server::on_input(evbuffer* input, const evbuffer_cb_info* change,
                           void* socket_reception) {
    auto& [socket, receiving] = *static_cast<receptions::value_type*>(socket_reception);
    if (change->n_added > 0 &&
        receiving.server->is_beyond_limits(receiving, evbuffer_get_length(input))) {
        bufferevent_trigger_event(socket, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
    }
}

bool http_server::is_beyond_limits(reception& receiving, std::size_t unread_bytes) const {
    if (unread_bytes >= this->max_input_bytes) {
        return true;
    }
    if (receiving.in_exchange) {
        return false;
    }
    const base::instant now = boot_now();
    if (!receiving.began_at) {
        receiving.began_at = now;
    }
    return now - *receiving.began_at > this->receive_timeout;
}

void http_server::on_request(evhttp_request* request, void* self) {
    auto* owner = static_cast<http_server*>(self);
    bufferevent* socket = socket_of(request);
    disable_delay(socket);
    owner->sockets[socket] = {owner, true};
    auto made = std::make_shared<http_exchange>(*owner, request);
    owner->exchanges[made.get()] = made;
    owner->handler(made);
}

} // namespace camphorrail::adapters
