#include "soak/relay.h"

#include "adapters/event_loop.h"
#include "adapters/sockets.h"
#include "adapters/timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace camphorrail::soak {

struct pair;

struct relay_state {
    event_base* base = nullptr;
    std::string to;
    std::string bound;
    evconnlistener* listener = nullptr;
    relay_mode mode = relay_mode::pass;
    base::milliseconds delay{0};
    std::map<int, std::shared_ptr<pair>> pairs;
    int last = 0;
};

// The two ends of one connection: 0 towards who connected, 1 towards what is behind.
struct pair : std::enable_shared_from_this<pair> {
    std::weak_ptr<relay_state> owner;
    int number = 0;
    std::array<bufferevent*, 2> ends{};
    bool silent = false;
    // Bytes that are held up on their way, by the end that they came from.
    struct held_bytes {
        base::instant due;
        std::string bytes;
    };
    struct way {
        std::deque<held_bytes> waiting;
        std::unique_ptr<adapters::timer> timer;
        bool lost_bytes = false;
        // The end that the bytes come from has closed in an orderly way.
        bool ended = false;
    };
    std::array<way, 2> ways;

    ~pair() { this->release(); }

    void release() {
        for (auto& end : this->ends) {
            if (end != nullptr) {
                bufferevent_free(std::exchange(end, nullptr));
            }
        }
    }

    void reset() {
        for (auto* end : this->ends) {
            if (end != nullptr) {
                const struct linger at_once { 1, 0 };
                setsockopt(bufferevent_getfd(end), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            }
        }
        this->drop();
    }

    void drop() {
        const auto self = this->shared_from_this();
        this->release();
        if (const auto held = this->owner.lock()) {
            held->pairs.erase(this->number);
        }
    }

    // Whether what comes from an end is swallowed. A connection that lost bytes once never passes
    // any again on that way: what is missing would be taken for what the other end had sent.
    bool swallows(std::size_t from) {
        const auto held = this->owner.lock();
        const auto mode = held == nullptr ? relay_mode::pass : held->mode;
        const bool cut = this->silent || mode == relay_mode::cut ||
                         (mode == relay_mode::cut_one_way && from == 1);
        auto& way = this->ways.at(from);
        way.lost_bytes = way.lost_bytes || cut;
        return way.lost_bytes;
    }

    void pass(std::size_t from) {
        evbuffer* input = bufferevent_get_input(this->ends.at(from));
        if (this->swallows(from)) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        const auto held = this->owner.lock();
        auto& way = this->ways.at(from);
        const bool direct = held == nullptr || (held->delay.count() == 0 && way.waiting.empty());
        if (direct) {
            bufferevent_write_buffer(this->ends.at(1 - from), input);
            return;
        }
        // Never before what came earlier, also when the delay has grown shorter.
        const auto due = adapters::boot_now() + held->delay;
        way.waiting.push_back({due, std::string(evbuffer_get_length(input), 0)});
        auto& bytes = way.waiting.back().bytes;
        evbuffer_remove(input, bytes.data(), bytes.size());
        if (way.waiting.size() == 1) {
            this->wait(from, held->base);
        }
    }

    void wait(std::size_t from, event_base* base) {
        auto& way = this->ways.at(from);
        if (way.timer == nullptr) {
            way.timer = std::make_unique<adapters::timer>(
                base, [this, from, base] { this->deliver(from, base); });
        }
        const auto left = way.waiting.front().due - adapters::boot_now();
        way.timer->set(std::max<base::micros>(left, base::micros(0)));
    }

    void deliver(std::size_t from, event_base* base) {
        const auto self = this->shared_from_this();
        auto& way = this->ways.at(from);
        const std::string bytes = std::move(way.waiting.front().bytes);
        way.waiting.pop_front();
        if (this->ends.at(1 - from) != nullptr) {
            bufferevent_write(this->ends.at(1 - from), bytes.data(), bytes.size());
        }
        if (!way.waiting.empty()) {
            this->wait(from, base);
        } else if (way.ended) {
            this->finish(from);
        }
    }

    // The connection ends in an orderly way once what was passed on before has left.
    void finish(std::size_t from) {
        bufferevent* other = this->ends.at(1 - from);
        bufferevent_setcb(
            other, nullptr,
            [](bufferevent* done, void* inner) {
                if (evbuffer_get_length(bufferevent_get_output(done)) == 0) {
                    static_cast<pair*>(inner)->shared_from_this()->drop();
                }
            },
            [](bufferevent*, short, void* inner) {
                static_cast<pair*>(inner)->shared_from_this()->drop();
            },
            this);
        if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
            this->drop();
        }
    }

