#include "quarantine/request_identity.h"

#include "base/hash.h"

#include <string>

namespace camphorrail::quarantine {

request_identity identify(const identity_parts& parts) {
    // All digests have the same length, so different splits of the same bytes can't collide.
    const std::string all = base::sha256_hex(parts.path) + base::sha256_hex(parts.client) +
                            base::sha256_hex(parts.body);
    return {{base::sha256_hex(all)}, parts.body.size()};
}

} // namespace camphorrail::quarantine
