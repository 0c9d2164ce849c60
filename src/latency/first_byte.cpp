#include "latency/first_byte.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorrail::latency {

namespace {

using vector = first_byte_model::vector;
constexpr std::size_t terms = first_byte_model::terms;

// Half of what is remembered is from this long ago: long enough for twenty prompts of the slowest
// traffic seen, short enough to follow engines that turn slow.
constexpr double half_life_s = 10.0;
// What the figures from before the first sample weigh, and where they hold: a short prompt, and
// prompts of these many tokens.
constexpr double prior_weight = 2.0;
constexpr std::array<double, terms> prior_tokens{0.0, 4000.0, 16000.0};
// Samples that lie farther off than this many spreads weigh less.
constexpr double trusted_spreads = 1.5;
// One sample says at most that samples lie this many times as far off as before; many in a row mean
// that the engines have changed.
constexpr double most_spreads = 3.0;
constexpr double least_spread_ms = 10.0;
constexpr double most_spread_ms = 500.0;
constexpr double spread_weight = 0.05;
// Engines that read fewer or more tokens a millisecond than from 2 to 300 are not known.
constexpr double least_token_ms = 0.003;
constexpr double most_token_ms = 0.5;
constexpr double most_pair_ms = 10.0;
constexpr double most_fixed_ms = 2000.0;

vector terms_of(const reading_work& work) {
    return {1.0, work.to_read + work.ahead, work.pairs};
}

double product(const vector& left, const vector& right) {
    double sum = 0.0;
    for (std::size_t each = 0; each < terms; ++each) {
        sum += left[each] * right[each];
    }
    return sum;
}

void add(first_byte_model& model, const vector& x, double ms, double weight) {
    for (std::size_t row = 0; row < terms; ++row) {
        for (std::size_t column = 0; column < terms; ++column) {
            model.products[row][column] += weight * x[row] * x[column];
        }
        model.targets[row] += weight * x[row] * ms;
    }
}

// Three made-up samples of what is believed at the start; they never fade, so that few samples of
// one length say nothing absurd of another.
void add_prior(first_byte_model& model) {
    static const first_byte_model unseen;
    for (const double tokens : prior_tokens) {
        const vector x = terms_of({tokens, 0.0, attention_pairs(tokens, tokens)});
        add(model, x, product(unseen.figures, x), prior_weight);
    }
}

// Solves the normal equations by elimination; false where they have no one solution.
bool solve(std::array<vector, terms> rows, vector right, vector& solution) {
    constexpr double vanishing = 1e-9;
    for (std::size_t pivot = 0; pivot < terms; ++pivot) {
        std::size_t best = pivot;
        for (std::size_t row = pivot + 1; row < terms; ++row) {
            best = std::abs(rows[row][pivot]) > std::abs(rows[best][pivot]) ? row : best;
        }
        std::swap(rows[pivot], rows[best]);
        std::swap(right[pivot], right[best]);
        if (std::abs(rows[pivot][pivot]) < vanishing) {
            return false;
        }
        for (std::size_t row = pivot + 1; row < terms; ++row) {
            const double factor = rows[row][pivot] / rows[pivot][pivot];
            for (std::size_t column = pivot; column < terms; ++column) {
                rows[row][column] -= factor * rows[pivot][column];
            }
            right[row] -= factor * right[pivot];
        }
    }
    for (std::size_t row = terms; row-- > 0;) {
        double sum = right[row];
        for (std::size_t column = row + 1; column < terms; ++column) {
            sum -= rows[row][column] * solution[column];
        }
        solution[row] = sum / rows[row][row];
    }
    return true;
}

void fade(first_byte_model& model, base::instant now) {
    const double passed = std::chrono::duration<double>(now - model.at).count();
    model.at = std::max(model.at, now);
    if (passed <= 0.0 || model.weight == 0.0) {
        return;
    }
    const double kept = std::exp2(-passed / half_life_s);
    for (auto& row : model.products) {
        for (auto& each : row) {
            each *= kept;
        }
    }
    for (auto& each : model.targets) {
        each *= kept;
    }
    model.weight *= kept;
}

} // namespace

double attention_pairs(double to_read, double all_tokens) {
    constexpr double million = 1e6;
    return to_read * (all_tokens - to_read / 2.0) / million;
}

void note_first_byte(first_byte_model& model, const first_byte_sample& sample, base::instant now) {
    fade(model, now);
    const vector x = terms_of(sample.work);
    const double off = std::abs(sample.ms - product(model.figures, x));
    const double trusted = trusted_spreads * model.spread_ms;
    const double share = off <= trusted ? 1.0 : trusted / off;
    const double weight = share * share;
    const double counted = std::min(off, most_spreads * model.spread_ms);
    model.spread_ms = std::clamp(model.spread_ms + spread_weight * (counted - model.spread_ms),
                                 least_spread_ms, most_spread_ms);
    add(model, x, sample.ms, weight);
    model.weight += weight;
    first_byte_model all = model;
    add_prior(all);
    vector solved{};
    if (solve(all.products, all.targets, solved)) {
        model.figures = {std::clamp(solved[0], 0.0, most_fixed_ms),
                         std::clamp(solved[1], least_token_ms, most_token_ms),
                         std::clamp(solved[2], 0.0, most_pair_ms)};
    }
}

double expected_first_byte_ms(const first_byte_model& model, const reading_work& work) {
    return product(model.figures, terms_of(work));
}

double reading_ms(const first_byte_model& model, const reading_work& work) {
    return expected_first_byte_ms(model, work) - model.figures[0];
}

} // namespace camphorrail::latency
