#include "entries/duty_ranking.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::entries {

namespace {

std::uint64_t score(const base::entry_id& id, std::uint64_t duty) {
    return routing::score(base::stable_hash(id.value), duty);
}

} // namespace

std::size_t duty_rank(const std::vector<base::entry_id>& others, const base::entry_id& self,
                      const std::string& duty) {
    const std::uint64_t key = base::stable_hash(duty);
    const std::uint64_t own_score = score(self, key);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](const base::entry_id& id) { return score(id, key) > own_score; }));
}

std::optional<base::entry_id> duty_parent(const std::vector<base::entry_id>& others,
                                          const base::entry_id& self, const std::string& duty) {
    const std::size_t rank = duty_rank(others, self, duty);
    if (rank == 0) {
        return std::nullopt;
    }
    const std::uint64_t key = base::stable_hash(duty);
    auto ranking = others;
    const auto parent =
        ranking.begin() + static_cast<std::ptrdiff_t>((rank - 1) / max_duty_children);
    std::nth_element(ranking.begin(), parent, ranking.end(),
                     [key](const auto& left, const auto& right) {
                         return score(left, key) > score(right, key);
                     });
    return *parent;
}

} // namespace camphorrail::entries
