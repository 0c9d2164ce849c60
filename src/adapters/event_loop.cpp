#include "adapters/event_loop.h"

#include "adapters/sockets.h"

#include <event2/event.h>

#include <csignal>
#include <ctime>

namespace camphorrail::adapters {

namespace {

using action = std::function<void()>;

void run_once(evutil_socket_t /*fd*/, short /*what*/, void* owned) {
    const std::unique_ptr<action> call(static_cast<action*>(owned));
    (*call)();
}

void run_signal(evutil_socket_t /*fd*/, short /*what*/, void* borrowed) {
    (*static_cast<action*>(borrowed))();
}

} // namespace

event_loop::event_loop() : handle(event_base_new()) {
    // A peer that closes while we write must show as a closed link, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
    for (auto& [registered, call] : this->signals) {
        event_free(registered);
    }
    event_base_free(this->handle);
}

void event_loop::after(base::micros delay, std::function<void()> action_now) {
    const timeval span = to_timeval(delay);
    auto owned = std::make_unique<action>(std::move(action_now));
    if (event_base_once(this->handle, -1, EV_TIMEOUT, run_once, owned.get(), &span) == 0) {
        (void)owned.release();
    }
}

void event_loop::every(base::micros period, std::function<void()> action_now) {
    action_now();
    this->after(period, [this, period, action_now] { this->every(period, action_now); });
}

void event_loop::on_stop_signal(std::function<void()> action_now) {
    for (const int number : {SIGTERM, SIGINT}) {
        this->on_signal(number, action_now);
    }
}

void event_loop::on_reload_signal(std::function<void()> action_now) {
    this->on_signal(SIGHUP, action_now);
}

void event_loop::on_signal(int number, const std::function<void()>& action_now) {
    auto call = std::make_unique<action>(action_now);
    event* registered = evsignal_new(this->handle, number, run_signal, call.get());
    event_add(registered, nullptr);
    this->signals.emplace_back(registered, std::move(call));
}

void event_loop::run() {
    event_base_dispatch(this->handle);
}

void event_loop::stop() {
    event_base_loopbreak(this->handle);
}

base::instant boot_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t micros_a_second = 1000000;
    constexpr std::int64_t nanos_a_micro = 1000;
    return base::instant{base::micros(now.tv_sec * micros_a_second + now.tv_nsec / nanos_a_micro)};
}

ports::clock event_loop::clock() {
    return {
        [] { return std::chrono::time_point_cast<base::micros>(std::chrono::steady_clock::now()); },
        [] {
            const auto since = std::chrono::system_clock::now().time_since_epoch();
            return std::chrono::duration_cast<base::milliseconds>(since).count();
        }};
}

ports::timers event_loop::timers() {
    return {[this](base::micros delay, std::function<void()> call) {
        this->after(delay, std::move(call));
    }};
}

} // namespace camphorrail::adapters
