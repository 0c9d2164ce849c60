#pragma once

// Settings of the C library's allocator.
namespace camphorrail::adapters {

class event_loop;

// Has large blocks returned to the system as soon as they are freed. By default the allocator keeps
// them for later once some have been freed, and a process that held many keeps their memory.
void configure_allocator();

// Returns memory to the system regularly that is free within the allocator, if it is much.
void return_free_memory_regularly(event_loop& loop);

} // namespace camphorrail::adapters
