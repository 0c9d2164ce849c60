#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorrail::proxy {

// When a version became a model's target, as far as this entry can tell. A suspended or
// disconnected entry may read of a version seconds after it was set; counted from the time of
// reading, requests would start on outdated weights for longer than allowed.
struct target_record {
    // The version was set after this time according to this entry's view of the store; empty if
    // unknown, as for versions already present when this process first read the store.
    std::optional<base::instant> set_after;
    // The same according to a peer's view.
    std::optional<base::instant> reported_set_after;
    // When this entry learned of the version.
    base::instant learned_at{};
};

// The target versions that operators have set for a model.
struct weights_history {
    std::map<std::int64_t, target_record> targets;
};

// The latest time after which a version is known to have been set; empty if unknown.
std::optional<base::instant> latest_set_after(const target_record& record);

// Records a target version; returns true if it is new.
bool record_target(weights_history& history, std::int64_t version, const target_record& record);

// Records the time after which a peer knows a version to have been set, if it does. It may be more
// precise than the local one. Returns true if anything changed.
bool record_reported_target(weights_history& history, std::int64_t version,
                            std::optional<base::instant> after, base::instant now);

// Removes versions superseded for longer than `span`: no request may start on them or on older ones
// anyway.
void prune_superseded(weights_history& history, base::instant now, base::micros span);

// Whether any version was learned of within the last `span`.
bool any_learned_within(const weights_history& history, base::instant now, base::micros span);

// Whether the date of any version newer than `held` is so imprecise that a peer's date is worth a
// query.
bool is_imprecise(const weights_history& history, std::int64_t held);

// The newest target version, or 0 if there is none.
std::int64_t newest_version(const weights_history& history);

// The earliest time since which a version may be outdated: when the first newer version can have
// been set. No request may start on it much later. The far future for the newest version, the far
// past if the date is unknown.
base::instant outdated_since(const weights_history& history, std::int64_t version);

} // namespace camphorrail::proxy
