#include "entry/caller_request.h"

#include "base/hash.h"
#include "base/json_values.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace camphorrail::entry {

namespace {

using nlohmann::json;
using process::problem;

constexpr std::string_view services_path = "/services/";
constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t longest_key = 200;
constexpr std::size_t longest_traceparent = 128;
// Of a body of JSON. Its parser needs no stack for nested values.
constexpr base::value_limits body_limits{100'000, 100'000};

problem refusal(base::code number, std::string detail = "") {
    return {number, base::execution_state::not_run, base::milliseconds{0}, std::move(detail)};
}

std::optional<config::caller> authenticate(const http_request& request,
                                           const config::directory& tables) {
    const std::string field = request.header("Authorization");
    if (field.compare(0, bearer.size(), bearer) != 0) {
        return std::nullopt;
    }
    return config::find_caller(tables, field.substr(bearer.size()));
}

bool valid_key(const std::string& key) {
    return key.size() <= longest_key &&
           std::all_of(key.begin(), key.end(),
                       [](unsigned char letter) { return letter > ' ' && letter < 127; });
}

// The text parts of a message's content, which is a text or a list of typed parts.
std::string text_of(const json& content) {
    if (content.is_string()) {
        return content.get<std::string>();
    }
    return content.is_null() ? std::string() : content.dump();
}

std::optional<std::vector<std::string>> prompt_parts(const json& body, bool chat) {
    std::vector<std::string> parts;
    if (!chat) {
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string()) {
            return std::nullopt;
        }
        parts.push_back(prompt->get<std::string>());
        return parts;
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return std::nullopt;
    }
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("content")) {
            return std::nullopt;
        }
        const auto role = message.find("role");
        parts.push_back((role != message.end() ? role->dump() : "") + text_of(message["content"]));
    }
    return parts;
}

// The agent reads an engine's usage from the stream's last event, so engines are asked for it also
// where the caller did not; the caller is then spared that event.
void ask_for_usage(json& body, caller_request& made) {
    json& options = body["stream_options"];
    if (!options.is_object()) {
        options = json::object();
    }
    made.hide_usage = options.value("include_usage", json(false)) != json(true);
    options["include_usage"] = true;
}

std::optional<problem> read_completion(const http_request& request, const config::directory& tables,
                                       caller_request& made) {
    if (request.method != "POST") {
        return refusal(base::code::method_not_allowed);
    }
    auto parsed = base::parse_values(request.body, json::input_format_t::json, body_limits);
    if (parsed.exceeds_limits) {
        return refusal(base::code::body_malformed, "the body holds more than " +
                                                       std::to_string(body_limits.values) +
                                                       " values");
    }
    json& body = parsed.document;
    if (!body.is_object()) {
        return refusal(base::code::body_malformed, "the body must be a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return refusal(base::code::body_malformed, "'model' must be a text");
    }
    const auto parts = prompt_parts(body, request.path == "/v1/chat/completions");
    if (!parts) {
        return refusal(base::code::body_malformed, "'prompt' must be a text, or 'messages' a list");
    }
    const base::model_id name{model->get<std::string>()};
    made.pool = config::model_pool(name.value);
    if (tables.pools.count(made.pool) == 0) {
        return refusal(base::code::unknown_model);
    }
    const auto weights = tables.weights.find(name);
    made.chain = prefix::make_chain(
        {made.caller.team, name, weights == tables.weights.end() ? "" : weights->second}, *parts);
    made.stream = body.value("stream", json(false)) == json(true);
    if (made.stream) {
        ask_for_usage(body, made);
    }
    made.body = body.dump();
    made.path = request.path;
    made.content_type = "application/json";
    return std::nullopt;
}

std::optional<problem> read_service(const http_request& request, const config::directory& tables,
                                    caller_request& made) {
    const std::string rest = request.target.substr(services_path.size());
    const auto end = std::min(rest.find('/'), rest.find('?'));
    made.pool = config::service_pool(rest.substr(0, end));
    if (tables.pools.count(made.pool) == 0) {
        return refusal(base::code::unknown_service);
    }
    made.path = end == std::string::npos ? "/" : rest.substr(end);
    if (made.path.front() != '/') {
        made.path = "/" + made.path;
    }
    made.body = request.body;
    made.content_type = request.header("Content-Type");
    return std::nullopt;
}

bool repeatable(const caller_request& made, const config::directory& tables) {
    if (made.method == "GET" || made.method == "HEAD") {
        return true;
    }
    const auto& upstreams = tables.pools.at(made.pool);
    return std::all_of(upstreams.begin(), upstreams.end(),
                       [](const config::upstream& item) { return item.repeatable; });
}

std::optional<problem> read_key(const http_request& request, const config::directory& tables,
                                const std::string& own_key, caller_request& made) {
    std::string key = request.header("Idempotency-Key");
    if (!valid_key(key)) {
        return refusal(base::code::bad_idempotency_key);
    }
    if (key.empty() && repeatable(made, tables)) {
        return std::nullopt;
    }
    made.key_is_ours = key.empty();
    made.key.value = made.caller.team.value + "/" + (key.empty() ? own_key : key);
    made.fingerprint =
        base::sha256_hex(made.method + " " + made.path + "\n" + request.body).substr(0, 32);
    return std::nullopt;
}

} // namespace

std::variant<caller_request, process::problem> read_request(const http_request& request,
                                                            const config::directory& tables,
                                                            const settings::limit_settings& limits,
                                                            const std::string& own_key) {
    if (static_cast<std::int64_t>(request.body.size()) > limits.max_body_bytes) {
        return refusal(base::code::body_too_large);
    }
    const auto caller = authenticate(request, tables);
    if (!caller) {
        return refusal(base::code::key_missing_or_wrong);
    }
    caller_request made;
    made.caller = *caller;
    made.method = request.method;
    made.traceparent = request.header("traceparent").substr(0, longest_traceparent);
    const bool completion =
        request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    const bool service = request.path.compare(0, services_path.size(), services_path) == 0;
    if (!completion && !service) {
        return refusal(base::code::unknown_path);
    }
    if (auto fault = completion ? read_completion(request, tables, made)
                                : read_service(request, tables, made)) {
        return *fault;
    }
    if (auto fault = read_key(request, tables, own_key, made)) {
        return *fault;
    }
    return made;
}

} // namespace camphorrail::entry
