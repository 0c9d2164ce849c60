#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorrail::quarantine {

// Identifies a request across the client's retries. `Request-Id` can't serve for this, since the
// client sends a new one with each attempt.
struct request_identity {
    // SHA-256 over path, client and body. With a weaker hash, or without the client, an attacker
    // could have another client's request quarantined by sending one that collides with it.
    base::request_digest digest;
    // Distinguishes most requests without hashing them.
    std::size_t body_bytes = 0;

    auto operator<=>(const request_identity&) const = default;
};

// The parts of a request that its identity is computed from. `client` is the team if the client has
// one.
struct identity_parts {
    std::string_view path;
    std::string_view client;
    std::string_view body;
};

request_identity identify(const identity_parts& parts);

// Tells most requests apart at little cost. Only for what requests like it have done well: a client
// that makes its request collide with another one's gains a lenient verdict, and harms nobody.
struct request_fingerprint {
    std::uint64_t value = 0;

    auto operator<=>(const request_fingerprint&) const = default;
};

request_fingerprint make_fingerprint(const identity_parts& parts);

// Identifies a part of prompts at one model, whichever requests and clients share it. The upstreams
// of a model crash under such a part for all clients alike.
request_identity identify_prompt_part(const base::model_id& model, std::string_view part);

// Whether an identity is that of a prompt part.
bool is_prompt_part(const base::request_digest& digest);

// What may be to blame for a crash under one request: the request itself, and the parts of its
// prompt that other requests may share.
struct request_suspects {
    // Empty if there is no suspicion against any request like it, so that it was not computed.
    base::request_digest request;
    std::vector<base::request_digest> parts;
};

} // namespace camphorrail::quarantine
