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
    // The VM is up and nobody listens: the process there has ended.
    refused,
    // No answer in time, or no way there: nothing is known of the process.
    unknown,
};

// Finds out by one connection whether anybody listens at an address, and closes it again.
class address_probe {
public:
    // `told` is called once, and never after the probe is gone; it may destroy the probe.
    address_probe(event_base* base, const std::string& address, base::milliseconds limit,
                  std::function<void(address_state)> told);
    ~address_probe();
    address_probe(const address_probe&) = delete;
    address_probe& operator=(const address_probe&) = delete;

private:
    void conclude(address_state state);
    void release();

    std::function<void(address_state)> told;
    bufferevent* socket;
    timer limit;
};

} // namespace camphorrail::adapters
