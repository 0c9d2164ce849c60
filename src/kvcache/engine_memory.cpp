#include "kvcache/engine_memory.h"

namespace camphorrail::kvcache {

namespace {

// What a request alone used is kept as one piece with what others alone used about then, so that
// the number of pieces stays that of the shared parts.
constexpr std::int64_t largest_own_piece = 4096;
// Part of the memory that cached parts get: requests that are generating keep theirs, and what they
// generate is in it too.
constexpr double cached_share = 0.85;

void yield_oldest(engine_memory& memory) {
    const auto most = static_cast<std::int64_t>(cached_share * static_cast<double>(memory.room));
    while (memory.used > most && !memory.by_age.empty()) {
        const auto oldest = memory.by_age.front();
        memory.by_age.pop_front();
        memory.used -= oldest.tokens;
        if (oldest.key != 0) {
            memory.by_key.erase(oldest.key);
        }
    }
}

} // namespace

void use_part(engine_memory& memory, std::uint64_t key, std::int64_t tokens) {
    const auto found = memory.by_key.find(key);
    if (found != memory.by_key.end()) {
        found->second->used_at = memory.read_in_all;
        memory.by_age.splice(memory.by_age.end(), memory.by_age, found->second);
        return;
    }
    memory.used += tokens;
    memory.read_in_all += tokens;
    memory.by_key[key] =
        memory.by_age.insert(memory.by_age.end(), {key, tokens, memory.read_in_all});
    yield_oldest(memory);
}

void use_own_tokens(engine_memory& memory, std::int64_t tokens) {
    if (tokens <= 0) {
        return;
    }
    const bool joins = !memory.by_age.empty() && memory.by_age.back().key == 0 &&
                       memory.by_age.back().tokens + tokens <= largest_own_piece;
    if (joins) {
        memory.by_age.back().tokens += tokens;
    } else {
        memory.by_age.push_back({0, tokens, 0});
    }
    memory.used += tokens;
    memory.read_in_all += tokens;
    yield_oldest(memory);
}

bool surely_holds(const engine_memory& memory, std::uint64_t key) {
    const auto found = memory.by_key.find(key);
    return found != memory.by_key.end() &&
           2 * (memory.read_in_all - found->second->used_at) < memory.room;
}

bool holds(const engine_memory& memory, std::uint64_t key) {
    return memory.by_key.count(key) > 0;
}

} // namespace camphorrail::kvcache
