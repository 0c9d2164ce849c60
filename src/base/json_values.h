#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace camphorrail::base {

// Bounds on a document that others send. A value takes up a hundred bytes and more once it is
// parsed, and one or two in the document.
struct value_limits {
    // Values of all kinds, those within others included.
    std::size_t values = 0;
    // Arrays and objects within each other. The reader of binary formats calls itself for each.
    std::size_t depth = 0;
};

// Whether a document exceeds its limits. False for one that breaks its format earlier.
bool exceeds(std::string_view document, nlohmann::json::input_format_t format,
             const value_limits& limits);

// Parses CBOR; nothing if it is malformed or exceeds the limits.
std::optional<nlohmann::json> parse_cbor(std::string_view document, const value_limits& limits);

} // namespace camphorrail::base
