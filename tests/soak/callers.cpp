#include "soak/callers.h"

#include "adapters/sockets.h"
#include "adapters/timer.h"
#include "http/readers.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <string_view>
#include <utility>

namespace camphorrail::soak {

namespace {

constexpr int status_ok = 200;
constexpr int mean_pause_ms = 60;
constexpr base::milliseconds patience{4000};
constexpr std::uint64_t calls_a_fatal_one = 12;
constexpr std::uint64_t calls_a_popular_one = 3;
// One resumable stream in so many is left in the middle by its caller.
constexpr std::uint64_t streams_a_left_one = 3;
// Calls that a caller makes for one stream.
constexpr int max_tries = 3;

// The number of whole events; drops the part of one at the end.
int keep_whole_events(std::string& body) {
    const auto end = body.rfind("\n\n");
    body.resize(end == std::string::npos ? 0 : end + 2);
    int count = 0;
    for (auto at = body.find("\n\n"); at != std::string::npos; at = body.find("\n\n", at + 2)) {
        ++count;
    }
    return count;
}

// A small prompt, whose first part some calls share.
std::string prompt_fields(const call_seen& call) {
    const std::string number = call.id.substr(call.id.find('-') + 1);
    const std::string shared = std::string(1, call.key.back()) + ":32,";
    const std::string fatal = std::string(fatal_prompt_part) + ":8,";
    const bool comes_first = number.back() % 2 == 0;
    const std::string parts = !call.has_fatal_part ? shared
                              : comes_first        ? fatal + shared
                                                   : shared + fatal;
    return "\r\nModel-Name: " + call.model + "\r\nToken-Count: 48,8\r\nPrompt-Prefix: " + parts +
           "f" + number + ":8";
}

} // namespace

struct callers::caller : std::enable_shared_from_this<callers::caller> {
    caller(callers& owner, int entry)
        : owner(&owner), entry(entry), reader(http::read_limits{}),
          limit(owner.loop->base(), [this] { this->end(); }) {}
    ~caller() { this->release(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    void send() {
        if (this->socket == nullptr) {
            this->socket = adapters::start_connecting(
                this->owner->loop->base(),
                this->owner->entries.at(static_cast<std::size_t>(this->entry)));
            bufferevent_setcb(
                this->socket, [](bufferevent*, void* raw) { of(raw)->read(); }, nullptr,
                [](bufferevent*, short what, void* raw) {
                    if ((what & BEV_EVENT_CONNECTED) == 0) {
                        of(raw)->closed();
                    }
                },
                this);
            bufferevent_enable(this->socket, EV_READ | EV_WRITE);
        }
        const bool is_fatal_body = this->call.fatal && !this->call.has_fatal_part;
        const std::string body = is_fatal_body        ? this->owner->fatal_body
                                 : this->call.popular ? "popular"
                                                      : "body of " + this->call.id;
        const std::string bytes =
            std::string("POST ") + path_of(this->call.kind) +
            "x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer " + this->call.key +
            "\r\nRequest-Id: " + this->call.id +
            (this->call.model.empty() ? "" : prompt_fields(this->call)) +
            (this->call.resumes.empty()
                 ? ""
                 : "\r\nResumes: " + this->call.resumes +
                       "\r\nLast-Event-Id: " + std::to_string(this->call.after_event)) +
            "\r\nRequest-Deadline: 3000\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        bufferevent_write(this->socket, bytes.data(), bytes.size());
        this->limit.set(patience);
    }

    static std::shared_ptr<caller> of(void* raw) {
        return static_cast<caller*>(raw)->shared_from_this();
    }

    void read() {
        evbuffer* input = bufferevent_get_input(this->socket);
        while (this->busy && evbuffer_get_length(input) > 0) {
            const auto length = evbuffer_get_length(input);
            const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)),
                                         length);
            const auto used = this->reader.feed(bytes);
            evbuffer_drain(input, used);
            this->note_answer();
            if (used == 0 || this->reader.fault() != http::read_fault::none) {
                return;
            }
        }
    }

    void note_answer() {
        if (!this->reader.has_head()) {
            return;
        }
        this->call.status = this->reader.head().status;
        this->call.says_leaving = http::has(this->reader.head().all, "Server-Leaving");
        this->call.states_limit = http::has(this->reader.head().all, "Server-Limit");
        this->call.stamp = http::value_of(this->reader.head().all, "Response-Stamp");
        this->call.body += this->reader.take_body();
        if (this->reader.complete()) {
            this->call.whole = true;
            const bool keep =
                this->reader.head().keep_alive && !this->reader.head().ends_with_close;
            if (!keep) {
                this->release();
            }
            this->end();
        } else if (this->leaves_after > 0 && this->has_events(this->leaves_after)) {
            this->call.left = true;
            this->end();
        }
    }

    [[nodiscard]] bool has_events(int count) const {
        std::string body = this->call.body;
        return this->call.status == status_ok && keep_whole_events(body) >= count;
    }

    void closed() {
        if (this->busy) {
            this->reader.feed_end();
            this->note_answer();
        }
        this->release();
        if (this->busy) {
            this->end();
        }
    }

