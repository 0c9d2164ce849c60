#pragma once

#include "ports/clock.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

struct event;
struct event_base;

namespace camphorrail::adapters {

// The one loop of a process; everything runs on its thread.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    event_base* base() { return this->handle; }
    // Calls back once after a delay.
    void after(base::micros delay, std::function<void()> action);
    // Calls back now and then every period.
    void every(base::micros period, std::function<void()> action);
    // Calls back on SIGTERM and SIGINT.
    void on_stop_signal(std::function<void()> action);
    // Calls back on SIGHUP.
    void on_reload_signal(std::function<void()> action);
    void run();
    void stop();

    ports::clock clock();
    ports::timers timers();

private:
    void on_signal(int number, const std::function<void()>& action);

    event_base* handle;
    std::vector<std::pair<event*, std::unique_ptr<std::function<void()>>>> signals;
};

// The time on a clock that counts suspension. A process that is frozen and wakes must see that time
// has passed, or it would go on trusting leases and proofs that have run out.
base::instant boot_now();

} // namespace camphorrail::adapters
