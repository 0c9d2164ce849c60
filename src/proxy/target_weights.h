#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <vector>

// Updates an entry's view of the target weights set by operators.
namespace camphorrail::proxy {

// Reads the target weights from the mirror of the platform's store after it has changed. `source`
// is logged as the origin of the change. Returns true if something new was learned.
bool read_target_weights(entry_context& context, const char* source);

// Applies the ages of target weights from a peer's response. The ages were valid when the peer
// responded, so they are counted from the time of the query, however long the response waited to be
// read. Returns true if something new was learned.
bool apply_reported_targets(entry_context& context, const base::entry_id& from,
                            const std::vector<peering::target_weights>& reports,
                            base::instant queried_at);

// The ages of target weights to report to a peer; empty if all were set too long ago to matter.
std::vector<peering::target_weights> target_weights_to_report(const entry_context& context);

// Whether upstreams hold outdated weights and the time since which they are outdated is known so
// imprecisely that peers should be queried.
bool needs_target_dates(const entry_context& context);

} // namespace camphorrail::proxy
