#include "process/problem.h"

#include <nlohmann/json.hpp>

namespace camphorrail::process {

namespace {

constexpr std::int64_t ms_a_second = 1000;

// The header counts whole seconds; coming back too early would only be refused again.
std::int64_t whole_seconds(base::milliseconds span) {
    return (span.count() + ms_a_second - 1) / ms_a_second;
}

} // namespace

std::string to_json(const problem& answer) {
    const auto& entry = base::describe(answer.number);
    nlohmann::ordered_json document{
        {"type", "about:blank"},           {"title", std::string(entry.text)},
        {"status", entry.http_status},     {"code", static_cast<int>(answer.number)},
        {"name", std::string(entry.name)}, {"ran", std::string(base::to_string(answer.ran))}};
    if (answer.retry_after.count() > 0) {
        document["retry_after_ms"] = answer.retry_after.count();
    }
    if (!answer.detail.empty()) {
        document["detail"] = answer.detail;
    }
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

adapters::refusal make_refusal(const problem& answer) {
    http::fields fields{{"Content-Type", "application/problem+json"}};
    if (answer.retry_after.count() > 0) {
        fields.push_back({"Retry-After", std::to_string(whole_seconds(answer.retry_after))});
    }
    return {std::move(fields), to_json(answer) + "\n"};
}

void reply_problem(adapters::http_exchange& exchange, const problem& answer) {
    const auto text = make_refusal(answer);
    ports::headers fields;
    for (const auto& each : text.fields) {
        fields.emplace_back(each.name, each.value);
    }
    exchange.reply(base::describe(answer.number).http_status, fields, text.body);
}

} // namespace camphorrail::process
