#pragma once

#include <cstdint>
#include <string>

namespace camphorrail::crowd {

// What a process holds at one moment.
struct process_usage {
    // Resident memory, and bytes that the kernel has received on the listener's connections and the
    // process has not read. Together, in KiB.
    std::int64_t memory_kb = 0;
    std::int64_t unread_kb = 0;
    std::int64_t descriptors = 0;
    bool alive = false;
};

process_usage measure_process(int pid, std::uint16_t port);

// The most that the process has had resident so far, in KiB.
std::int64_t peak_memory_kb(int pid);

} // namespace camphorrail::crowd
