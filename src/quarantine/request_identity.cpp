#include "quarantine/request_identity.h"

#include "base/hash.h"

#include <string>

namespace camphorrail::quarantine {

request_identity identify(const identity_parts& parts) {
    // Each part's digest has the same length, so no part can reach into the next.
    const std::string all = base::sha256_hex(parts.path) + base::sha256_hex(parts.client) +
                            base::sha256_hex(parts.body);
    return {{base::sha256_hex(all)}, parts.body.size()};
}

} // namespace camphorrail::quarantine
