#include "kvcache/prompt_chain.h"

#include "base/hash.h"

#include <sstream>

namespace camphorrail::kvcache {

namespace {

std::string to_hex(std::uint64_t number) {
    std::ostringstream text;
    text << std::hex << number;
    return text.str();
}

} // namespace

prompt_chain make_chain(const prompt_scope& scope, const std::vector<ports::prompt_part>& parts) {
    prompt_chain chain;
    std::uint64_t key = base::combine_hashes(base::stable_hash(scope.model.value),
                                             base::stable_hash(scope.separate_team.value));
    std::int64_t tokens = 0;
    for (std::size_t level = 0; level + 1 < parts.size(); ++level) {
        const std::uint64_t part = base::stable_hash(parts[level].id);
        key = base::combine_hashes(key, part);
        tokens += parts[level].size.value;
        chain.levels.push_back({key, part, parts[level].size.value, tokens});
    }
    chain.unshared_tokens = parts.empty() ? 0 : parts.back().size.value;
    chain.shared_space = scope.separate_team.empty() ? scope.shared_space : 0;
    return chain;
}

std::string make_salt(const prompt_scope& scope, std::int64_t weights) {
    const std::string salt = scope.model.value + "." + std::to_string(weights);
    if (!scope.separate_team.empty()) {
        return salt + "." + scope.separate_team.value;
    }
    // The separator differs, so that no team's name looks like a shared space.
    return scope.shared_space == 0 ? salt : salt + "/" + to_hex(scope.shared_space);
}

std::uint64_t cached_level_key(std::uint64_t level_key, std::int64_t weights,
                               std::uint64_t shared_space) {
    const auto key = base::combine_hashes(level_key, static_cast<std::uint64_t>(weights));
    return shared_space == 0 ? key : base::combine_hashes(key, shared_space);
}

std::uint64_t part_key(const std::string& salt, const std::string& part_id) {
    return base::combine_hashes(base::stable_hash(salt), base::stable_hash(part_id));
}

std::uint64_t part_key(const std::string& salt, const prompt_level& level) {
    return base::combine_hashes(base::stable_hash(salt), level.part_hash);
}

} // namespace camphorrail::kvcache
