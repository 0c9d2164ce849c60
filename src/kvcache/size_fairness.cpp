#include "kvcache/size_fairness.h"

#include "kvcache/overload.h"

#include <algorithm>
#include <vector>

namespace camphorrail::kvcache {

namespace {

// The size from which on a prompt is among the largest part of the record, which is not empty.
std::int64_t largest_from(const size_record& record, double part) {
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

// Which part of the prompts of at least this size was taken.
double share_taken(const size_record& record, std::int64_t least_tokens) {
    int came = 0;
    int taken = 0;
    for (const auto& each : record.prompts) {
        const bool counts = each.tokens >= least_tokens;
        came += counts ? 1 : 0;
        taken += counts && each.taken ? 1 : 0;
    }
    return came == 0 ? 1.0 : static_cast<double>(taken) / came;
}

bool is_owed_a_place(const size_record& record, std::int64_t tokens,
                     const size_fairness_rules& rules) {
    if (record.prompts.size() < rules.fewest) {
        return false;
    }
    const std::int64_t as_large = std::min(tokens, largest_from(record, rules.largest_part));
    return share_taken(record, as_large) < rules.least_part * share_taken(record, 0);
}

prompt_verdict verdict_on(const size_record& record, const prompt_prospect& prompt,
                          const size_fairness_rules& rules) {
    if (!is_overloaded(prompt.first_byte_ms, prompt.wait_ms, prompt.target)) {
        return prompt_verdict::taken;
    }
    // Behind a wait of the whole target the smallest are refused too, and nobody is favoured.
    const bool is_refused_for_size = prompt.wait_ms < static_cast<double>(prompt.target.count());
    return is_refused_for_size && is_owed_a_place(record, prompt.tokens, rules)
               ? prompt_verdict::taken_for_its_size
               : prompt_verdict::refused;
}

} // namespace

prompt_verdict judge_prompt(size_record& record, const prompt_prospect& prompt,
                            const size_fairness_rules& rules) {
    const auto verdict = verdict_on(record, prompt, rules);
    record.prompts.push_back({prompt.tokens, verdict != prompt_verdict::refused});
    if (record.prompts.size() > rules.remembered) {
        record.prompts.pop_front();
    }
    return verdict;
}

} // namespace camphorrail::kvcache
