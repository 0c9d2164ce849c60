#pragma once

namespace camphorrail::admission {

// Limits retries to a fraction of the requests. A fault that fails every attempt then multiplies
// the load by at most 1.1, while three attempts for each request would triple it just when capacity
// is short.
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

// Consumes one retry; returns false if the budget is spent.
bool consume_retry(retry_budget& budget);

} // namespace camphorrail::admission
