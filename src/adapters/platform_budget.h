#pragma once

#include "adapters/event_loop.h"
#include "adapters/metrics.h"
#include "ports/platform.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace camphorrail::adapters {

// What a call to the platform's store is for.
enum class platform_call { read, read_key, watch, proof, write, lease, renewal };
inline constexpr std::size_t platform_call_kinds = 7;

// The kind as metrics name it.
std::string_view name_of(platform_call kind);

// Calls that a process may make to the store. A safeguard against a fault that makes it ask without
// end: entries, upstreams and operators share the store's rate, and each call is paid for. What a
// process needs at its busiest, following the store through a storm of changes, is seven a second.
struct platform_budget_rules {
    double calls_a_second = 12.0;
    // Calls at a start: pages of a large store, a lease, the first watches.
    double burst = 60.0;
};

// For processes whose calls are bounded by what callers ask of them.
inline constexpr platform_budget_rules no_platform_limit{1e9, 1e9};

// Calls made so far, by kind, and what is left of the budget.
struct platform_budget {
    std::array<std::int64_t, platform_call_kinds> made{};
    std::int64_t failed = 0;
    std::int64_t held_back = 0;
    platform_budget_rules rules;
    double left = rules.burst;
    base::instant at{};
};

[[nodiscard]] std::int64_t calls_of(const platform_budget& budget, platform_call kind);

// Counts a call; how long it has to wait for the budget, mostly not at all. Writes, leases and
// renewals never wait: they are few, and others take over from a process whose lease ends.
base::micros take_call(platform_budget& budget, platform_call kind, base::instant now);

// The platform with all its calls counted and held to the budget. `held_back` is told of each call
// that has to wait.
ports::platform with_budget(ports::platform inner, event_loop& loop,
                            std::shared_ptr<platform_budget> budget,
                            std::function<void(platform_call, base::micros)> held_back);

// The same for a process without a limit: its calls are only counted.
ports::platform counted(ports::platform inner, event_loop& loop,
                        std::shared_ptr<platform_budget> budget);

// Shows the counts as metrics.
void show_platform_calls(metrics& shown, const platform_budget& budget);

} // namespace camphorrail::adapters
