#include "kvcache/cache_beliefs.h"

namespace camphorrail::kvcache {

namespace {

// Further copies of one prompt are not needed to find a source.
constexpr std::size_t most_readings = 3;

cache_beliefs::belief& touch(cache_beliefs& beliefs, std::uint64_t prompt) {
    const auto [found, is_new] = beliefs.by_prompt.try_emplace(prompt);
    if (is_new) {
        found->second.age = beliefs.by_age.insert(beliefs.by_age.end(), prompt);
    } else {
        beliefs.by_age.splice(beliefs.by_age.end(), beliefs.by_age, found->second.age);
    }
    return found->second;
}

void drop_oldest(cache_beliefs& beliefs) {
    while (beliefs.by_prompt.size() > beliefs.most_prompts) {
        beliefs.by_prompt.erase(beliefs.by_age.front());
        beliefs.by_age.pop_front();
    }
}

void erase_reader(std::vector<cache_beliefs::reading>& readings, const base::upstream_id& by) {
    std::erase_if(readings, [&by](const auto& each) { return each.by == by; });
}

engine_memory& memory_of(cache_beliefs& beliefs, const base::upstream_id& engine,
                         std::int64_t room) {
    auto& memory = beliefs.memories[engine];
    memory.room = room;
    return memory;
}

void note_reader(cache_beliefs::belief& belief, const base::upstream_id& by, base::instant now) {
    erase_reader(belief.readings, by);
    belief.readings.insert(belief.readings.begin(), {by, now});
    if (belief.readings.size() > most_readings) {
        belief.readings.pop_back();
    }
}

} // namespace

void note_read(cache_beliefs& beliefs, const prompt_read& read, std::int64_t room,
               base::instant now) {
    routing::note_request(beliefs.outer_levels, read.levels.front().key, now);
    auto& memory = memory_of(beliefs, read.by.id, room);
    for (const auto& level : read.levels) {
        const auto key = key_at(level.key, read.weights);
        note_reader(touch(beliefs, key), read.by.id, now);
        use_part(memory, key, level.tokens);
    }
    use_own_tokens(memory, read.own_tokens);
    if (read.saved) {
        touch(beliefs, key_at(read.levels.back().key, read.weights)).saved_at = now;
    }
    drop_oldest(beliefs);
}

void note_sent(cache_beliefs& beliefs, const base::upstream_id& to, const prompt_chain& chain,
               std::int64_t weights, std::int64_t room) {
    auto& memory = memory_of(beliefs, to, room);
    for (const auto& level : chain.levels) {
        use_part(memory, key_at(level.key, weights), level.part_tokens);
    }
}

bool holds_level(const cache_beliefs& beliefs, const base::upstream_id& engine,
                 std::uint64_t level) {
    const auto found = beliefs.memories.find(engine);
    return found != beliefs.memories.end() && holds(found->second, level);
}

bool surely_holds_level(const cache_beliefs& beliefs, const base::upstream_id& engine,
                        std::uint64_t level) {
    const auto found = beliefs.memories.find(engine);
    return found != beliefs.memories.end() && surely_holds(found->second, level);
}

void forget_reader(cache_beliefs& beliefs, const base::upstream_id& gone) {
    for (auto& [prompt, belief] : beliefs.by_prompt) {
        erase_reader(belief.readings, gone);
    }
    beliefs.memories.erase(gone);
}

const std::vector<cache_beliefs::reading>& readings_of(const cache_beliefs& beliefs,
                                                       std::uint64_t prompt) {
    static const std::vector<cache_beliefs::reading> none;
    const auto found = beliefs.by_prompt.find(prompt);
    return found == beliefs.by_prompt.end() ? none : found->second.readings;
}

std::optional<base::instant> last_save(const cache_beliefs& beliefs, std::uint64_t prompt) {
    const auto found = beliefs.by_prompt.find(prompt);
    if (found == beliefs.by_prompt.end() || found->second.saved_at == base::instant{}) {
        return std::nullopt;
    }
    return found->second.saved_at;
}

} // namespace camphorrail::kvcache
