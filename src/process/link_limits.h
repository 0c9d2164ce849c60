#pragma once

#include "adapters/link.h"

#include <cstddef>
#include <cstdint>

namespace camphorrail::process {

// The limits of a port for links in a process that may use so much memory, in MiB. A message may
// have `max_message_bytes`; whatever the memory, there is room for one of `largest_message`.
adapters::link_limits listener_limits(std::int64_t memory_mb, std::size_t max_message_bytes,
                                      std::size_t largest_message);

} // namespace camphorrail::process
