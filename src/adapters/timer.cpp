#include "adapters/timer.h"

#include <event2/event.h>

#include <algorithm>

namespace camphorrail::adapters {

timer::timer(event_base* base, std::function<void()> action)
    : handle(evtimer_new(
          base, [](evutil_socket_t, short, void* self) { static_cast<timer*>(self)->action(); },
          this)),
      action(std::move(action)) {}

timer::~timer() {
    event_free(this->handle);
}

void timer::set(base::micros delay) {
    constexpr std::int64_t second = 1000000;
    const std::int64_t span = std::max<std::int64_t>(delay.count(), 0);
    const timeval wait{static_cast<time_t>(span / second), static_cast<suseconds_t>(span % second)};
    event_add(this->handle, &wait);
}

void timer::clear() {
    event_del(this->handle);
}

} // namespace camphorrail::adapters
