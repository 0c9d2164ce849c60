#include "kvcache/cache_beliefs.h"

#include "base/hash.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

// Further copies of one prompt are not needed to find a source.
constexpr std::size_t most_holders = 4;

cache_beliefs::belief& touch(cache_beliefs& beliefs, std::uint64_t key) {
    const auto [found, is_new] = beliefs.by_key.try_emplace(key);
    if (is_new) {
        found->second.age = beliefs.by_age.insert(beliefs.by_age.end(), key);
    } else {
        beliefs.by_age.splice(beliefs.by_age.end(), beliefs.by_age, found->second.age);
    }
    return found->second;
}

void drop_oldest(cache_beliefs& beliefs) {
    while (beliefs.by_key.size() > beliefs.most_keys) {
        beliefs.by_key.erase(beliefs.by_age.front());
        beliefs.by_age.pop_front();
    }
}

} // namespace

prompt_chain make_chain(const std::string& salt, const std::vector<ports::prompt_part>& parts) {
    prompt_chain chain;
    std::uint64_t key = base::stable_hash(salt);
    std::int64_t tokens = 0;
    for (std::size_t level = 0; level + 1 < parts.size(); ++level) {
        key = base::mix(key, base::stable_hash(parts[level].id));
        tokens += parts[level].size.value;
        chain.keys.push_back(key);
        chain.tokens.push_back(tokens);
    }
    chain.own_tokens = parts.empty() ? 0 : parts.back().size.value;
    return chain;
}

std::string make_salt(const base::model_id& model, std::int64_t weights,
                      const base::team_id& isolated_team) {
    std::string salt = model.value + "." + std::to_string(weights);
    return isolated_team.empty() ? salt : salt + "." + isolated_team.value;
}

void note_read(cache_beliefs& beliefs, const prompt_chain& chain, const base::upstream_id& by,
               bool saved, base::instant now) {
    for (const std::uint64_t key : chain.keys) {
        auto& belief = touch(beliefs, key);
        belief.saved_at = saved ? now : belief.saved_at;
        auto& holders = belief.holders;
        holders.erase(std::remove(holders.begin(), holders.end(), by), holders.end());
        holders.insert(holders.begin(), by);
        if (holders.size() > most_holders) {
            holders.pop_back();
        }
    }
    drop_oldest(beliefs);
}

void forget_holder(cache_beliefs& beliefs, const base::upstream_id& gone) {
    for (auto& [key, belief] : beliefs.by_key) {
        auto& holders = belief.holders;
        holders.erase(std::remove(holders.begin(), holders.end(), gone), holders.end());
    }
}

void forget_saved(cache_beliefs& beliefs) {
    for (auto& [key, belief] : beliefs.by_key) {
        belief.saved_at = {};
    }
}

std::int64_t held_tokens(const cache_beliefs& beliefs, const prompt_chain& chain,
                         const base::upstream_id& at) {
    for (std::size_t level = chain.keys.size(); level > 0; --level) {
        const auto found = beliefs.by_key.find(chain.keys[level - 1]);
        if (found == beliefs.by_key.end()) {
            continue;
        }
        const auto& holders = found->second.holders;
        if (std::find(holders.begin(), holders.end(), at) != holders.end()) {
            return chain.tokens[level - 1];
        }
    }
    return 0;
}

bool is_saved(const cache_beliefs& beliefs, const prompt_chain& chain, base::instant since) {
    if (chain.keys.empty()) {
        return true;
    }
    const auto found = beliefs.by_key.find(chain.keys.back());
    return found != beliefs.by_key.end() && found->second.saved_at > since;
}

std::vector<base::upstream_id> holders_of(const cache_beliefs& beliefs, const prompt_chain& chain) {
    for (std::size_t level = chain.keys.size(); level > 0; --level) {
        const auto found = beliefs.by_key.find(chain.keys[level - 1]);
        if (found != beliefs.by_key.end() && !found->second.holders.empty()) {
            return found->second.holders;
        }
    }
    return {};
}

} // namespace camphorrail::kvcache
