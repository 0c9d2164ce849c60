#include "buffers/memory_plan.h"

#include <catch2/catch.hpp>

using namespace camphorrail;

// Guards against bounds that hold one by one and together exceed the memory of the process.
TEST_CASE("all bounds of a memory plan together leave room for the process", "[buffers]") {
    constexpr std::int64_t megabyte = 1 << 20;
    constexpr std::int64_t process_bytes = 10 * megabyte;
    const std::int64_t memory_mb = GENERATE(88, 96, 110, 160, 220, 260, 512);
    CAPTURE(memory_mb);
    const auto plan = buffers::plan_memory(memory_mb);
    const auto connections = static_cast<std::int64_t>(plan.connections + buffers::listen_backlog);
    const std::int64_t all = plan.clients.limit +
                             connections * std::int64_t{buffers::receive_buffer_bytes} +
                             2 * plan.control_port.limit + plan.incomplete_messages;
    CHECK(all + process_bytes <= memory_mb * megabyte);
}

TEST_CASE("a process that states no memory has no bounds", "[buffers]") {
    const auto plan = buffers::plan_memory(0);
    CHECK(plan.clients.limit == 0);
    CHECK(plan.control_port.limit == 0);
    CHECK(plan.connections > 1'000'000);
}
