#pragma once

#include "base/units.h"

#include <optional>

namespace camphorrail::base {

// Estimates when the messages of another entry were sent, however long they were buffered or
// relayed on the way.
//
// Each message carries its sender's uptime. The receive time less the uptime gives the sender's
// start as if the message had taken no time; the earliest such value is the most accurate one, off
// only by the transit time of the fastest message. Clocks that drift, or stop with their VM, do so
// slowly or seldom, so only the fastest of the recent messages counts.
struct sender_clock {
    // Earliest start time derived from the messages of the current period, and of the previous one.
    std::optional<instant> current_earliest_start;
    instant previous_earliest_start{};
    instant period_start{};
    micros longest_uptime{0};
};

struct sender_clock_rules {
    micros period = seconds(10);
    // Upper bound on the transit time of a message. A message that seems older was sent by an
    // earlier incarnation of its sender.
    micros max_delay = seconds(10);
};

// Estimates when a message was sent. `latest` is the latest possible send time: the receive time,
// less how long relaying entries held the message.
instant estimate_sent_at(sender_clock& state, micros uptime, instant latest,
                         const sender_clock_rules& rules = {});

} // namespace camphorrail::base
