#pragma once

#include "base/units.h"

#include <optional>

namespace camphorrail::proxy {

// Notices that this process stood still, as on a VM that was suspended. What it knows of the store
// is then older than it usually is, and operators may have changed the configuration meanwhile.
struct pause_state {
    // When the event loop last showed that it runs.
    base::instant last_active{};
    // When the latest pause was noticed; empty if there was none.
    std::optional<base::instant> resumed_at;
};

struct pause_rules {
    // Longer than the longest turn of a loaded entry's event loop.
    base::milliseconds min_pause{1000};
    // The store counts as verified after a pause if it was verified this long before its end at
    // most: other entries pass on verifications that are as old.
    base::milliseconds verification_age{1000};
    // Requests wait no longer than this. Afterwards they are admitted by the age of the last
    // verification, as ever.
    base::milliseconds max_wait{500};
};

// Records that the event loop runs. Returns the length of the pause that has just ended; empty if
// there was none.
std::optional<base::micros> record_activity(pause_state& state, base::instant now,
                                            const pause_rules& rules);

// Whether requests have to wait until the store has been verified after a pause.
bool awaits_verification(const pause_state& state, std::optional<base::instant> verified_at,
                         base::instant now, const pause_rules& rules);

} // namespace camphorrail::proxy
