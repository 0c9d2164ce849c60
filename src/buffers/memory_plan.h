#pragma once

#include "buffers/yielding.h"

#include <cstddef>
#include <cstdint>

// How a process divides the memory that it may use. Each part is a bound that holds whatever its
// clients do; what is left is the process's own.
namespace camphorrail::buffers {

struct memory_plan {
    // For requests and responses of clients; see `budget_of`.
    budget clients;
    // Connections of clients, each with the bytes that the kernel receives for it.
    std::size_t connections = 0;
    // For what a port for operators or balancers holds.
    budget control_port;
    // For messages of other processes that are not complete.
    std::int64_t incomplete_messages = 0;
    // For messages that other processes have not read. What they hold is taken from `clients`.
    std::int64_t unread_messages = 0;
    // For names that clients have given their requests and that are kept beyond them, taken from
    // `clients` as well.
    std::int64_t request_names = 0;
};

// What the kernel receives of a connection before it is read, in bytes. A connection's window is
// not larger, so that the memory of all connections stays bounded while the process does not run.
constexpr std::size_t receive_buffer_bytes = 16U << 10U;
// Connections of clients that the kernel holds until they are accepted. Their bytes count as well.
constexpr std::size_t listen_backlog = 512;

// The plan for so much memory, in MiB; no bounds for 0.
memory_plan plan_memory(std::int64_t memory_mb);

} // namespace camphorrail::buffers
