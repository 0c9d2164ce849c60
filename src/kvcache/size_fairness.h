#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace camphorrail::kvcache {

// Limits the extent to which overload rejection affects the largest prompts.
//
// A prompt is rejected if it would be late, and the longer its prefill, the shorter the wait that
// makes it late. While a pool is overloaded, the largest prompts are rejected on every attempt and
// the others hardly ever, so clients with large prompts get no response until the overload ends.
// Rejecting all sizes equally would cost more than it gains, since one large prompt that is late
// delays several that would have been on time. Larger prompts are therefore still rejected first,
// but only as long as their acceptance rate is at least half of the overall rate.
struct size_fairness_rules {
    // Minimum acceptance rate of prompts at least as large as the given one, relative to the
    // acceptance rate of all prompts. Below it, the prompt is accepted.
    double min_relative_acceptance = 0.5;
    // Number of most recent prompts that the rates are computed from.
    std::size_t window_size = 100;
    // With fewer prompts, the acceptance rate of the larger ones is unreliable.
    std::size_t min_samples = 30;
    // At least this share of the recorded prompts counts as being as large as the largest ones.
    double large_share = 0.1;
};

// A prompt that arrived on a route, and whether it was accepted.
struct sized_prompt {
    std::int64_t tokens = 0;
    bool accepted = false;
};

// The most recent prompts of one route at this entry, the newest last.
struct size_history {
    std::deque<sized_prompt> prompts;
};

// A prompt, and the expected times at its best upstream.
struct prompt_estimate {
    std::int64_t tokens = 0;
    // Expected wait before prefill, and time until the first event including that wait.
    double wait_ms = 0.0;
    double first_byte_ms = 0.0;
    // Responses whose first event arrives within this time are on time.
    base::milliseconds target{0};
};

enum class admission_decision {
    accepted,
    // The prompt will probably be late, but prompts of its size have been rejected too often.
    accepted_for_fairness,
    rejected
};

// Decides whether to accept a prompt.
admission_decision evaluate_admission(const size_history& record, const prompt_estimate& prompt,
                                      const size_fairness_rules& rules);

// Records the final decision on a prompt.
void record_admission(size_history& record, const sized_prompt& prompt,
                      const size_fairness_rules& rules);

// Decides whether to accept a prompt, and records the decision in the history.
admission_decision decide_admission(size_history& record, const prompt_estimate& prompt,
                                    const size_fairness_rules& rules);

} // namespace camphorrail::kvcache
