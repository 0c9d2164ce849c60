#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>

// How long a pool's engines take, learned from what they show.
namespace camphorrail::latency {

// What stands between a prompt and its first event.
struct prefill_work {
    // Tokens of it that the engine reads, and tokens that wait there to be read before it.
    double tokens = 0.0;
    double queued_tokens = 0.0;
    // Pairs of a token that is read and one that it attends to, in millions: reading the end of a
    // long prompt takes longer than its beginning.
    double million_pairs = 0.0;
};

// The pairs of a prompt of which the engine holds the beginning.
double attention_pairs(double to_read, double all_tokens);

// A request's time from being sent to its first event.
struct first_byte_sample {
    prefill_work work;
    double ms = 0.0;
};

// Time to the first event as a sum of a fixed part, one a token and one a million pairs, fitted to
// what requests showed lately. In place of figures taken from the first two pools' engines, which
// told a third pool's prompts to wait 31 ms where they waited 463 ms in the median.
//
// Recent samples weigh most. One far off, as from an engine that stalls, weighs less the farther it
// is, so that a burst of faults does not move the figures of the whole pool.
struct first_byte_model {
    static constexpr std::size_t term_count = 3;
    using vector = std::array<double, term_count>;

    // Fixed milliseconds, milliseconds a token, milliseconds a million pairs. What they are before
    // anything was seen lies between what engines of several kinds were seen to take.
    vector coefficients{20.0, 0.015, 0.4};
    // Weighted sums of the samples' products.
    std::array<vector, term_count> normal_matrix{};
    vector normal_vector{};
    // How far samples lie from what is expected, in milliseconds.
    double deviation_ms = 100.0;
    // Weight of the samples that are still remembered, and when the newest came.
    double weight = 0.0;
    base::instant updated_at{};
};

void record_first_byte(first_byte_model& model, const first_byte_sample& sample, base::instant now);

// What a request will probably take, in milliseconds.
double expected_first_byte_ms(const first_byte_model& model, const prefill_work& work);

// What reading tokens takes by itself, without the fixed part.
double prefill_ms(const first_byte_model& model, const prefill_work& work);

} // namespace camphorrail::latency
