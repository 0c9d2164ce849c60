#pragma once

#include "base/ids.h"

#include <cstddef>
#include <string_view>

namespace camphorrail::quarantine {

// What stays the same when a caller sends a request again. Its `Request-Id` does not: each attempt
// of a caller brings a new one.
struct request_identity {
    // SHA-256 over path, caller and body. With a weaker hash, or without the caller, somebody could
    // have another caller's request held back by sending one that collides with it.
    base::request_digest digest;
    // Tells most requests apart without hashing them.
    std::size_t body_bytes = 0;

    auto operator<=>(const request_identity&) const = default;
};

// The parts of a request that make its identity. `caller` is its team where it has one.
struct identity_parts {
    std::string_view path;
    std::string_view client;
    std::string_view body;
};

request_identity identify(const identity_parts& parts);

} // namespace camphorrail::quarantine