    void end() {
        if (!this->call.whole) {
            this->release();
        }
        this->limit.clear();
        this->owner->end_call(this->shared_from_this());
    }

    void release() {
        if (this->socket != nullptr) {
            bufferevent_free(std::exchange(this->socket, nullptr));
        }
    }

    callers* owner;
    int entry;
    bufferevent* socket = nullptr;
    http::response_reader reader;
    adapters::timer limit;
    call_seen call;
    bool busy = false;
    // The events after which it leaves a stream; 0 for never.
    int leaves_after = 0;
    // Of the stream that it reads: the first call that brought an event, all events so far, and the
    // calls so far.
    std::string stream;
    int events = 0;
    int tries = 0;
};

callers::callers(adapters::event_loop& loop, history& seen, std::uint64_t seed, std::string name)
    : loop(&loop), seen(&seen), random{seed}, name(std::move(name)) {}

callers::~callers() = default;

void callers::start(std::vector<std::string> addresses, int count) {
    this->entries = std::move(addresses);
    for (int each = 0; each < count; ++each) {
        const int entry = each % static_cast<int>(this->entries.size());
        this->all.push_back(std::make_shared<caller>(*this, entry));
        this->begin_call(this->all.back());
    }
}

bool callers::idle() const {
    for (const auto& each : this->all) {
        if (each->busy) {
            return false;
        }
    }
    return true;
}

void callers::begin_call(const std::shared_ptr<caller>& one) {
    const auto pause =
        static_cast<std::int64_t>(base::random_exponential(this->random, mean_pause_ms));
    this->loop->after(base::milliseconds(pause), [this, one] {
        if (this->stopping) {
            return;
        }
        one->busy = true;
        one->reader = http::response_reader({});
        if (one->stream.empty()) {
            this->choose_new_call(*one);
        } else {
            this->choose_resumption(*one);
        }
        one->call.entry = one->entry;
        one->call.sent_at = adapters::boot_now();
        one->send();
    });
}

void callers::choose_new_call(caller& one) {
    one.call = {};
    one.call.id = this->name + "-" + std::to_string(++this->calls);
    one.call.kind = static_cast<call_kind>(base::random_below(this->random, 4));
    one.call.key = this->keys.at(base::random_below(this->random, this->keys.size()));
    this->make_fatal(one.call);
    this->make_popular(one.call);
    this->make_prompt(one.call);
    one.events = 0;
    one.tries = 0;
    one.leaves_after = 0;
    if (this->resumes && one.call.kind == call_kind::resumable_stream &&
        base::random_below(this->random, streams_a_left_one) == 0) {
        one.leaves_after =
            1 + static_cast<int>(base::random_below(this->random, stream_events - 2));
    }
}

// The same request again, at another entry.
void callers::choose_resumption(caller& one) {
    one.release();
    one.entry = (one.entry + 1) % static_cast<int>(this->entries.size());
    const auto before = std::exchange(one.call, {});
    one.call.id = this->name + "-" + std::to_string(++this->calls);
    one.call.kind = before.kind;
    one.call.key = before.key;
    one.call.popular = before.popular;
    one.call.model = before.model;
    one.call.resumes = one.stream;
    one.call.after_event = one.events;
    one.leaves_after = 0;
}

void callers::send_fatal_until(base::instant until, bool share_part) {
    this->fatal_until = until;
    this->fatal_by_part = share_part;
    this->fatal_body = "fatal " + std::to_string(++this->calls);
}

void callers::make_fatal(call_seen& call) {
    if (adapters::boot_now() >= this->fatal_until ||
        base::random_below(this->random, calls_a_fatal_one) > 0) {
        return;
    }
    call.fatal = true;
    call.kind = call_kind::stream;
    if (!this->fatal_by_part) {
        call.key = this->keys.back();
        return;
    }
    call.has_fatal_part = true;
    call.model = "m0";
    if (this->calls % 2 == 0) {
        call.kind = call_kind::resumable_stream;
    }
}

void callers::make_popular(call_seen& call) {
    if (!this->popular || call.fatal || base::random_below(this->random, calls_a_popular_one) > 0) {
        return;
    }
    call.popular = true;
    call.kind = call_kind::resumable_stream;
    call.key = this->keys.back();
}

// Every other call to the engines is for a model.
void callers::make_prompt(call_seen& call) {
    const bool streams = is_stream(call.kind);
    if (streams && !call.fatal && !call.popular && this->calls % 2 == 0) {
        call.model = "m0";
    }
}

void callers::end_call(const std::shared_ptr<caller>& one) {
    one->busy = false;
    one->call.ended_at = adapters::boot_now();
    auto& call = one->call;
    ++one->tries;
    if (this->resumes && call.kind == call_kind::resumable_stream && !call.whole &&
        call.status == status_ok) {
        const int got = keep_whole_events(call.body);
        one->stream = one->stream.empty() && got > 0 ? call.id : one->stream;
        one->events += got;
    }
    const bool over = call.fatal || (call.whole && call.status == status_ok) ||
                      one->tries >= max_tries || one->events >= stream_events;
    if (over) {
        one->stream.clear();
    }
    this->seen->calls.push_back(call);
    this->begin_call(one);
}

} // namespace camphorrail::soak
