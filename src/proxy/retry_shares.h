#pragma once

#include "proxy/context.h"

namespace camphorrail::proxy {

// Sets the retries that this entry may send to each pool, as its share of what all entries may send
// together. Call it periodically and after each change of the configuration or of the entries.
// `known_entries` is the number of entries known now, this one included.
void update_retry_shares(entry_context& context, std::int64_t known_entries, base::micros uptime);

} // namespace camphorrail::proxy
