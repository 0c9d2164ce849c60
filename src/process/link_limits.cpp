#include "process/link_limits.h"

#include "buffers/memory_plan.h"

#include <algorithm>

namespace camphorrail::process {

adapters::link_limits listener_limits(std::int64_t memory_mb, std::size_t max_message_bytes,
                                      std::size_t largest_message) {
    adapters::link_limits limits{max_message_bytes};
    const auto plan = buffers::plan_memory(memory_mb);
    limits.max_incomplete_bytes =
        std::max(largest_message, static_cast<std::size_t>(plan.incomplete_messages));
    limits.max_unread_bytes =
        std::max(largest_message, static_cast<std::size_t>(plan.unread_messages));
    return limits;
}

} // namespace camphorrail::process
