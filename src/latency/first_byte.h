#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>

// Predicts how long a pool's engines take until the first event, from observed requests.
namespace camphorrail::latency {

// The work an engine has to do before a prompt's first event.
struct prefill_work {
    // Tokens of the prompt that the engine prefills, and tokens queued at the engine before it.
    double tokens = 0.0;
    double queued_tokens = 0.0;
    // Pairs of a prefilled token and a token it attends to, in millions: prefilling the end of a
    // long prompt takes longer than its beginning.
    double million_pairs = 0.0;
};

// Returns the attention pairs, in millions, of a prompt whose last `tokens` of `total_tokens`
// tokens are prefilled while the beginning is cached.
double attention_pairs(double tokens, double total_tokens);

// Time from sending a request to its first event.
struct first_byte_sample {
    prefill_work work;
    double ms = 0.0;
};

// Linear model of the time to the first event: a fixed part, a part per token and a part per
// million attention pairs, fitted to recent requests. Constants measured on the engines of two
// pools predicted a median wait of 31 ms for prompts of a third pool that actually waited 463 ms.
//
// Recent samples have the highest weight. Outliers, for instance from an engine that stalls, weigh
// less the farther off they are, so that a burst of faults does not shift the prediction for the
// whole pool.
struct first_byte_model {
    static constexpr std::size_t term_count = 3;
    using vector = std::array<double, term_count>;

    // Fixed milliseconds, milliseconds per token, milliseconds per million pairs. The initial
    // values lie between those observed on engines of several kinds.
    vector coefficients{20.0, 0.015, 0.4};
    // Weighted sums of the samples' products: the normal equations of the least squares fit.
    std::array<vector, term_count> normal_matrix{};
    vector normal_vector{};
    // Average absolute deviation of samples from the prediction, in milliseconds.
    double deviation_ms = 100.0;
    // Total weight of the samples after decay, and the time of the newest sample.
    double weight = 0.0;
    base::instant updated_at{};
};

void record_first_byte(first_byte_model& model, const first_byte_sample& sample, base::instant now);

// Predicted time to a request's first event, in milliseconds.
double expected_first_byte_ms(const first_byte_model& model, const prefill_work& work);

// Predicted time for prefill alone, without the fixed part, in milliseconds.
double prefill_ms(const first_byte_model& model, const prefill_work& work);

} // namespace camphorrail::latency
