#include "proxy_world.h"

#include "adapters/sockets.h"
#include "adapters/timer.h"
#include "http/writers.h"
#include "own_address.h"
#include "proxy/retry_shares.h"
#include "raw_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorrail::tests {

namespace {

std::string_view contents(evbuffer* input) {
    const auto length = evbuffer_get_length(input);
    return {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length};
}

std::string address_of(evconnlistener* listener) {
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(listener), reinterpret_cast<sockaddr*>(&bound), &length);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void reset_on_close(bufferevent* socket) {
    const struct linger at_once { 1, 0 };
    setsockopt(bufferevent_getfd(socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

} // namespace

struct scripted_engine::connection {
    scripted_engine* owner = nullptr;
    bufferevent* socket = nullptr;
    http::request_reader reader{{}};
    engine_script left;
    std::unique_ptr<adapters::timer> trickle_timer;
    bool is_repeating = false;

    ~connection() { this->release(); }

    void release() {
        if (this->socket != nullptr) {
            bufferevent_free(std::exchange(this->socket, nullptr));
            this->owner->repeating -= std::exchange(this->is_repeating, false) ? 1 : 0;
        }
    }

    void begin_repeating() {
        this->owner->repeating += std::exchange(this->is_repeating, true) ? 0 : 1;
    }

    void read() {
        evbuffer* input = bufferevent_get_input(this->socket);
        while (this->socket != nullptr && evbuffer_get_length(input) > 0) {
            evbuffer_drain(input, this->reader.feed(contents(input)));
            const bool is_early = this->owner->is_early && this->reader.has_head();
            if (!this->reader.complete() && !is_early) {
                return;
            }
            if (!this->reader.complete()) {
                bufferevent_disable(this->socket, EV_READ);
            }
            engine_request got{this->reader.head(), this->reader.take_body()};
            this->reader = http::request_reader({});
            this->owner->requests.push_back(got);
            auto script = std::exchange(this->owner->next_script, {});
            this->left = script.empty() ? this->owner->answer(got) : std::move(script);
            this->step();
        }
    }

    // Called again once the bytes have left, as for each step.
    void repeat(const std::string& bytes) {
        this->begin_repeating();
        constexpr std::size_t block_bytes = 64U << 10U;
        std::string block;
        while (block.size() < block_bytes) {
            block += bytes;
        }
        this->owner->repeated_bytes += block.size();
        bufferevent_write(this->socket, block.data(), block.size());
    }

    void trickle(const std::string& bytes, std::size_t next) {
        constexpr base::milliseconds pause{5};
        if (this->socket == nullptr) {
            return;
        }
        this->begin_repeating();
        ++this->owner->repeated_bytes;
        bufferevent_write(this->socket, &bytes[next % bytes.size()], 1);
        this->trickle_timer = std::make_unique<adapters::timer>(
            this->owner->base, [this, bytes, next] { this->trickle(bytes, next + 1); });
        this->trickle_timer->set(pause);
    }

    // Sends go out before a close or reset: the rest of the script waits until they have left.
    void step() {
        while (this->socket != nullptr && !this->left.empty()) {
            const engine_step next = this->left.front();
            if (next.what == engine_step::kind::send) {
                this->left.erase(this->left.begin());
                bufferevent_write(this->socket, next.bytes.data(), next.bytes.size());
                return;
            }
            if (next.what == engine_step::kind::hang) {
                this->left.clear();
                return;
            }
            if (next.what == engine_step::kind::hold) {
                return;
            }
            if (next.what == engine_step::kind::crash) {
                this->owner->crash();
                return;
            }
            if (next.what == engine_step::kind::repeat) {
                this->repeat(next.bytes);
                return;
            }
            if (next.what == engine_step::kind::trickle) {
                this->trickle(next.bytes, 0);
                return;
            }
            if (next.what == engine_step::kind::reset) {
                reset_on_close(this->socket);
            }
            this->release();
        }
    }
};

scripted_engine::scripted_engine(event_base* base,
                                 std::function<engine_script(const engine_request&)> answer)
    : base(base), answer(std::move(answer)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->listener = evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* raw) {
            auto* self = static_cast<scripted_engine*>(raw);
            ++self->connections;
            auto made = std::make_shared<connection>();
            made->owner = self;
            made->socket = bufferevent_socket_new(self->base, descriptor, BEV_OPT_CLOSE_ON_FREE);
            bufferevent_setcb(
                made->socket,
                [](bufferevent*, void* held) { static_cast<connection*>(held)->read(); },
                [](bufferevent*, void* held) { static_cast<connection*>(held)->step(); },
                [](bufferevent*, short, void* held) {
                    auto* ended = static_cast<connection*>(held);
                    ++ended->owner->closed_by_peer;
                    ended->release();
                },
                made.get());
            bufferevent_enable(made->socket, EV_READ | EV_WRITE);
            self->open.push_back(std::move(made));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, reinterpret_cast<sockaddr*>(&any),
        sizeof any);
    this->bound = address_of(this->listener);
}

scripted_engine::~scripted_engine() {
    this->stop_listening();
}

std::string scripted_engine::address() const {
    return this->bound;
}

void scripted_engine::stop_listening() {
    if (this->listener != nullptr) {
        evconnlistener_free(std::exchange(this->listener, nullptr));
    }
}

void scripted_engine::go_on() {
    for (const auto& each : this->open) {
        if (!each->left.empty() && each->left.front().what == engine_step::kind::hold) {
            each->left.erase(each->left.begin());
            each->step();
        }
    }
}

void scripted_engine::crash() {
    this->stop_listening();
    for (const auto& each : this->open) {
        each->release();
    }
}

struct proxy_world::caller {
    bufferevent* socket = nullptr;
    http::response_reader reader{{}};
    caller_view seen;
    bool head_seen = false;

    ~caller() { this->release(); }

    void release() {
        if (this->socket != nullptr) {
            bufferevent_free(std::exchange(this->socket, nullptr));
        }
    }

    void read() {
        evbuffer* input = bufferevent_get_input(this->socket);
        while (evbuffer_get_length(input) > 0) {
            const auto used = this->reader.feed(contents(input));
            evbuffer_drain(input, used);
            if (this->reader.has_head() && !this->head_seen) {
                this->head_seen = true;
                this->seen.whole = false;
                this->seen.heads.push_back(this->reader.head());
                this->seen.bodies.emplace_back();
            }
            if (this->head_seen) {
                this->seen.bodies.back() += this->reader.take_body();
            }
            if (this->reader.complete()) {
                this->reader = http::response_reader({});
                this->head_seen = false;
                this->seen.whole = true;
            }
            if (used == 0) {
                return;
            }
        }
    }

    void end(bool was_reset) {
        this->seen.ended = true;
        this->seen.reset = was_reset;
        this->release();
    }
};

proxy_world::proxy_world()
    : words(platform::make_dialect()),
      log((pipe(this->log_pipe.data()), this->log_pipe[1]), "entry-1", {}, [] { return 1000; }),
      connections(this->loop.base(), [this] { return this->now(); }),
      context{this->loop,
              this->settings,
              this->words,
              this->state,
              this->connections,
              this->log,
              this->metrics,
              [this] { return this->now(); },
              [this](const base::upstream_instance& upstream, base::micros span, const char* why) {
                  this->suspicions.record_failure(upstream, span, why);
              },
              [](const base::upstream_instance&, base::micros) {},
              [](const base::upstream_instance&, const base::model_id&, std::int64_t) {},
              [this](const base::upstream_instance& upstream) {
                  this->told.emplace_back(peering::upstream_draining{upstream});
              },
              [this](const proxy::broken_attempt& broken) {
                  this->crashes.record_broken_attempt(broken);
              },
              [this](const std::vector<base::request_digest>& parts) {
                  this->crashes.record_survived(parts);
              },
              [this](const base::request_id& request, const resumption::stream_origin& origin,
                     base::milliseconds deadline) {
                  resumption::record_origin(this->state.origins,
                                            {request, origin, this->now() + deadline});
              },
              [this](const base::request_id& request, const auto& done) {
                  this->asked_origins.push_back(request.value);
                  done(this->origins_elsewhere[request.value]);
              },
              [this](const base::upstream_instance& upstream, const ratelimit::statement& stated) {
                  this->limits.record(upstream, stated);
              },
              [this](const base::upstream_instance& upstream) {
                  this->suspicions.record_byte(upstream);
              }},
      crashes(this->context), limits(this->context), suspicions(this->context),
      buffered(this->context),
      server(this->loop.base(),
             {[this](const adapters::client_exchange_ptr& exchange) {
                  const auto flow = std::make_shared<proxy::request_flow>(this->context, exchange);
                  this->flows.insert(flow);
                  flow->on_end = [this, raw = std::weak_ptr<proxy::request_flow>(flow)] {
                      this->flows.erase(raw.lock());
                  };
                  flow->begin();
              },
              [this] { return this->caller_limits; }, this->context.now, [](int) {},
              [this](std::int64_t connection) { this->buffered.record_received({connection}); },
              [this](const adapters::late_input& late) { this->late_inputs.push_back(late); },
              [this](std::int64_t connection) { this->buffered.check_announced({connection}); }}) {
    this->context.buffers = &this->buffered;
    this->buffered.connect(this->server);
    this->crashes.broadcast = [this](const peering::message& message) {
        this->told.push_back(message);
    };
    this->crashes.send_clearances = this->crashes.broadcast;
    this->crashes.quarantine_started = [this](const quarantine::quarantined_request& held, bool) {
        const auto under_way = this->flows;
        for (const auto& flow : under_way) {
            flow->cancel_if_quarantined(held);
        }
    };
    this->limits.connected_entries = [this] { return this->linked; };
    this->limits.send = [this](const auto&, const peering::message& message) {
        this->told.push_back(message);
    };
    this->suspicions.listed_entries = [this] {
        std::vector<base::entry_id> all{this->settings.id};
        for (const auto& each : this->linked) {
            all.push_back(each.id);
        }
        return all;
    };
    this->suspicions.linked_entries = [this](std::int64_t) { return this->linked; };
    this->suspicions.send = this->limits.send;
    this->suspicions.move_attempts = [this](const base::upstream_instance& upstream) {
        const auto under_way = this->flows;
        for (const auto& flow : under_way) {
            flow->leave_suspected_upstream(upstream);
        }
    };
    this->settings.peer_listen = own_address(18994);
    using routes::request_kind;
    const auto route = [](const char* name, request_kind kind, int attempts, bool resumable) {
        return routes::route{.name = name,
                             .host = "desk.example",
                             .prefix = "/" + std::string(name) + "/",
                             .kind = kind,
                             .timeout = base::milliseconds(4000),
                             .target = base::milliseconds(300),
                             .gap_target = base::milliseconds(250),
                             .attempts = attempts,
                             .resumable = resumable,
                             .destinations = {{{"pool"}, 1}}};
    };
    this->config.version = 1;
    this->config.routes = {route("once", request_kind::once, 1, false),
                           route("safe", request_kind::idempotent, 2, false),
                           route("stream", request_kind::stream, 1, false),
                           route("resume", request_kind::stream, 2, true)};
    this->config.teams = {{.id = {"north"}, .keys = {"k1"}}};
    this->config.pools[{"pool"}] = {.id = {"pool"}};
    routes::build_indexes(this->config);
    this->prove_config();
    // Settled, so that tests may retry; the log begins without it.
    proxy::update_retry_shares(this->context, {1, base::minutes(1)});
    this->log_lines();
    this->server.listen("127.0.0.1:0");
}

proxy_world::~proxy_world() {
    this->callers.clear();
    this->engines.clear();
    close(this->log_pipe[0]);
    close(this->log_pipe[1]);
}

base::instant proxy_world::now() const {
    return this->stopped_at.value_or(adapters::boot_now()) + this->moved;
}

void proxy_world::renew_begin_deadlines() {
    for (const auto& flow : this->flows) {
        flow->renew_begin_deadline();
    }
}

void proxy_world::prove_config() {
    proxy::set_config(this->state, std::make_shared<const routes::operators_config>(this->config));
    mirror::mark_verified(this->state.store, this->context.now());
}

scripted_engine&
proxy_world::add_engine(const std::string& id,
                        std::function<engine_script(const engine_request&)> answer_with,
                        const std::string& software) {
    this->engines.push_back(
        std::make_unique<scripted_engine>(this->loop.base(), std::move(answer_with)));
    auto& one = this->state.fleet.members[{id}];
    one.listed = {
        .id = {id}, .pool = {"pool"}, .address = this->engines.back()->address(), .slots = 6};
    one.listed.software = {software};
    auto& versions = this->state.software[{"pool"}];
    versions.recorded = true;
    versions.known[{software}].state = resumption::introduction::active;
    return *this->engines.back();
}

caller_view proxy_world::call(const std::string& bytes, std::size_t answers) {
    return this->call_until(bytes, [this, answers, caller = this->callers.size()] {
        const auto& seen = this->callers.at(caller)->seen;
        return seen.ended || (seen.heads.size() >= answers && seen.whole);
    });
}

caller_view proxy_world::call_until(const std::string& bytes, const std::function<bool()>& until) {
    const auto made = this->add_caller(adapters::start_connecting(
        this->loop.base(), "127.0.0.1:" + std::to_string(this->server.port())));
    bufferevent_write(made->socket, bytes.data(), bytes.size());
    this->run_until(until);
    return made->seen;
}

void proxy_world::connect_at_once(const std::string& bytes) {
    const int descriptor = connect_client("127.0.0.1:" + std::to_string(this->server.port()));
    send_some(descriptor, bytes);
    this->add_caller(bufferevent_socket_new(this->loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
}

std::shared_ptr<proxy_world::caller> proxy_world::add_caller(bufferevent* socket) {
    auto made = std::make_shared<caller>();
    this->callers.push_back(made);
    made->socket = socket;
    bufferevent_setcb(
        made->socket, [](bufferevent*, void* raw) { static_cast<caller*>(raw)->read(); }, nullptr,
        [](bufferevent*, short what, void* raw) {
            if ((what & BEV_EVENT_CONNECTED) == 0) {
                static_cast<caller*>(raw)->end((what & BEV_EVENT_ERROR) != 0);
            }
        },
        made.get());
    bufferevent_enable(made->socket, EV_READ | EV_WRITE);
    return made;
}

const caller_view& proxy_world::last_seen() const {
    return this->callers.back()->seen;
}

void proxy_world::leave() {
    for (const auto& each : this->callers) {
        each->release();
    }
}

void proxy_world::leave(std::size_t caller) {
    this->callers.at(caller)->release();
}

const caller_view& proxy_world::seen_by(std::size_t caller) const {
    return this->callers.at(caller)->seen;
}

std::size_t proxy_world::send_at_once(std::size_t caller, const std::string& bytes) {
    auto* socket = this->callers.at(caller)->socket;
    if (socket == nullptr) {
        return 0;
    }
    return send_some(bufferevent_getfd(socket), bytes).value_or(0);
}

void proxy_world::let_callers_read(bool may_read) {
    for (const auto& each : this->callers) {
        if (each->socket != nullptr) {
            (may_read ? bufferevent_enable : bufferevent_disable)(each->socket, EV_READ);
        }
    }
}

std::vector<std::string> proxy_world::log_lines() {
    this->log.flush();
    std::array<char, 65536> piece{};
    const auto got = read(this->log_pipe[0], piece.data(), piece.size());
    std::istringstream text(
        std::string(piece.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0))));
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);) {
        lines.push_back(line);
    }
    return lines;
}

bool proxy_world::run_until(const std::function<bool()>& condition) {
    constexpr int most_turns = 5000;
    for (int turn = 0; turn < most_turns && !condition(); ++turn) {
        const timeval wait{0, 1000};
        event_base_loopexit(this->loop.base(), &wait);
        event_base_dispatch(this->loop.base());
    }
    return condition();
}

std::string request(const std::string& route, const std::string& id, const std::string& body) {
    return "POST /" + route +
           "/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\nRequest-Id: " + id +
           "\r\nRequest-Deadline: 4000\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string answer(const std::string& id, const std::string& body, int status,
                   const std::string& more_fields) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\nRequest-Id: " + id +
           "\r\nResponse-Stamp: s-" + id + "\r\n" + more_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: s-" + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& bytes) {
    return http::write_chunk(bytes);
}

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: word\n\n";
}

} // namespace camphorrail::tests
