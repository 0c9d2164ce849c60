#include "replay/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace camphorrail::replay {

namespace {

constexpr std::size_t longest_row = 256;

double percentile(const std::vector<base::micros>& sorted, double part) {
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    const auto place = static_cast<std::size_t>(std::ceil(part * last));
    return static_cast<double>(sorted[place].count()) / 1000.0;
}

std::string cause_of(const request& asked, const outcome& got) {
    if (!got.answered) {
        return std::string(base::describe(got.refusal).name);
    }
    return got.first_token > asked.target ? "late" : "";
}

} // namespace

summary summarize(const trace& recorded, const run_result& result) {
    summary made;
    made.policy = result.policy;
    made.requests = result.outcomes.size();
    made.recomputed_tokens = result.recomputed_tokens;
    std::vector<base::micros> first_tokens;
    std::int64_t prompt = 0;
    std::int64_t cached = 0;
    std::size_t on_time = 0;
    for (std::size_t number = 0; number < result.outcomes.size(); ++number) {
        const outcome& got = result.outcomes[number];
        const request& asked = recorded.requests[number];
        const std::string cause = cause_of(asked, got);
        if (!cause.empty()) {
            ++made.penalties[asked.team.value][cause];
        }
        if (!got.answered) {
            continue;
        }
        ++made.answered;
        on_time += cause.empty() ? 1 : 0;
        first_tokens.push_back(got.first_token);
        prompt += got.prompt_tokens;
        cached += got.cached_tokens;
    }
    std::sort(first_tokens.begin(), first_tokens.end());
    made.on_time = static_cast<double>(on_time) / static_cast<double>(made.requests);
    made.hit_rate = prompt == 0 ? 0 : static_cast<double>(cached) / static_cast<double>(prompt);
    made.p50_first_token_ms = percentile(first_tokens, 0.50);
    made.p95_first_token_ms = percentile(first_tokens, 0.95);
    made.p99_first_token_ms = percentile(first_tokens, 0.99);
    made.orders_a_request = static_cast<double>(result.orders) / static_cast<double>(made.requests);
    return made;
}

std::string to_table(const std::vector<summary>& rows) {
    std::string text = "| policy | answered | on time | hit rate | p50 ms | p95 ms | p99 ms | "
                       "recomputed tokens | orders a request |\n"
                       "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& row : rows) {
        char line[longest_row];
        std::snprintf(line, sizeof line,
                      "| %s | %zu of %zu | %.4f | %.4f | %.1f | %.1f | %.1f | %lld | %.3f |\n",
                      row.policy.c_str(), row.answered, row.requests, row.on_time, row.hit_rate,
                      row.p50_first_token_ms, row.p95_first_token_ms, row.p99_first_token_ms,
                      static_cast<long long>(row.recomputed_tokens), row.orders_a_request);
        text += line;
    }
    return text;
}

std::vector<std::string> missed_outcomes(const trace& recorded, const summary& got) {
    std::vector<std::string> missed;
    const auto& stated = recorded.outcomes;
    if (got.hit_rate < stated.least_hit_rate) {
        missed.push_back("hit rate " + std::to_string(got.hit_rate) + ", at least " +
                         std::to_string(stated.least_hit_rate) + " was stated");
    }
    if (got.p99_first_token_ms > stated.most_p99_first_token_ms) {
        missed.push_back("p99 of the first token " + std::to_string(got.p99_first_token_ms) +
                         " ms, at most " + std::to_string(stated.most_p99_first_token_ms) +
                         " was stated");
    }
    if (got.on_time < stated.least_on_time) {
        missed.push_back("on time " + std::to_string(got.on_time) + ", at least " +
                         std::to_string(stated.least_on_time) + " was stated");
    }
    return missed;
}

std::string to_series(const trace& recorded, const run_result& result) {
    struct second {
        std::vector<base::micros> first_tokens;
        std::int64_t prompt = 0;
        std::int64_t cached = 0;
        int refused = 0;
    };
    std::map<std::int64_t, second> seconds;
    for (std::size_t number = 0; number < result.outcomes.size(); ++number) {
        const outcome& got = result.outcomes[number];
        second& at = seconds[recorded.requests[number].at.count() / 1000000];
        if (!got.answered) {
            ++at.refused;
            continue;
        }
        at.first_tokens.push_back(got.first_token);
        at.prompt += got.prompt_tokens;
        at.cached += got.cached_tokens;
    }
    std::string text = "second,p50_ms,p99_ms,hit_rate,refused\n";
    for (auto& [number, at] : seconds) {
        std::sort(at.first_tokens.begin(), at.first_tokens.end());
        char line[longest_row];
        std::snprintf(
            line, sizeof line, "%lld,%.1f,%.1f,%.4f,%d\n", static_cast<long long>(number),
            percentile(at.first_tokens, 0.5), percentile(at.first_tokens, 0.99),
            at.prompt == 0 ? 0.0 : static_cast<double>(at.cached) / static_cast<double>(at.prompt),
            at.refused);
        text += line;
    }
    return text;
}

} // namespace camphorrail::replay
