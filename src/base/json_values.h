#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
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

struct parsed_values {
    // Discarded if the document is malformed or exceeds its limits.
    nlohmann::json document;
    // It exceeds them before it breaks its format, if it does.
    bool exceeds_limits = false;
};

// Parses a document as far as its limits allow.
parsed_values parse_values(std::string_view document, nlohmann::json::input_format_t format,
                           const value_limits& limits);

} // namespace camphorrail::base
