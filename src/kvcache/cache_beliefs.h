#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "ports/dialect.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorrail::kvcache {

// The shared levels of a prompt, outermost first. The last part belongs to the request itself and
// is no level.
struct prompt_chain {
    // One key a level, made of the salt and all parts up to it.
    std::vector<std::uint64_t> keys;
    // Tokens up to and with each level.
    std::vector<std::int64_t> tokens;
    std::int64_t own_tokens = 0;

    [[nodiscard]] std::int64_t shared_tokens() const {
        return this->tokens.empty() ? 0 : this->tokens.back();
    }
};

prompt_chain make_chain(const std::string& salt, const std::vector<ports::prompt_part>& parts);

// The name under which a prompt's parts are cached. It holds the weights' version, so that nothing
// made by other weights is ever found, and the team where that shares with no other.
std::string make_salt(const base::model_id& model, std::int64_t weights,
                      const base::team_id& isolated_team);

// Who probably holds which prompt, from what this entry has sent and seen answered.
struct cache_beliefs {
    struct belief {
        std::vector<base::upstream_id> holders;
        // When the store of kept KV cache was last sent it; the epoch for never.
        base::instant saved_at{};
        std::list<std::uint64_t>::iterator age;
    };
    std::unordered_map<std::uint64_t, belief> by_key;
    // Keys, the one used longest ago first.
    std::list<std::uint64_t> by_age;
    // A few times the prompts that 2,000 engines of 100,000 tokens can hold at once would be out of
    // proportion here; this many cost about 2 MB and cover what one entry sees in a minute.
    std::size_t most_keys = 8192;
};

// An upstream has read a prompt, so it holds all its levels now; `saved` where it was told to save.
void note_read(cache_beliefs& beliefs, const prompt_chain& chain, const base::upstream_id& by,
               bool saved, base::instant now);

// The upstream has lost its cache, or has ended.
void forget_holder(cache_beliefs& beliefs, const base::upstream_id& gone);

// The store of kept KV cache has come back empty.
void forget_saved(cache_beliefs& beliefs);

// Tokens of the prompt that an upstream probably holds.
std::int64_t held_tokens(const cache_beliefs& beliefs, const prompt_chain& chain,
                         const base::upstream_id& at);

// Whether the whole chain was sent to the store after `since`.
bool is_saved(const cache_beliefs& beliefs, const prompt_chain& chain, base::instant since);

// The holders of the prompt's deepest level that anyone holds, newest first.
std::vector<base::upstream_id> holders_of(const cache_beliefs& beliefs, const prompt_chain& chain);

} // namespace camphorrail::kvcache
