#include "adapters/allocator.h"

#include <malloc.h>

namespace camphorrail::adapters {

namespace {

constexpr int large_block_bytes = 128 << 10;

} // namespace

void configure_allocator() {
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
    mallopt(M_TRIM_THRESHOLD, large_block_bytes);
}

void release_free_memory() {
    malloc_trim(0);
}

} // namespace camphorrail::adapters
