#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorrail::base {

// Encodes bytes in standard base64 with padding.
std::string to_base64(std::string_view bytes);

// Decodes standard base64 with padding; nullopt if the text is not valid base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace camphorrail::base
