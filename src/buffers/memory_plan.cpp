#include "buffers/memory_plan.h"

#include <algorithm>
#include <limits>

namespace camphorrail::buffers {

namespace {

// Parts of the memory.
constexpr std::int64_t connections_divisor = 4;
constexpr std::int64_t control_port_divisor = 32;
constexpr std::int64_t messages_divisor = 16;
constexpr std::int64_t unread_messages_divisor = 4;
constexpr std::int64_t request_names_divisor = 8;
// Fewer connections would not serve callers that send one small request each.
constexpr std::int64_t min_connections = 64;

} // namespace

memory_plan plan_memory(std::int64_t memory_mb) {
    memory_plan plan;
    if (memory_mb == 0) {
        plan.connections = std::numeric_limits<std::int32_t>::max();
        plan.incomplete_messages = std::numeric_limits<std::int64_t>::max();
        plan.unread_messages = plan.incomplete_messages;
        plan.request_names = plan.incomplete_messages;
        return plan;
    }
    const std::int64_t bytes = memory_mb * bytes_per_mb;
    const std::int64_t received = bytes / connections_divisor / receive_buffer_bytes;
    plan.clients = budget_of(memory_mb);
    plan.connections = static_cast<std::size_t>(
        std::max<std::int64_t>(min_connections, received - listen_backlog));
    plan.control_port = budget_of_bytes(bytes / control_port_divisor);
    plan.incomplete_messages = bytes / messages_divisor;
    plan.unread_messages = bytes / unread_messages_divisor;
    plan.request_names = bytes / request_names_divisor;
    return plan;
}

} // namespace camphorrail::buffers
