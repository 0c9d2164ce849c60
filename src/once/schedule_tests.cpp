#include "once_world.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

using namespace camphorrail;
using once_world::planted;

namespace {

// The number of schedules in CI, which an environment variable can override.
int schedule_count() {
    const char* given = std::getenv("CAMPHORRAIL_SCHEDULES");
    constexpr int in_ci = 2000;
    return given == nullptr ? in_ci : std::atoi(given);
}

struct totals {
    int schedules = 0;
    int with_violations = 0;
    int keys = 0;
    int keys_run = 0;
    int answered = 0;
    int not_run = 0;
    int unknown = 0;
    std::map<std::string, int> violation_kinds;
    std::string first;
};

// Runs schedules, with `stop_at_first` only up to the first one with a violation.
totals run_schedules(int count, planted fault, bool stop_at_first = false) {
    totals total;
    for (int seed = 1; seed <= count; ++seed) {
        const auto found =
            once_world::check(once_world::run_schedule(static_cast<std::uint64_t>(seed), fault));
        ++total.schedules;
        total.keys += found.keys;
        total.keys_run += found.keys_run;
        total.answered += found.answered;
        total.not_run += found.not_run;
        total.unknown += found.unknown;
        total.with_violations += found.violations.empty() ? 0 : 1;
        for (const auto& violation : found.violations) {
            ++total.violation_kinds[violation.substr(0, violation.find(':'))];
            if (std::getenv("CAMPHORRAIL_VERBOSE") != nullptr) {
                std::cout << "seed " << seed << ": " << violation << "\n";
            }
            if (total.first.empty()) {
                total.first = "seed " + std::to_string(seed) + ": " + violation;
            }
        }
        if (stop_at_first && total.with_violations > 0) {
            break;
        }
    }
    return total;
}

} // namespace

// Clients send calls through two entries and retry when they receive no response. Meanwhile agents
// crash and lose their memory, freeze beyond their leases, and lose the platform one by one or all
// together. The platform loses responses to writes that took effect and applies writes seconds
// late, and operators move keys between owners. No call may run twice, and "not run" must be true.
TEST_CASE("calls run at most once under random faults", "[once][schedule]") {
    const auto total = run_schedules(schedule_count(), planted::nothing);
    std::cout << "schedules " << total.schedules << ", with violations " << total.with_violations
              << ", keys " << total.keys << ", run " << total.keys_run << ", answered "
              << total.answered << ", not run " << total.not_run << ", unknown " << total.unknown
              << "\n";
    for (const auto& [kind, count] : total.violation_kinds) {
        std::cout << "  " << kind << ": " << count << "\n";
    }
    INFO(total.first);
    CHECK(total.with_violations == 0);
    // Refusing everything would also prevent violations, so at least half of the keys must run.
    CHECK(total.keys_run * 2 > total.keys);
}

TEST_CASE("without faults every call runs and every client gets its response", "[once][schedule]") {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto found =
            once_world::check(once_world::run_schedule(seed, planted::nothing, true));
        CHECK(found.violations.empty());
        CHECK(found.keys_run == found.keys);
    }
}

// Each safeguard is disabled in turn. If the checker then finds no violation, either the safeguard
// is not needed or the schedules do not reach the failure that it prevents.
TEST_CASE("the checker detects each missing safeguard", "[once][schedule]") {
    const auto fault =
        GENERATE(planted::no_fence, planted::no_segment_revision, planted::no_journal_read,
                 planted::no_handover, planted::no_deadline, planted::no_tombstones,
                 planted::no_lease_check, planted::no_suspicion);
    constexpr int max_schedules = 5000;
    const auto total = run_schedules(max_schedules, fault, true);
    std::cout << "injected fault " << static_cast<int>(fault) << ": detected after "
              << total.schedules << " schedules (" << total.first << ")\n";
    CHECK(total.with_violations > 0);
}

// A debugging aid: prints the events of one key (CAMPHORRAIL_KEY) under one seed
// (CAMPHORRAIL_SEED).
TEST_CASE("print one schedule", "[.print]") {
    const char* seed = std::getenv("CAMPHORRAIL_SEED");
    const char* key = std::getenv("CAMPHORRAIL_KEY");
    const auto history = once_world::run_schedule(
        seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10), planted::nothing);
    for (const auto& item : history) {
        if (key != nullptr && item.key.find(key) == std::string::npos &&
            item.attempt != std::string(key)) {
            continue;
        }
        static const char* const names[] = {"requested", "ran",        "answered",
                                            "refused",   "tombstoned", "declared dead"};
        std::cout << static_cast<double>(item.at.time_since_epoch().count()) / 1e6 << " "
                  << names[static_cast<int>(item.what)] << " " << item.key << " " << item.attempt
                  << " " << base::to_string(item.ran) << " " << static_cast<int>(item.number)
                  << "\n";
    }
    SUCCEED();
}
