#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace camphorrail::kvcache {

// Bounds how far refusal in overload falls on the largest prompts.
//
// A prompt is refused where it would come late, and the longer it takes to read, the shorter the
// wait that makes it late. While a pool is behind, the largest are refused at each try and the
// others hardly ever, and their callers get no answer for as long as it lasts. Refusing all sizes
// alike would cost the others more than it gives, since a large prompt that comes late holds up
// several that would have been on time. So the larger ones are still refused first, but only as
// long as they are taken at least half as often as all.
struct size_fairness_rules {
    // A prompt is owed a place when of those as large as it or larger, less than this part of the
    // share of all prompts was taken.
    double min_relative_acceptance = 0.5;
    // Judged by so many prompts, the last ones.
    std::size_t window_size = 100;
    // Fewer do not tell how often the larger ones are taken.
    std::size_t min_samples = 30;
    // At least this part of the remembered prompts counts as being as large as the largest.
    double large_share = 0.1;
};

// A prompt that came to a route, and whether it was taken.
struct sized_prompt {
    std::int64_t tokens = 0;
    bool accepted = false;
};

// The last prompts of one route at this entry, the newest last.
struct size_history {
    std::deque<sized_prompt> prompts;
};

// A prompt, and what awaits it at the best of its upstreams.
struct prompt_estimate {
    std::int64_t tokens = 0;
    // How long it will probably wait, and until its first event in all.
    double wait_ms = 0.0;
    double first_byte_ms = 0.0;
    // Time to the first event within which the answer is on time.
    base::milliseconds target{0};
};

enum class admission_decision {
    accepted,
    // It will come late, but prompts of its size have been refused too often.
    accepted_for_fairness,
    rejected
};

// Decides whether a prompt is taken, and notes that in the record.
admission_decision decide_admission(size_history& record, const prompt_estimate& prompt,
                                    const size_fairness_rules& rules);

} // namespace camphorrail::kvcache
