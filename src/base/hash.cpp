#include "base/hash.h"

#include <sodium.h>
#include <xxhash.h>

#include <array>

namespace camphorrail::base {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right) {
    const std::array<std::uint64_t, 2> both{left, right};
    return XXH3_64bits(both.data(), sizeof both);
}

std::string sha256_hex(std::string_view bytes) {
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(bytes.data()),
                       bytes.size());
    std::array<char, crypto_hash_sha256_BYTES * 2 + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return {hex.data()};
}

} // namespace camphorrail::base
