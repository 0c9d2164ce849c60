#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace camphorrail::proxy {

// When a version of weights was named, as far as an entry can tell. An entry may read of a version
// seconds after it was named, since it stood still or was cut off; counted from the reading,
// requests would begin on outdated weights for longer than allowed.
struct target_record {
    // It was named after this moment by this entry's own view of the store; nothing where that is
    // not known, as of a version that was there when this process began to read the store.
    std::optional<base::instant> set_after;
    // The same by another entry's view.
    std::optional<base::instant> reported_set_after;
    // This entry learned of it then.
    base::instant learned_at{};
};

// The versions of a model's weights that operators have named.
struct weights_history {
    std::map<std::int64_t, target_record> targets;
};

// The closest moment after which a version is known to have been named; nothing where none is.
std::optional<base::instant> latest_set_after(const target_record& record);

// Notes a named version; true where it is new.
bool record_target(weights_history& history, std::int64_t version, const target_record& record);

// Notes after which moment another entry knows a version to have been named, if it does, which may
// be closer to its naming than what is known here; true where that changes something.
bool record_reported_target(weights_history& history, std::int64_t version,
                            std::optional<base::instant> after, base::instant now);

// Forgets versions that a newer one has replaced for longer than a span: nothing may begin on them
// or on older ones in any case.
void prune_superseded(weights_history& history, base::instant now, base::micros span);

// Whether any version was learned of within a span.
bool any_learned_within(const weights_history& history, base::instant now, base::micros span);

// Whether the date of any version newer than `held` is so imprecise that another entry's is worth
// asking for.
bool is_imprecise(const weights_history& history, std::int64_t held);

// The newest named version; 0 where none is.
std::int64_t newest_version(const weights_history& history);

// Since when a version is outdated, at the earliest: when the first newer one can have been named.
// Nothing may begin on it much later. The far future for the newest, the far past where the date is
// not known.
base::instant outdated_since(const weights_history& history, std::int64_t version);

} // namespace camphorrail::proxy
