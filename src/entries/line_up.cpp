#include "entries/line_up.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::entries {

namespace {

std::uint64_t score(const base::entry_id& id, std::uint64_t duty) {
    return routing::score(base::stable_hash(id.value), duty);
}

} // namespace

std::size_t place_in_line(const std::vector<base::entry_id>& others, const base::entry_id& self,
                          const std::string& duty) {
    const std::uint64_t key = base::stable_hash(duty);
    const std::uint64_t ours = score(self, key);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](const base::entry_id& id) { return score(id, key) > ours; }));
}

std::optional<base::entry_id> ahead_in_line(const std::vector<base::entry_id>& others,
                                            const base::entry_id& self, const std::string& duty) {
    const std::size_t place = place_in_line(others, self, duty);
    if (place == 0) {
        return std::nullopt;
    }
    const std::uint64_t key = base::stable_hash(duty);
    auto line = others;
    const auto wanted = line.begin() + static_cast<std::ptrdiff_t>((place - 1) / most_askers);
    std::nth_element(line.begin(), wanted, line.end(), [key](const auto& left, const auto& right) {
        return score(left, key) > score(right, key);
    });
    return *wanted;
}

} // namespace camphorrail::entries
