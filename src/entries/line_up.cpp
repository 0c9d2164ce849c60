#include "proxy/line_up.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>

namespace camphorrail::proxy {

std::size_t place_in_line(const std::vector<base::entry_id>& others, const base::entry_id& self,
                          const std::string& duty) {
    const std::uint64_t key = base::stable_hash(duty);
    const auto score = [key](const base::entry_id& id) {
        return routing::score(base::stable_hash(id.value), key);
    };
    const std::uint64_t ours = score(self);
    return static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(), [&](const base::entry_id& id) { return score(id) > ours; }));
}

} // namespace camphorrail::proxy
