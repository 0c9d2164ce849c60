#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorrail::base {

// Seeded 64-bit XXH3 hash. Its result is the same in every process and release.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes into one; the order of the arguments matters.
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right);

// SHA-256 in lower-case hex. Bearer keys of clients are stored only in this form.
std::string sha256_hex(std::string_view bytes);

} // namespace camphorrail::base
