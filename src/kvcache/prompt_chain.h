#pragma once

#include "base/ids.h"
#include "ports/platform_codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::kvcache {

// The scope within which prompts share cached parts: one model and either one team or the space
// that several teams share; see `cache_spaces`.
struct prompt_scope {
    base::model_id model;
    // Empty for all teams that share their cache.
    base::team_id separate_team;
    // The space that these teams share.
    std::uint64_t shared_space = 0;
};

// One shared level of a prompt: the prefix up to the end of one of its parts.
struct prompt_level {
    // Hash of the model, the separate team and all parts up to this one. Independent of the weights
    // and of the shared space, so that a prompt's home does not move when these change.
    std::uint64_t key = 0;
    // Hash of the id of this level's own part, from which `part_key` derives the key in a store.
    std::uint64_t part_hash = 0;
    std::int64_t part_tokens = 0;
    // Tokens of all parts up to and including this level.
    std::int64_t prefix_tokens = 0;
};

// The shared levels of a prompt, outermost first. The prompt's last part belongs to a single
// request and is not a level.
struct prompt_chain {
    std::vector<prompt_level> levels;
    std::int64_t unshared_tokens = 0;
    // The space that the prompt's team shares with others; 0 for a separate team.
    std::uint64_t shared_space = 0;

    [[nodiscard]] std::int64_t shared_tokens() const {
        return this->levels.empty() ? 0 : this->levels.back().prefix_tokens;
    }
    [[nodiscard]] std::int64_t total_tokens() const {
        return this->shared_tokens() + this->unshared_tokens;
    }
};

prompt_chain make_chain(const prompt_scope& scope, const std::vector<ports::prompt_part>& parts);

// Returns the cache salt for a prompt's parts. It includes the version of the weights, so that
// cache entries of other weights are never found, and the separate team or the shared space.
std::string make_salt(const prompt_scope& scope, std::int64_t weights);

// The key of a level as it is cached: under a version of the weights and in a shared space.
std::uint64_t cached_level_key(std::uint64_t level_key, std::int64_t weights,
                               std::uint64_t shared_space);

// Key of a part in a KV cache store, derived from the salt and the part's id.
std::uint64_t part_key(const std::string& salt, const std::string& part_id);
std::uint64_t part_key(const std::string& salt, const prompt_level& level);

} // namespace camphorrail::kvcache
