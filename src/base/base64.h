#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorrail::base {

// Standard base64 with padding.
std::string to_base64(std::string_view bytes);

// Nothing where the text is not base64.
std::optional<std::string> from_base64(std::string_view text);

} // namespace camphorrail::base
