#include "kvcache/size_fairness.h"

#include "kvcache/overload.h"

#include <algorithm>
#include <vector>

namespace camphorrail::kvcache {

namespace {

// Returns the smallest size among the largest `part` of the recorded prompts. The history must not
// be empty.
std::int64_t large_prompt_threshold(const size_history& record, double part) {
    std::vector<std::int64_t> sizes;
    sizes.reserve(record.prompts.size());
    for (const auto& each : record.prompts) {
        sizes.push_back(each.tokens);
    }
    const auto smaller = static_cast<std::size_t>((1.0 - part) * static_cast<double>(sizes.size()));
    const auto at =
        sizes.begin() + static_cast<std::ptrdiff_t>(std::min(smaller, sizes.size() - 1));
    std::nth_element(sizes.begin(), at, sizes.end());
    return *at;
}

// Share of the prompts with at least this size that were accepted.
double accepted_share(const size_history& record, std::int64_t least_tokens) {
    int total = 0;
    int accepted = 0;
    for (const auto& each : record.prompts) {
        const bool counts = each.tokens >= least_tokens;
        total += counts ? 1 : 0;
        accepted += counts && each.accepted ? 1 : 0;
    }
    return total == 0 ? 1.0 : static_cast<double>(accepted) / total;
}

bool is_underserved(const size_history& record, std::int64_t tokens,
                    const size_fairness_rules& rules) {
    if (record.prompts.size() < rules.min_samples) {
        return false;
    }
    const std::int64_t min_size =
        std::min(tokens, large_prompt_threshold(record, rules.large_share));
    return accepted_share(record, min_size) <
           rules.min_relative_acceptance * accepted_share(record, 0);
}

} // namespace

admission_decision evaluate_admission(const size_history& record, const prompt_estimate& prompt,
                                      const size_fairness_rules& rules) {
    if (!should_reject(prompt.first_byte_ms, prompt.wait_ms, prompt.target)) {
        return admission_decision::accepted;
    }
    // If the wait alone exceeds the target, even the smallest prompts are rejected, so no prompt is
    // treated unfairly due to its size.
    const bool is_refused_for_size = prompt.wait_ms < static_cast<double>(prompt.target.count());
    return is_refused_for_size && is_underserved(record, prompt.tokens, rules)
               ? admission_decision::accepted_for_fairness
               : admission_decision::rejected;
}

void record_admission(size_history& record, const sized_prompt& prompt,
                      const size_fairness_rules& rules) {
    record.prompts.push_back(prompt);
    if (record.prompts.size() > rules.window_size) {
        record.prompts.pop_front();
    }
}

admission_decision decide_admission(size_history& record, const prompt_estimate& prompt,
                                    const size_fairness_rules& rules) {
    const auto verdict = evaluate_admission(record, prompt, rules);
    record_admission(record, {prompt.tokens, verdict != admission_decision::rejected}, rules);
    return verdict;
}

} // namespace camphorrail::kvcache
