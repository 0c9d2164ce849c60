#include "quarantine/request_identity.h"

#include "base/hash.h"

#include <string>

namespace camphorrail::quarantine {

namespace {

// Keeps the digests of prompt parts apart from those of requests.
constexpr std::string_view part_prefix = "part-";

} // namespace

request_identity identify(const identity_parts& parts) {
    // All digests have the same length, so different splits of the same bytes can't collide.
    const std::string all = base::sha256_hex(parts.path) + base::sha256_hex(parts.client) +
                            base::sha256_hex(parts.body);
    return {{base::sha256_hex(all)}, parts.body.size()};
}

request_fingerprint make_fingerprint(const identity_parts& parts) {
    // Each part is the seed of the next, so that the same bytes split otherwise differ.
    return {base::stable_hash(parts.body,
                              base::stable_hash(parts.client, base::stable_hash(parts.path)))};
}

request_identity identify_prompt_part(const base::model_id& model, std::string_view part) {
    const std::string both = base::sha256_hex(model.value) + base::sha256_hex(part);
    return {{std::string(part_prefix) + base::sha256_hex(both)}, 0};
}

bool is_prompt_part(const base::request_digest& digest) {
    return digest.value.starts_with(part_prefix);
}

} // namespace camphorrail::quarantine
