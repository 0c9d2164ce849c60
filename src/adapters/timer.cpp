#include "adapters/timer.h"

#include "adapters/sockets.h"

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
    const timeval wait = to_timeval(std::max(delay, base::micros(0)));
    event_add(this->handle, &wait);
}

void timer::clear() {
    event_del(this->handle);
}

} // namespace camphorrail::adapters
