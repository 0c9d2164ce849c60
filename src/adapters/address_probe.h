#pragma once

#include "adapters/timer.h"
#include "base/units.h"

#include <functional>
#include <string>

struct bufferevent;
struct event_base;

namespace camphorrail::adapters {

// What a new connection to an address comes to.
enum class address_state {
    // Somebody listens there.
    open,
    // The VM is up and nobody listens, or no longer: the process there has ended.
    refused,
    // No answer in time, or no way there: nothing is known of the process.
    unknown,
};

// How long a probe waits for its connection, and for how long that must stand. A process that ends
// may close its connections before its listening socket.
struct probe_limits {
    base::milliseconds connect{250};
    base::milliseconds stand{0};
};

// Finds out by one connection whether anybody listens at an address, and closes it again. If the
// connection does not stand, a second one tells a process that ends from one that has too many.
class address_probe {
public:
    // `told` is called once, and never after the probe is gone; it may destroy the probe.
    address_probe(event_base* base, std::string address, probe_limits limits,
                  std::function<void(address_state)> told);
    ~address_probe();
    address_probe(const address_probe&) = delete;
    address_probe& operator=(const address_probe&) = delete;

private:
    void connect();
    void on_event(short what);
    void on_input();
    void on_timer();
    void conclude(address_state state);
    void release();

    event_base* base;
    std::string address;
    probe_limits limits;
    std::function<void(address_state)> told;
    bufferevent* socket = nullptr;
    timer limit;
    // The first connection stands and is watched.
    bool stands = false;
    bool is_second = false;
};

} // namespace camphorrail::adapters
