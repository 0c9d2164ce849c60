#pragma once

#include <cstddef>
#include <string_view>

namespace camphorrail::http {

// Where a message's head ends, counted in bytes with its blank line; npos while it is not whole.
std::size_t head_length(std::string_view bytes);

// Whether a whole head is free of all that two readers could understand in two ways: bare CR or LF,
// folded lines, spaces before a colon, control characters, two lengths, a length beside a transfer
// coding, any coding but chunked. Were such a head let through, a caller could hide a second
// request inside the first, and the answer to it would go to someone else.
bool is_unambiguous(std::string_view head);

} // namespace camphorrail::http
