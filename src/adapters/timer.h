#pragma once

#include "base/units.h"

#include <functional>

struct event;
struct event_base;

namespace camphorrail::adapters {

// A timer that can be set again and is gone with its owner.
class timer {
public:
    timer(event_base* base, std::function<void()> action);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    // Fires once after the delay; an earlier setting is void.
    void set(base::micros delay);
    void clear();

private:
    event* handle;
    std::function<void()> action;
};

} // namespace camphorrail::adapters
