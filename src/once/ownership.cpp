#include "once/ownership.h"

#include "base/hash.h"

#include <algorithm>

namespace camphorrail::once {

namespace {

std::uint64_t weight(const base::upstream_id& agent, std::uint64_t key) {
    return base::combine_hashes(base::stable_hash(agent.value), key);
}

} // namespace

std::vector<base::upstream_id> ranked_owners(const base::idempotency_key& key,
                                             const std::vector<base::upstream_id>& owners) {
    const std::uint64_t hash = base::stable_hash(key.value);
    std::vector<base::upstream_id> ranked = owners;
    std::sort(ranked.begin(), ranked.end(), [hash](const auto& left, const auto& right) {
        return weight(left, hash) > weight(right, hash);
    });
    return ranked;
}

bool owns(const base::upstream_id& agent, const base::idempotency_key& key,
          const std::vector<base::upstream_id>& owners) {
    const std::uint64_t hash = base::stable_hash(key.value);
    const auto first =
        std::max_element(owners.begin(), owners.end(), [hash](const auto& left, const auto& right) {
            return weight(left, hash) < weight(right, hash);
        });
    return first != owners.end() && *first == agent;
}

} // namespace camphorrail::once