    static std::size_t side_of(const pair& self, const bufferevent* end) {
        return self.ends[0] == end ? 0 : 1;
    }

    static void on_read(bufferevent* end, void* raw) {
        const auto self = static_cast<pair*>(raw)->shared_from_this();
        self->pass(side_of(*self, end));
    }

    static void on_event(bufferevent* end, short what, void* raw) {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
            return;
        }
        const auto self = static_cast<pair*>(raw)->shared_from_this();
        const std::size_t side = side_of(*self, end);
        if (self->swallows(side)) {
            // Whoever is cut off hears nothing of the end either.
            bufferevent_disable(end, EV_READ | EV_WRITE);
            return;
        }
        if ((what & BEV_EVENT_ERROR) != 0) {
            self->reset();
            return;
        }
        self->ways.at(side).ended = true;
        if (self->ways.at(side).waiting.empty()) {
            self->finish(side);
        }
    }
};

namespace {

void on_accept(evconnlistener* /*listener*/, evutil_socket_t descriptor, sockaddr* /*from*/,
               int /*length*/, void* raw) {
    auto* owner = static_cast<std::shared_ptr<relay_state>*>(raw);
    auto& held = **owner;
    if (held.mode == relay_mode::refuse) {
        const struct linger at_once { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        evutil_closesocket(descriptor);
        return;
    }
    const auto made = std::make_shared<pair>();
    made->owner = *owner;
    made->number = ++held.last;
    made->ends[0] = bufferevent_socket_new(held.base, descriptor, BEV_OPT_CLOSE_ON_FREE);
    made->ends[1] = adapters::start_connecting(held.base, held.to);
    if (made->ends[1] == nullptr) {
        return;
    }
    for (bufferevent* end : made->ends) {
        bufferevent_setcb(end, pair::on_read, nullptr, pair::on_event, made.get());
        bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    held.pairs[made->number] = made;
}

} // namespace

relay::relay(event_base* base, const std::string& to) : held(std::make_shared<relay_state>()) {
    this->held->base = base;
    this->open(to);
}

relay::~relay() {
    this->close(connection_end::reset);
}

void relay::open(const std::string& to) {
    this->close(connection_end::reset);
    this->held->to = to;
    auto any = adapters::parse_address("127.0.0.1:0");
    this->held->listener = evconnlistener_new_bind(this->held->base, on_accept,
                                                   new std::shared_ptr<relay_state>(this->held),
                                                   LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                                   reinterpret_cast<sockaddr*>(&*any), sizeof *any);
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    getsockname(evconnlistener_get_fd(this->held->listener), reinterpret_cast<sockaddr*>(&bound),
                &length);
    this->held->bound = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

void relay::close(connection_end how) {
    if (this->held->listener != nullptr) {
        evconnlistener_free(std::exchange(this->held->listener, nullptr));
    }
    if (how == connection_end::reset) {
        this->reset_all();
    }
    const auto all = std::exchange(this->held->pairs, {});
}

std::string relay::address() const {
    return this->held->bound;
}

void relay::set_mode(relay_mode mode) {
    this->held->mode = mode;
}

void relay::set_delay(base::milliseconds delay) {
    this->held->delay = delay;
}

void relay::reset_all() {
    const auto all = this->held->pairs;
    for (const auto& [number, each] : all) {
        each->reset();
    }
}

void relay::silence_all() {
    for (const auto& [number, each] : this->held->pairs) {
        each->silent = true;
    }
}

} // namespace camphorrail::soak
