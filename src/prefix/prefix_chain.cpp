#include "prefix/prefix_chain.h"

#include "base/hash.h"

#include <string_view>

namespace camphorrail::prefix {

namespace {

// Size of a piece in bytes, about two thousand tokens, the granularity in which engines transfer
// their cache.
constexpr std::size_t split_bytes = 8192;

std::uint64_t scope_key(const cache_scope& scope) {
    std::uint64_t key = base::stable_hash(scope.team.value);
    key = base::combine_hashes(key, base::stable_hash(scope.model.value));
    return base::combine_hashes(key, base::stable_hash(scope.weights));
}

std::vector<std::string_view> split(const std::vector<std::string>& parts) {
    std::vector<std::string_view> pieces;
    for (const std::string& part : parts) {
        std::string_view rest = part;
        while (rest.size() > split_bytes) {
            pieces.push_back(rest.substr(0, split_bytes));
            rest.remove_prefix(split_bytes);
        }
        pieces.push_back(rest);
    }
    return pieces;
}

} // namespace

prefix_chain make_chain(const cache_scope& scope, const std::vector<std::string>& parts) {
    prefix_chain chain;
    std::uint64_t key = scope_key(scope);
    std::int64_t bytes = 0;
    for (const std::string_view piece : split(parts)) {
        key = base::combine_hashes(key, base::stable_hash(piece));
        bytes += static_cast<std::int64_t>(piece.size());
        const prefix_level level{key, {bytes / bytes_per_token}};
        if (chain.size() < max_levels) {
            chain.push_back(level);
        } else {
            chain.back() = level;
        }
    }
    return chain;
}

} // namespace camphorrail::prefix
