#pragma once

namespace camphorrail::admission {

// Retries allowed as a part of the requests: a fault that fails every attempt then multiplies the
// load by 1.1 at most, where three attempts each would triple it just when capacity is short.
struct retry_budget {
    double tokens = 10.0;
    double max_tokens = 10.0;
    double tokens_per_request = 0.1;
};

inline void record_request(retry_budget& budget) {
    budget.tokens = budget.tokens + budget.tokens_per_request > budget.max_tokens
                        ? budget.max_tokens
                        : budget.tokens + budget.tokens_per_request;
}

// Takes one retry; false when the budget is spent.
bool consume_retry(retry_budget& budget);

} // namespace camphorrail::admission
