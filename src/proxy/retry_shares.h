#pragma once

#include "admission/retry_share.h"
#include "proxy/context.h"

namespace camphorrail::proxy {

// The parameters of retry shares with the values from the settings.
admission::retry_share_rules retry_share_rules_of(const settings::proxy_settings& settings);

// Sets the retries that this entry may send to each pool, as its share of what all entries may send
// together. Call it periodically and after each change of the configuration or of the entries.
struct retry_share_inputs {
    // The number of entries known now, this one included.
    std::int64_t known_entries = 1;
    base::micros uptime{0};
    bool has_startup_slot = false;
};
void update_retry_shares(entry_context& context, const retry_share_inputs& inputs);

} // namespace camphorrail::proxy
