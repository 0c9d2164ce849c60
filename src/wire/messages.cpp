#include "wire/messages.h"

#include "base/json_values.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstring>
#include <utility>

namespace camphorrail::wire {

// The library's macro writes the field-by-field conversions, so that no field is forgotten.
// NOLINTBEGIN
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_report, engine_incarnation, running, waiting, wait_us,
                                   prefill_us_per_token, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hello, from, incarnation, config_version, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat, config_version, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_request, have)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_reply, version, document, deltas)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order, attempt, pool, idempotency_key, fingerprint,
                                   config_version, team, priority, share, deadline_us, target_us,
                                   method, path, content_type, traceparent, resume_from, level_keys,
                                   level_tokens, stream, probe, hide_usage)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(started, attempt, status, content_type)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(chunk, attempt, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finished, attempt, sequence, prompt_tokens, cached_tokens, load)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refused, attempt, code, ran, retry_after_ms, load, holders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(credit, attempt, bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(tombstone, attempt, pool, idempotency_key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(tombstoned, attempt, ran)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(placed, level_key, holder)
// NOLINTEND

namespace {

constexpr const char* type_field = "t";
constexpr const char* bytes_field = "b";
constexpr int highest_ran = 2;
constexpr std::size_t most_levels = 64;
constexpr base::value_limits frame_limits{250'000, 4096};

template <class Message>
nlohmann::json to_fields(const Message& value) {
    return value;
}

// Bodies travel as CBOR byte strings: JSON texts must be UTF-8, and an answer need not be.
void take_bytes(nlohmann::json& fields, const std::string& bytes) {
    fields[bytes_field] =
        nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string read_bytes(const nlohmann::json& fields) {
    const auto& bytes = fields.at(bytes_field).get_binary();
    return {bytes.begin(), bytes.end()};
}

template <class Message>
message read(const nlohmann::json& fields) {
    return fields.get<Message>();
}

template <>
message read<order>(const nlohmann::json& fields) {
    auto value = fields.get<order>();
    value.body = read_bytes(fields);
    return value;
}

template <>
message read<chunk>(const nlohmann::json& fields) {
    auto value = fields.get<chunk>();
    value.bytes = read_bytes(fields);
    return value;
}

using reader = message (*)(const nlohmann::json&);

template <std::size_t... Index>
constexpr auto make_readers(std::index_sequence<Index...> /*all*/) {
    return std::array<reader, sizeof...(Index)>{
        &read<std::variant_alternative_t<Index, message>>...};
}

constexpr auto readers = make_readers(std::make_index_sequence<std::variant_size_v<message>>{});

bool sane(const load_report& load) {
    return std::isfinite(load.prefill_us_per_token) && load.prefill_us_per_token >= 0 &&
           load.running >= 0 && load.waiting >= 0 && load.wait_us >= 0;
}

bool sane(const order& value) {
    return !value.attempt.empty() && value.level_keys.size() == value.level_tokens.size() &&
           value.level_keys.size() <= most_levels && std::isfinite(value.share) &&
           value.resume_from >= 0;
}

bool sane(const refused& value) {
    return value.ran >= 0 && value.ran <= highest_ran && sane(value.load);
}

bool sane(const tombstoned& value) {
    return value.ran >= 0 && value.ran <= highest_ran;
}
bool sane(const hello& value) {
    return sane(value.load);
}
bool sane(const heartbeat& value) {
    return sane(value.load);
}
bool sane(const finished& value) {
    return sane(value.load);
}

template <class Message>
bool sane(const Message& /*value*/) {
    return true;
}

base::result<message> read_frame(const nlohmann::json& fields) {
    if (!fields.is_object()) {
        return base::code::frame_malformed;
    }
    const auto type = fields.find(type_field);
    if (type == fields.end() || !type->is_number_unsigned() ||
        type->get<std::size_t>() >= readers.size()) {
        return base::code::frame_malformed;
    }
    message value = readers[type->get<std::size_t>()](fields);
    if (!std::visit([](const auto& inner) { return sane(inner); }, value)) {
        return base::code::frame_malformed;
    }
    return value;
}

} // namespace

std::string encode(const message& value) {
    nlohmann::json fields = std::visit([](const auto& inner) { return to_fields(inner); }, value);
    if (const auto* request = std::get_if<order>(&value)) {
        take_bytes(fields, request->body);
    } else if (const auto* piece = std::get_if<chunk>(&value)) {
        take_bytes(fields, piece->bytes);
    }
    fields[type_field] = value.index();
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    return bytes;
}

base::result<message> decode(std::string_view bytes) {
    if (bytes.size() > max_frame_bytes) {
        return base::code::frame_too_large;
    }
    const auto parsed =
        base::parse_values(bytes, nlohmann::json::input_format_t::cbor, frame_limits);
    try {
        return read_frame(parsed.document);
    } catch (const nlohmann::json::exception&) {
        return base::code::frame_malformed;
    }
}

} // namespace camphorrail::wire
