#include "kvcache/cache_spaces.h"

#include "base/hash.h"

#include <algorithm>

namespace camphorrail::kvcache {

namespace {

std::uint64_t name_space(const std::set<base::team_id>& excluded) {
    std::uint64_t name = 0;
    for (const auto& team : excluded) {
        name = base::combine_hashes(name, base::stable_hash(team.value));
    }
    return name;
}

} // namespace

cache_spaces choose_cache_spaces(const std::set<base::team_id>& isolated,
                                 const std::set<base::team_id>& recorded) {
    const auto& excluded = is_record_outdated(isolated, recorded) ? isolated : recorded;
    return {excluded, name_space(excluded)};
}

bool is_record_outdated(const std::set<base::team_id>& isolated,
                        const std::set<base::team_id>& recorded) {
    return !std::includes(recorded.begin(), recorded.end(), isolated.begin(), isolated.end());
}

} // namespace camphorrail::kvcache
