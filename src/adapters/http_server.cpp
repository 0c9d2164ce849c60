#include "adapters/http_server.h"

#include "adapters/event_loop.h"

#include <algorithm>
#include <utility>

namespace camphorrail::adapters {

namespace {

constexpr int status_unavailable = 503;
// From the first byte of a request to the last one of its head, and between two bytes behind that.
constexpr base::milliseconds head_timeout{10000};
// Connections are measured this often beside each time that they receive something.
constexpr base::milliseconds memory_check_period{100};

std::string path_of(const std::string& target) {
    return target.substr(0, target.find('?'));
}

http::fields to_fields(const ports::headers& all) {
    http::fields fields;
    for (const auto& [name, value] : all) {
        fields.push_back({name, value});
    }
    return fields;
}

client_limits to_client_limits(const http_limits& limits) {
    client_limits all;
    all.read = {static_cast<std::uint32_t>(limits.max_header_bytes),
                static_cast<std::uint64_t>(limits.max_body_bytes)};
    all.idle_timeout = base::seconds(limits.idle_timeout_s);
    all.head_timeout = std::min(head_timeout, limits.receive_timeout);
    all.receive_timeout = limits.receive_timeout;
    return all;
}

} // namespace

http_exchange::http_exchange(http_server& server, client_exchange_ptr request)
    : server(&server), request(std::move(request)),
      request_path(path_of(this->request->head.target)) {}

std::string http_exchange::header(const std::string& name) const {
    return std::string(http::value_of(this->request->head.all, name));
}

bool http_exchange::may_hold(std::size_t bytes) {
    return !this->is_open ||
           this->server->memory.may_take({this->request->connection_number},
                                         {static_cast<std::int64_t>(bytes), 0, 0});
}

void http_exchange::set_held(std::size_t bytes) {
    this->held_bytes = bytes;
    if (this->is_open) {
        this->server->memory.update({this->request->connection_number});
    }
}

void http_exchange::reply(int status, const ports::headers& fields, const std::string& body) {
    if (!this->is_open) {
        return;
    }
    const exchange_ptr held = this->shared_from_this();
    this->finish();
    const bool has_body = this->method() != "HEAD";
    this->request->respond(status, to_fields(fields), has_body ? body : std::string());
}

void http_exchange::start(int status, const ports::headers& fields) {
    if (this->is_open) {
        this->has_started = true;
        this->request->start(status, to_fields(fields));
    }
}

void http_exchange::start_until_close(int status, const ports::headers& fields) {
    if (this->is_open) {
        this->has_started = true;
        this->request->start(status, to_fields(fields), response_end::close);
    }
}

void http_exchange::send(const std::string& bytes) {
    if (this->is_open) {
        this->request->send(bytes);
        this->server->memory.update({this->request->connection_number});
    }
}

void http_exchange::end() {
    if (!this->is_open) {
        return;
    }
    const exchange_ptr held = this->shared_from_this();
    this->finish();
    this->request->finish();
}

void http_exchange::abort() {
    if (!this->is_open) {
        return;
    }
    const exchange_ptr held = this->shared_from_this();
    this->finish();
    this->request->close();
}

std::size_t http_exchange::unread_bytes() const {
    return this->is_open ? this->request->unsent() : 0;
}

void http_exchange::on_disconnected() {
    if (!this->is_open) {
        return;
    }
    const exchange_ptr held = this->shared_from_this();
    this->finish();
    this->gone.emit();
}

void http_exchange::finish() {
    this->is_open = false;
    this->server->exchanges.erase(this->request->connection_number);
}

buffers::holding http_exchange::measure() const {
    buffers::holding now;
    now.held.request_bodies = static_cast<std::int64_t>(
        http::memory_of(this->request->body) + this->request->head_memory + this->held_bytes);
    now.progress = this->has_started ? buffers::stage::responding : buffers::stage::running;
    // The owner of the request knows alone whether it has run.
    now.may_yield = this->has_started;
    return now;
}

http_server::http_server(event_base* base, http_limits limits,
                         std::function<void(exchange_ptr)> handler)
    : limits(limits), handler(std::move(handler)),
      memory(
          base,
          {[this] { return this->limits.memory; },
           [this](buffers::holder_id holder) -> std::optional<buffers::holding> {
               const auto exchange = this->exchange_of(holder);
               return exchange == nullptr ? std::nullopt : std::optional(exchange->measure());
           },
           [this](buffers::holder_id holder) { this->yield(holder); },
           [this](buffers::holder_id /*holder*/) { return this->refusal_of(status_unavailable); },
           [this](buffers::holder_id /*holder*/, const buffers::amounts& held) {
               if (this->on_yield) {
                   this->on_yield(buffers::total(held));
               }
           }}),
      frontend(base,
               {[this](const client_exchange_ptr& request) { this->on_request(request); },
                [this] { return to_client_limits(this->limits); },
                boot_now,
                [](int /*status*/) {},
                [this](std::int64_t connection) { this->memory.record_received({connection}); },
                {},
                [this](std::int64_t connection) { this->memory.check_announced({connection}); },
                [this](int status) { return this->refusal_of(status); }}),
      memory_timer(base, [this] { this->regularly(); }) {
    this->memory.connect(this->frontend);
    this->frontend.limit_connections(limits.max_connections);
    if (!limits.lowers_max_connections) {
        this->frontend.keep_connection_limit();
    }
    if (this->memory.has_budget()) {
        this->memory_timer.set(memory_check_period);
    }
}

http_server::~http_server() {
    for (const auto& [connection, exchange] : this->exchanges) {
        exchange->is_open = false;
    }
}

bool http_server::listen(const std::string& address) {
    return this->frontend.listen(address);
}

void http_server::stop_listening() {
    this->frontend.stop();
}

void http_server::on_request(const client_exchange_ptr& request) {
    const auto made = std::make_shared<http_exchange>(*this, request);
    this->exchanges[request->connection_number] = made;
    const std::weak_ptr<http_exchange> weak = made;
    request->disconnected.connect([weak] {
        if (const auto held = weak.lock()) {
            held->on_disconnected();
        }
    });
    request->drained.connect([weak] {
        if (const auto held = weak.lock(); held != nullptr && held->is_open) {
            held->drained.emit();
        }
    });
    this->memory.update({request->connection_number});
    this->handler(made);
}

void http_server::regularly() {
    this->memory.tick();
    this->memory_timer.set(memory_check_period);
}

void http_server::yield(buffers::holder_id holder) {
    const auto exchange = this->exchange_of(holder);
    this->frontend.reset(holder.value);
    exchange->on_disconnected();
}

refusal http_server::refusal_of(int status) const {
    return this->make_refusal ? this->make_refusal(status) : refusal{};
}

exchange_ptr http_server::exchange_of(buffers::holder_id holder) const {
    const auto found = this->exchanges.find(holder.value);
    return found == this->exchanges.end() ? nullptr : found->second;
}

} // namespace camphorrail::adapters
