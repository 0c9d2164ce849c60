#include "adapters/allocator.h"

#include "adapters/event_loop.h"

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace camphorrail::adapters {

namespace {

constexpr int large_block_bytes = 128 << 10;
constexpr base::micros check_period = base::seconds(1);
// Memory is returned from this on, which is more than the program itself takes up.
constexpr std::size_t min_free_bytes = 16U << 20U;
// And only if so much is free beyond what could not be returned the last time, since blocks in use
// lie between.
constexpr std::size_t min_growth_bytes = 4U << 20U;

std::size_t resident_bytes() {
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> all_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Resident memory that is not in use, with the program itself.
std::size_t free_bytes() {
    const auto allocated = mallinfo2();
    const std::size_t resident = resident_bytes();
    return resident - std::min(resident, allocated.uordblks + allocated.hblkhd);
}

} // namespace

void configure_allocator() {
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

void return_free_memory_regularly(event_loop& loop) {
    loop.every(check_period, [kept = std::size_t{0}]() mutable {
        kept = std::min(kept, free_bytes());
        if (free_bytes() > std::max(min_free_bytes, kept + min_growth_bytes)) {
            malloc_trim(0);
            kept = free_bytes();
        }
    });
}

} // namespace camphorrail::adapters
