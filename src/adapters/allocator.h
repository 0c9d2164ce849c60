#pragma once

// Settings of the C library's allocator.
namespace camphorrail::adapters {

// Has large blocks returned to the system as soon as they are freed. By default the allocator keeps
// them for later once some have been freed, and a process that held many keeps their memory.
void configure_allocator();

// Returns memory to the system that is free within the allocator.
void release_free_memory();

} // namespace camphorrail::adapters
