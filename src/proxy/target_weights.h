#pragma once

#include "peering/messages.h"
#include "proxy/context.h"

#include <vector>

// What an entry makes of news about which weights operators have named.
namespace camphorrail::proxy {

// Reads the named weights from the mirror of the platform's store, after it has changed. `told_by`
// says for the log who told of the change. True where more is known than before.
bool read_target_weights(entry_context& context, const char* source);

// Takes what another entry answers about when weights were named. Its ages were true when it
// answered, so they are counted from before it was asked, however long the answer has lain unread.
// True where more is known than before.
bool apply_reported_targets(entry_context& context, const base::entry_id& from,
                            const std::vector<peering::target_weights>& reports,
                            base::instant queried_at);

// What another entry is told about when weights were named; nothing where that was so long ago that
// it does not matter.
std::vector<peering::target_weights> target_weights_to_report(const entry_context& context);

// Whether upstreams hold weights that are outdated for a time that is known so badly that other
// entries are to be asked for it.
bool needs_target_dates(const entry_context& context);

} // namespace camphorrail::proxy
