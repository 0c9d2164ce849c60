#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace camphorrail::routing {

// One upstream that an entry saw serving a prefix level, and when. It holds only for the engine's
// life it was seen in.
struct holder {
    std::uint64_t upstream = 0;
    std::int64_t engine_incarnation = 0;
    base::instant last_used{};
};

inline constexpr std::size_t holders_per_level = 4;

// Which upstreams probably hold which prefix levels: a bounded memory of this entry's own traffic.
// It is a hint and nothing more. A wrong one costs a miss; the engine's own cache decides.
struct affinity_table {
    struct level_record {
        std::uint64_t key = 0;
        std::array<holder, holders_per_level> holders{};
    };
    std::size_t capacity = 50000;
    std::list<level_record> newest_first;
    std::unordered_map<std::uint64_t, std::list<level_record>::iterator> by_key;
};

// The record of a level, or nothing.
const affinity_table::level_record* find(const affinity_table& table, std::uint64_t level_key);

// An upstream has just served this level, and so holds it now.
void add_holder(affinity_table& table, std::uint64_t level_key, const holder& seen);

// An upstream turned out not to hold this level.
void remove_holder(affinity_table& table, std::uint64_t level_key, std::uint64_t upstream);

} // namespace camphorrail::routing
