#include "latency/first_byte.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorrail::latency {

namespace {

using vector = first_byte_model::vector;
constexpr std::size_t term_count = first_byte_model::term_count;

// Half-life of the samples' weight: long enough to cover twenty prompts under the lowest traffic
// observed, short enough to follow engines that slow down.
constexpr double half_life_s = 10.0;
// Weight of each prior sample, and the samples' prompt sizes in tokens. They keep predictions
// plausible for short prompts and for lengths without recent samples.
constexpr double prior_weight = 2.0;
constexpr std::array<double, term_count> prior_prompt_tokens{0.0, 4000.0, 16000.0};
// Samples that deviate by more than this multiple of the average deviation get less weight.
constexpr double full_weight_deviations = 1.5;
// Limits how much one sample can raise the average deviation; only a run of such samples indicates
// that the engines have changed.
constexpr double max_deviations = 3.0;
constexpr double min_deviation_ms = 10.0;
constexpr double max_deviation_ms = 500.0;
constexpr double deviation_step = 0.05;
// Limits of the coefficients. Engines are known to prefill between 2 and 300 tokens per
// millisecond.
constexpr double min_token_ms = 0.003;
constexpr double max_token_ms = 0.5;
constexpr double max_million_pairs_ms = 10.0;
constexpr double max_fixed_ms = 2000.0;

vector features_of(const prefill_work& work) {
    return {1.0, work.tokens + work.queued_tokens, work.million_pairs};
}

double dot_product(const vector& left, const vector& right) {
    double sum = 0.0;
    for (std::size_t each = 0; each < term_count; ++each) {
        sum += left[each] * right[each];
    }
    return sum;
}

void add_weighted(first_byte_model& model, const vector& x, double ms, double weight) {
    for (std::size_t row = 0; row < term_count; ++row) {
        for (std::size_t column = 0; column < term_count; ++column) {
            model.normal_matrix[row][column] += weight * x[row] * x[column];
        }
        model.normal_vector[row] += weight * x[row] * ms;
    }
}

// Adds three artificial samples of the initial coefficients. They do not decay, so that a few
// samples of one length do not lead to absurd predictions for other lengths.
void add_prior(first_byte_model& model) {
    static const first_byte_model initial;
    for (const double tokens : prior_prompt_tokens) {
        const vector x = features_of({tokens, 0.0, attention_pairs(tokens, tokens)});
        add_weighted(model, x, dot_product(initial.coefficients, x), prior_weight);
    }
}

// Solves the normal equations by Gaussian elimination with pivoting; false if the matrix is
// singular.
bool solve(std::array<vector, term_count> rows, vector right, vector& solution) {
    constexpr double singular_pivot = 1e-9;
    for (std::size_t pivot = 0; pivot < term_count; ++pivot) {
        std::size_t best = pivot;
        for (std::size_t row = pivot + 1; row < term_count; ++row) {
            best = std::abs(rows[row][pivot]) > std::abs(rows[best][pivot]) ? row : best;
        }
        std::swap(rows[pivot], rows[best]);
        std::swap(right[pivot], right[best]);
        if (std::abs(rows[pivot][pivot]) < singular_pivot) {
            return false;
        }
        for (std::size_t row = pivot + 1; row < term_count; ++row) {
            const double factor = rows[row][pivot] / rows[pivot][pivot];
            for (std::size_t column = pivot; column < term_count; ++column) {
                rows[row][column] -= factor * rows[pivot][column];
            }
            right[row] -= factor * right[pivot];
        }
    }
    for (std::size_t row = term_count; row-- > 0;) {
        double sum = right[row];
        for (std::size_t column = row + 1; column < term_count; ++column) {
            sum -= rows[row][column] * solution[column];
        }
        solution[row] = sum / rows[row][row];
    }
    return true;
}

void decay(first_byte_model& model, base::instant now) {
    const double elapsed = std::chrono::duration<double>(now - model.updated_at).count();
    model.updated_at = std::max(model.updated_at, now);
    if (elapsed <= 0.0 || model.weight == 0.0) {
        return;
    }
    const double decay_factor = std::exp2(-elapsed / half_life_s);
    for (auto& row : model.normal_matrix) {
        for (auto& each : row) {
            each *= decay_factor;
        }
    }
    for (auto& each : model.normal_vector) {
        each *= decay_factor;
    }
    model.weight *= decay_factor;
}

} // namespace

double attention_pairs(double tokens, double total_tokens) {
    constexpr double million = 1e6;
    return tokens * (total_tokens - tokens / 2.0) / million;
}

void record_first_byte(first_byte_model& model, const first_byte_sample& sample,
                       base::instant now) {
    decay(model, now);
    const vector x = features_of(sample.work);
    const double deviation = std::abs(sample.ms - dot_product(model.coefficients, x));
    const double full_weight_limit = full_weight_deviations * model.deviation_ms;
    const double weight_ratio =
        deviation <= full_weight_limit ? 1.0 : full_weight_limit / deviation;
    const double weight = weight_ratio * weight_ratio;
    const double clipped = std::min(deviation, max_deviations * model.deviation_ms);
    model.deviation_ms =
        std::clamp(model.deviation_ms + deviation_step * (clipped - model.deviation_ms),
                   min_deviation_ms, max_deviation_ms);
    add_weighted(model, x, sample.ms, weight);
    model.weight += weight;
    first_byte_model with_prior = model;
    add_prior(with_prior);
    vector solved{};
    if (solve(with_prior.normal_matrix, with_prior.normal_vector, solved)) {
        model.coefficients = {std::clamp(solved[0], 0.0, max_fixed_ms),
                              std::clamp(solved[1], min_token_ms, max_token_ms),
                              std::clamp(solved[2], 0.0, max_million_pairs_ms)};
    }
}

double expected_first_byte_ms(const first_byte_model& model, const prefill_work& work) {
    return dot_product(model.coefficients, features_of(work));
}

double prefill_ms(const first_byte_model& model, const prefill_work& work) {
    return expected_first_byte_ms(model, work) - model.coefficients[0];
}

} // namespace camphorrail::latency
