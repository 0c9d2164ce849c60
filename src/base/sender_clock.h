#pragma once

#include "base/units.h"

#include <optional>

namespace camphorrail::base {

// When the messages of another entry were written, however long they lay unread or were passed on.
//
// Each bears how long its teller had been running. Taken from the moment of reading, that gives
// when the teller would have started if the message had taken no time; the earliest such moment is
// the true one, but for the way of the quickest message. Clocks that run apart, or stand still with
// their VM, do so slowly or seldom, so only the quickest of the last messages counts.
struct sender_clock {
    // The earliest start by the messages of the present period, and of the one before.
    std::optional<instant> current_earliest_start;
    instant previous_earliest_start{};
    instant period_start{};
    micros longest_uptime{0};
};

struct sender_clock_rules {
    micros period = seconds(10);
    // No message lies unread for longer. One that seems to is of an earlier life of its teller.
    micros max_delay = seconds(10);
};

// When a message was written. `latest`: when it can have been written at the latest; that it was
// read then is known, and how long others had it that passed it on.
instant estimate_sent_at(sender_clock& state, micros uptime, instant latest,
                         const sender_clock_rules& rules = {});

} // namespace camphorrail::base
