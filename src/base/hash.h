#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrail::base {

// Hash that is the same in every process and release (XXH3, 64 bits, with a seed).
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

// Mixes two hashes into one; order matters.
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right);

// SHA-256 in lower-case hex; for callers' keys, which are kept only in this form.
std::string sha256_hex(std::string_view bytes);

} // namespace camphorrail::base
