#include "agent/upstream_request.h"

#include <nlohmann/json.hpp>

namespace camphorrail::agent {

namespace {

using nlohmann::json;

constexpr const char* engine_pool = "model:";

bool is_engine(const wire::order& order) {
    return order.pool.rfind(engine_pool, 0) == 0;
}

std::string engine_body(const wire::order& order) {
    json body = json::parse(order.body, nullptr, false);
    if (!body.is_object()) {
        return order.body;
    }
    body["priority"] = order.priority;
    if (order.resume_from > 0) {
        body["resume_from"] = order.resume_from;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

ports::upstream_call to_call(const wire::order& order, std::int64_t fencing_number) {
    ports::upstream_call call;
    call.method = order.method;
    call.path = order.path;
    call.body = is_engine(order) ? engine_body(order) : order.body;
    call.fields = {{"X-Request-Id", order.attempt}};
    if (!order.content_type.empty()) {
        call.fields.emplace_back("Content-Type", order.content_type);
    }
    if (!order.traceparent.empty()) {
        call.fields.emplace_back("traceparent", order.traceparent);
    }
    if (!order.idempotency_key.empty()) {
        call.fields.emplace_back("Idempotency-Key", order.idempotency_key);
        call.fields.emplace_back("X-Fencing-Token", std::to_string(fencing_number));
    }
    return call;
}

std::optional<usage> read_usage(const std::string& json_text) {
    const json document = json::parse(json_text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    try {
        const auto found = document.find("usage");
        if (found == document.end() || !found->is_object()) {
            return std::nullopt;
        }
        const json details = found->value("prompt_tokens_details", json::object());
        return usage{found->value("prompt_tokens", std::int64_t{0}),
                     details.is_object() ? details.value("cached_tokens", std::int64_t{0}) : 0};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool only_usage(const std::string& json_text) {
    const json document = json::parse(json_text, nullptr, false);
    if (!document.is_object() || !document.contains("usage")) {
        return false;
    }
    const auto choices = document.find("choices");
    return choices != document.end() && choices->is_array() && choices->empty();
}

} // namespace camphorrail::agent
