#pragma once

#include <bit>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorrail::routing {

// Rendezvous hashing: each member has a score for a key, and the members with the highest scores
// are the key's homes. Removing a member moves only the keys whose home it was.

// Score of a member for a key; both must already be hashes.
inline std::uint64_t score(std::uint64_t member, std::uint64_t key) {
    std::uint64_t bits = member ^ (key * 0x9e3779b97f4a7c15ULL);
    bits = (bits ^ (bits >> 32U)) * 0xd6e8feb86659fd93ULL;
    return bits ^ (bits >> 32U);
}

// Score of a member whose share of the keys is proportional to `weight`, which must be positive. A
// changed weight moves only the keys that the member gains or loses by it. Comparable only with
// other weighted scores.
inline std::uint64_t weighted_score(std::uint64_t member, std::uint64_t key, double weight) {
    constexpr double hash_range = 18446744073709551616.0;
    const double hash =
        (static_cast<double>(score(member, key) >> 11U) * 2048.0 + 1024.0) / hash_range;
    // The bits of positive floating-point numbers are in the order of their values.
    return std::bit_cast<std::uint64_t>(-weight / std::log(hash));
}

// Returns the indexes of the `count` members with the highest scores, highest first. Ties go to the
// lower index.
std::vector<std::size_t> rank_members(const std::vector<std::uint64_t>& members, std::uint64_t key,
                                      std::size_t count);

} // namespace camphorrail::routing
