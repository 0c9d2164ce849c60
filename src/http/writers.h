#pragma once

#include "http/fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorrail::http {

// How an answer's or request's body is delimited.
enum class framing { none, length, chunks, close };

struct body_framing {
    framing kind = framing::none;
    std::uint64_t length = 0;
};

// The bytes of a request's head. The fields must not frame the body; that is added here.
std::string write_request_head(std::string_view method, std::string_view target, const fields& all,
                               body_framing body);

std::string write_response_head(int status, const fields& all, body_framing body, bool keep_alive);

// One chunk of a body; bytes are not empty.
std::string write_chunk(std::string_view bytes);

inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace camphorrail::http
