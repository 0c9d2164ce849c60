#pragma once

#include "process/config_keeper.h"
#include "process/wire_link.h"

namespace camphorrail::process {

// How two linked processes keep each other at the newest configuration: each message that carries a
// version leads the one behind to ask, and the answer is as small as it can be.

// The other end has this version; asks for it where ours is older.
void note_version(const config_keeper& keeper, wire_link& other, std::int64_t version);

void answer(const config_keeper& keeper, wire_link& other, const wire::config_request& asked);

void take(config_keeper& keeper, wire_link& other, const wire::config_reply& reply);

} // namespace camphorrail::process
