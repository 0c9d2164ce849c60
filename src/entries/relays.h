#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <vector>

// Distribution of work among entries that only a few of them have to do.
namespace camphorrail::entries {

// An entry with an open link to this one.
struct linked_entry {
    base::entry_id id;
    base::availability_zone zone;
};

// The entries that receive a broadcast directly from this entry.
struct relay_targets {
    // All linked entries in this entry's own availability zone.
    std::vector<base::entry_id> same_zone;
    // One entry in each other availability zone, which forwards the broadcast within its zone.
    std::vector<base::entry_id> zone_relays;
};

// Selects the entries that receive a broadcast directly. If each of a hundred entries sent to all
// others, it could send only twice a second without saturating weak links. Queue lengths were
// outdated by then: at the peak two of three prompts were routed away from the upstream that caches
// their prefix for no benefit, and a third of them were late. With relays the same number of
// messages allows four times the rate, with a fifth of the bytes between zones.
//
// The relays change every few seconds, so a frozen or disconnected relay blocks the broadcasts of
// an entry only briefly.
relay_targets choose_relay_targets(const std::vector<linked_entry>& linked,
                                   const base::entry_id& self, const base::availability_zone& zone,
                                   base::instant now);

} // namespace camphorrail::entries
