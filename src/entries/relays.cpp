#include "entries/relays.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

#include <map>
#include <string>

namespace camphorrail::entries {

namespace {

// Longer than the interval at which load reports are sent in the largest fleets, and shorter than a
// frozen VM takes to resume.
constexpr base::seconds relay_rotation_period{2};

} // namespace

relay_targets choose_relay_targets(const std::vector<linked_entry>& linked,
                                   const base::entry_id& self, const base::availability_zone& zone,
                                   base::instant now) {
    const auto period = now.time_since_epoch() / relay_rotation_period;
    const std::uint64_t key = base::stable_hash(self.value, static_cast<std::uint64_t>(period));
    struct candidate {
        std::uint64_t score = 0;
        const linked_entry* entry = nullptr;
    };
    relay_targets chosen;
    std::map<base::availability_zone, candidate> candidates;
    for (const auto& each : linked) {
        if (each.zone == zone) {
            chosen.same_zone.push_back(each.id);
            continue;
        }
        auto& best = candidates[each.zone];
        const std::uint64_t score = routing::score(base::stable_hash(each.id.value), key);
        if (best.entry == nullptr || score > best.score) {
            best = {score, &each};
        }
    }
    for (const auto& [other, best] : candidates) {
        chosen.zone_relays.push_back(best.entry->id);
    }
    return chosen;
}

} // namespace camphorrail::entries
