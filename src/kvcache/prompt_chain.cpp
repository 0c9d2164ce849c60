#include "kvcache/prompt_chain.h"

#include "base/hash.h"

namespace camphorrail::kvcache {

prompt_chain make_chain(const prompt_scope& scope, const std::vector<ports::prompt_part>& parts) {
    prompt_chain chain;
    std::uint64_t key = base::combine_hashes(base::stable_hash(scope.model.value),
                                             base::stable_hash(scope.isolated_team.value));
    std::int64_t tokens = 0;
    for (std::size_t level = 0; level + 1 < parts.size(); ++level) {
        const std::uint64_t part = base::stable_hash(parts[level].id);
        key = base::combine_hashes(key, part);
        tokens += parts[level].size.value;
        chain.levels.push_back({key, part, parts[level].size.value, tokens});
    }
    chain.unshared_tokens = parts.empty() ? 0 : parts.back().size.value;
    return chain;
}

std::string make_salt(const prompt_scope& scope, std::int64_t weights) {
    std::string salt = scope.model.value + "." + std::to_string(weights);
    return scope.isolated_team.empty() ? salt : salt + "." + scope.isolated_team.value;
}

std::uint64_t key_for_weights(std::uint64_t level_key, std::int64_t weights) {
    return base::combine_hashes(level_key, static_cast<std::uint64_t>(weights));
}

std::uint64_t part_key(const std::string& salt, const std::string& part_id) {
    return base::combine_hashes(base::stable_hash(salt), base::stable_hash(part_id));
}

std::uint64_t part_key(const std::string& salt, const prompt_level& level) {
    return base::combine_hashes(base::stable_hash(salt), level.part_hash);
}

} // namespace camphorrail::kvcache
