#pragma once

#include "base/units.h"

#include <cstdint>

namespace camphorrail::kvcache {

// Whether a prompt is refused at once, and its caller told when to come back, since it would wait
// too long at the best of its upstreams.
//
// When more comes than the engines can read, each prompt that is sent all the same makes those
// before it late, and most of them are in vain: callers leave before their first event, and engines
// whose memory is full put running prompts back and read them a second time. Such an overload kept
// itself up for ten seconds after new weights or a crash. Refused prompts come back when it is
// over.
//
// One that would be on time all the same is never refused, and neither is one that hardly waits: it
// is late by its own length, and would be when it comes back.
//
// Measured on twenty heavy days each of three pools, against refusing by the wait alone from two
// fifths of the target on: 0.006, 0.011 and 0.024 of the worth, and half as many refused. From a
// wait of seven tenths or more on, engines fell behind and most answers were late.
bool should_reject(double first_byte_ms, double waiting_ms, base::milliseconds target);

// When a refused caller is to come back. Spread by a number that differs from request to request,
// so that those who are refused together do not return together. Half a second or over a second
// made no difference to how many were served; callers with four seconds wait for a third of these
// at most.
base::milliseconds retry_delay(std::uint64_t number);

} // namespace camphorrail::kvcache
