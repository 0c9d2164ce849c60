#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace camphorrail::routing {

// An upstream that this entry saw serving a prefix level, and when. Only valid for the engine
// incarnation in which it was seen.
struct holder {
    std::uint64_t upstream = 0;
    std::int64_t engine_incarnation = 0;
    base::instant last_used{};
};

inline constexpr std::size_t holders_per_level = 4;

// Upstreams that probably hold each prefix level in their cache: a bounded LRU table of this
// entry's own traffic. It contains only hints. A wrong hint costs a cache miss; the engine's own
// cache is authoritative.
struct affinity_table {
    struct level_record {
        std::uint64_t key = 0;
        std::array<holder, holders_per_level> holders{};
    };
    std::size_t capacity = 50000;
    std::list<level_record> newest_first;
    std::unordered_map<std::uint64_t, std::list<level_record>::iterator> by_key;
};

// Returns the record of a level, or null.
const affinity_table::level_record* find(const affinity_table& table, std::uint64_t level_key);

// Records that an upstream has just served this level, and therefore holds it now.
void add_holder(affinity_table& table, std::uint64_t level_key, const holder& seen);

// Records that an upstream does not hold this level.
void remove_holder(affinity_table& table, std::uint64_t level_key, std::uint64_t upstream);

} // namespace camphorrail::routing
