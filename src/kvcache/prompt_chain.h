#pragma once

#include "base/ids.h"
#include "ports/platform_codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrail::kvcache {

// Where prompts share cached parts: one model and, for a team that shares with no other, that team.
struct prompt_scope {
    base::model_id model;
    // Empty for all teams that share.
    base::team_id isolated_team;
};

// One shared level of a prompt.
struct prompt_level {
    // Made of the space and all parts up to this one. The same for all weights, so that a prompt's
    // home does not move when weights change.
    std::uint64_t key = 0;
    // Of this level's own part alone, as engines and stores name it.
    std::uint64_t part_hash = 0;
    std::int64_t part_tokens = 0;
    // Tokens up to and with this level.
    std::int64_t prefix_tokens = 0;
};

// The shared levels of a prompt, outermost first. The last part belongs to the request itself and
// is no level.
struct prompt_chain {
    std::vector<prompt_level> levels;
    std::int64_t unshared_tokens = 0;

    [[nodiscard]] std::int64_t shared_tokens() const {
        return this->levels.empty() ? 0 : this->levels.back().prefix_tokens;
    }
    [[nodiscard]] std::int64_t total_tokens() const {
        return this->shared_tokens() + this->unshared_tokens;
    }
};

prompt_chain make_chain(const prompt_scope& space, const std::vector<ports::prompt_part>& parts);

// The name under which a prompt's parts are cached. It holds the weights' version, so that nothing
// made by other weights is ever found, and the team where that shares with no other.
std::string make_salt(const prompt_scope& space, std::int64_t weights);

// A level's key for one version of the weights.
std::uint64_t key_for_weights(std::uint64_t level_key, std::int64_t weights);

// A part as a store names it: by the salt and the part's own name.
std::uint64_t part_key(const std::string& salt, const std::string& part_id);
std::uint64_t part_key(const std::string& salt, const prompt_level& level);

} // namespace camphorrail::kvcache
