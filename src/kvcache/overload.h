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
// Measured on ten days with new weights, crashes and bursts at 460 to 590 requests a second: with
// all sent, the late ones at the last rank, engines put 5,800 prompts back, and callers got nothing
// for 4.4 of 100 requests; with this 300 prompts, and 3.6 of 100 requests. With a wait of two
// fifths of the target allowed, two thirds of the gain in worth were left; with an eighth, more
// were refused on days that could have served them.
bool is_overloaded(double waiting_ms, base::milliseconds target);

// When a refused caller is to come back. Spread by a number that differs from request to request,
// so that those who are refused together do not return together. Half a second or over a second
// made no difference to how many were served; callers with four seconds wait for a third of these
// at most.
base::milliseconds come_back_after(std::uint64_t number);

} // namespace camphorrail::kvcache
